"""Crash marks of requests in flight when a backend server was lost.

Each daemon keeps a copy of all crash marks. A crash mark is a set of losses,
so copies can be merged in any order and a loss that is reported twice counts
once. The daemon that made a crash mark is its *origin* and grants the only
permit to run the request alone. If several daemons granted permits, concurrent
repeats of the request could each crash a backend server.
"""

import enum

import attrs

MARK_LIFETIME_S = 600.0
QUARANTINE_LOSSES = 2
MAX_MARKS = 10_000


class Treatment(enum.Enum):
    """How to run a request, according to its crash mark."""

    ORDINARY = 'ordinary'
    ALONE = 'alone'
    QUARANTINED = 'quarantined'


@attrs.frozen
class CrashMark:
    """A crash mark as daemons send it.

    :ivar fingerprint: fingerprint of the marked request.
    :ivar origin: daemon that grants the permit to run the request alone.
    :ivar losses: identifiers of the losses of backend servers that ran the
        request.
    :ivar cleared: losses cleared by a later success.
    :ivar remaining_s: seconds until the crash mark expires.
    """

    fingerprint: str
    origin: str
    losses: tuple[str, ...]
    cleared: tuple[str, ...]
    remaining_s: float


@attrs.define
class _MarkState:
    origin: str
    expires_at: float
    losses: set[str] = attrs.Factory(set)
    cleared: set[str] = attrs.Factory(set)
    is_permitted: bool = False

    def count(self):
        return len(self.losses - self.cleared)

    @property
    def merge_key(self):
        """Return the state that a merge may change, except the expiry."""
        return self.origin, len(self.losses), len(self.cleared)


class CrashMarkStore:
    """Crash marks known to one daemon.

    :param daemon: name of this daemon, the origin of the marks it makes.
    :param read_clock: function that returns monotonic seconds.
    """

    def __init__(self, daemon, read_clock):
        self._daemon = daemon
        self._read_clock = read_clock
        self._states = {}

    def find_treatment(self, fingerprint):
        """Return the :class:`Treatment` of a request."""
        state = self._find(fingerprint)
        if state is None or state.count() == 0:
            return Treatment.ORDINARY
        if state.count() >= QUARANTINE_LOSSES:
            return Treatment.QUARANTINED
        return Treatment.ALONE

    def find_origin(self, fingerprint):
        """Return the daemon that grants the permit, or None without a mark."""
        state = self._find(fingerprint)
        return state.origin if state else None

    def record_loss(self, loss, fingerprints):
        """Mark the requests in flight on a lost backend server.

        :param loss: identifier of this loss, unique in the fleet.
        :returns: list of :class:`CrashMark` to send to all daemons.
        """
        return [self._add_loss(loss, name) for name in set(fingerprints)]

    def permit(self, fingerprint):
        """Grant the permit to run a request alone, at its origin.

        :returns: whether it was granted; a granted permit is not granted
            again until it is returned or the mark is cleared.
        """
        if self.find_treatment(fingerprint) is not Treatment.ALONE:
            return False
        state = self._states[fingerprint]
        if state.is_permitted:
            return False
        state.is_permitted = True
        return True

    def return_permit(self, fingerprint):
        """Return the permit of a request that certainly did not start."""
        state = self._find(fingerprint)
        if state is not None:
            state.is_permitted = False

    def record_success(self, fingerprint):
        """Clear the loss of a request that was marked once and now succeeded.

        :returns: the :class:`CrashMark` to send to all daemons, or None.
        """
        if self.find_treatment(fingerprint) is not Treatment.ALONE:
            return None
        state = self._states[fingerprint]
        state.cleared |= state.losses
        state.is_permitted = False
        return self._export(fingerprint, state)

    def merge(self, mark):
        """Merge a crash mark received from another daemon.

        :returns: whether the state here changed, apart from the expiry.
        """
        now = self._read_clock()
        expires_at = now + min(mark.remaining_s, MARK_LIFETIME_S)
        state = self._find(mark.fingerprint)
        if state is None:
            state = self._states[mark.fingerprint] = _MarkState(
                mark.origin, expires_at
            )
            self._evict_excess()
        before = state.merge_key
        # Two daemons can mark the same request concurrently; all daemons must
        # then ask the same origin. That of a cleared mark is irrelevant.
        origins = (state.origin, mark.origin)
        state.origin = min(origins) if state.count() else mark.origin
        state.losses.update(mark.losses)
        state.cleared.update(mark.cleared)
        state.expires_at = max(state.expires_at, expires_at)
        if state.count() == 0:
            state.is_permitted = False
        return state.merge_key != before

    def export(self):
        """Return all unexpired crash marks, for a newly started daemon."""
        names = list(self._states)
        unexpired = ((name, self._find(name)) for name in names)
        return [
            self._export(name, state) for name, state in unexpired if state
        ]

    def _add_loss(self, loss, fingerprint):
        now = self._read_clock()
        state = self._find(fingerprint)
        if state is None or state.count() == 0:
            cleared = state.cleared if state else set()
            losses = state.losses if state else set()
            state = self._states[fingerprint] = _MarkState(
                self._daemon, now, losses, cleared
            )
            self._evict_excess()
        state.losses.add(loss)
        state.expires_at = now + MARK_LIFETIME_S
        return self._export(fingerprint, state)

    def _find(self, fingerprint):
        state = self._states.get(fingerprint)
        if state is not None and self._read_clock() > state.expires_at:
            del self._states[fingerprint]
            return None
        return state

    def _export(self, fingerprint, state):
        return CrashMark(
            fingerprint,
            state.origin,
            tuple(sorted(state.losses)),
            tuple(sorted(state.cleared)),
            state.expires_at - self._read_clock(),
        )

    def _evict_excess(self):
        """Remove the mark that expires first if there are too many."""
        if len(self._states) > MAX_MARKS:
            oldest = min(
                self._states, key=lambda n: self._states[n].expires_at
            )
            del self._states[oldest]
