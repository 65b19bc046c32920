"""Settings of a stand-in server, and the faults that it can show."""

import attrs

DEFAULT_RENEWAL_S = 1.0


@attrs.frozen
class ServerSettings:
    """What a stand-in server is started with.

    :ivar daemon_url: backend listener of the daemon beside it; empty for a
        server that announces itself nowhere.
    :ivar host: address to listen on.
    :ivar port: port to listen on, 0 for any free one.
    :ivar slots: requests that run at once; others wait.
    :ivar connections: connections that the server accepts.
    :ivar renewal_s: seconds between announcements.
    """

    service: str
    instance: str
    daemon_url: str = ''
    host: str = '127.0.0.1'
    port: int = 0
    slots: int = 8
    connections: int = 100
    renewal_s: float = DEFAULT_RENEWAL_S


@attrs.frozen
class Behaviour:
    """How a stand-in server behaves now; can be replaced while it runs.

    :ivar work_ms: service time of a request that names none.
    :ivar slowdown: factor on every service time.
    :ivar cold_s: seconds after the start during which it is slower.
    :ivar cold_factor: factor on the service time right after the start; it
        falls evenly to 1 over ``cold_s``.
    :ivar shed_above: waiting requests above which it refuses by itself.
    :ivar reported_load: load to report whatever the true one is, or None.
    :ivar is_frozen: whether requests wait without end.
    """

    work_ms: float = 10.0
    slowdown: float = 1.0
    cold_s: float = 0.0
    cold_factor: float = 10.0
    shed_above: int = 1_000_000
    reported_load: float | None = None
    is_frozen: bool = False

    def compute_work_s(self, planned_ms, age_s):
        """Return the service time of a request.

        :param planned_ms: service time that the request names, or None.
        :param age_s: seconds since the start of the server.

        >>> Behaviour(work_ms=10, cold_s=2).compute_work_s(None, 1.0)
        0.055
        >>> Behaviour(work_ms=10, cold_s=2).compute_work_s(None, 3.0)
        0.01
        """
        work_ms = self.work_ms if planned_ms is None else planned_ms
        factor = self.slowdown
        if age_s < self.cold_s:
            remaining = 1 - age_s / self.cold_s
            factor *= 1 + (self.cold_factor - 1) * remaining
        return work_ms * factor / 1000
