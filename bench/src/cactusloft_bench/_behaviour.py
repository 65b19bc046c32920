"""Settings of a stub server, and the faults that it can simulate."""

import attrs

DEFAULT_RENEWAL_INTERVAL_S = 1.0


@attrs.frozen
class ServerSettings:
    """Start settings of a stub server.

    :ivar daemon_url: backend listener of the local daemon; empty for a
        server that is not announced.
    :ivar host: address to listen on.
    :ivar port: port to listen on, 0 for any free one.
    :ivar slots: maximum number of concurrent requests; others wait.
    :ivar connections: announced number of connections.
    :ivar renewal_s: interval between announcements, in seconds.
    """

    service: str
    instance: str
    daemon_url: str = ''
    host: str = '127.0.0.1'
    port: int = 0
    slots: int = 8
    connections: int = 100
    renewal_s: float = DEFAULT_RENEWAL_INTERVAL_S


@attrs.frozen
class Behaviour:
    """Behaviour of a stub server; can be changed while it runs.

    :ivar work_ms: service time of a request whose plan sets none.
    :ivar slowdown: factor applied to every service time.
    :ivar cold_s: length of the slow phase after the start, in seconds.
    :ivar cold_factor: factor applied to the service time at the start; it
        decreases linearly to 1 over ``cold_s``.
    :ivar shed_above: number of waiting requests from which the server refuses
        further ones.
    :ivar reported_load: load to report instead of the actual one, or None.
    :ivar is_frozen: whether requests wait until this is reset.
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

        :param planned_ms: service time set by the plan, or None.
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
