"""Crash marks: which requests were in flight when a backend server was lost.

Each daemon keeps a copy of all marks. A mark is a set of losses, so copies
merge in any order and a loss that is reported twice counts once. The daemon
that made a mark is its *origin* and gives the one permit to run the request
alone; without a single place for it, repeats at several daemons at once could
each lose a backend server.
"""

import enum

import attrs

MARK_LIFETIME_S = 600.0
QUARANTINE_LOSSES = 2
MOST_MARKS = 10_000


class Treatment(enum.Enum):
    """How a request is run, by its fingerprint."""

    ORDINARY = 'ordinary'
    ALONE = 'alone'
    QUARANTINED = 'quarantined'


@attrs.frozen
class CrashMark:
    """A mark as it is sent between daemons.

    :ivar fingerprint: of the marked request.
    :ivar origin: daemon that permits the run alone.
    :ivar losses: identities of the backend servers lost with the request.
    :ivar cleared: losses that a later success has cleared.
    :ivar remaining_s: seconds until the mark expires.
    """

    fingerprint: str
    origin: str
    losses: tuple[str, ...]
    cleared: tuple[str, ...]
    remaining_s: float


@attrs.define
class _State:
    origin: str
    expires_at: float
    losses: set[str] = attrs.Factory(set)
    cleared: set[str] = attrs.Factory(set)
    is_permitted: bool = False

    def count(self):
        return len(self.losses - self.cleared)

    @property
    def position(self):
        """Return what a merge may change beside the lifetime."""
        return self.origin, len(self.losses), len(self.cleared)


class CrashMarkStore:
    """The marks that one daemon knows.

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
        """Return the daemon that permits the run alone, or None."""
        state = self._find(fingerprint)
        return state.origin if state else None

    def record_loss(self, loss, fingerprints):
        """Mark the requests in flight on a lost backend server.

        :param loss: identity of this loss, unique in the fleet.
        :returns: list of :class:`CrashMark` to send to all daemons.
        """
        return [self._add_loss(loss, name) for name in set(fingerprints)]

    def permit(self, fingerprint):
        """Give the permit for the run alone, at the origin.

        :returns: whether it was still to be given.
        """
        if self.find_treatment(fingerprint) is not Treatment.ALONE:
            return False
        state = self._states[fingerprint]
        if state.is_permitted:
            return False
        state.is_permitted = True
        return True

    def return_permit(self, fingerprint):
        """Take back the permit of a run that certainly did not start."""
        state = self._find(fingerprint)
        if state is not None:
            state.is_permitted = False

    def record_success(self, fingerprint):
        """Clear a request that was marked once and has now succeeded.

        :returns: the :class:`CrashMark` to send to all daemons, or None.
        """
        if self.find_treatment(fingerprint) is not Treatment.ALONE:
            return None
        state = self._states[fingerprint]
        state.cleared |= state.losses
        state.is_permitted = False
        return self._export(fingerprint, state)

    def merge(self, mark):
        """Take over what another daemon knows.

        :returns: whether it was not all known here.
        """
        now = self._read_clock()
        expires_at = now + min(mark.remaining_s, MARK_LIFETIME_S)
        state = self._find(mark.fingerprint)
        if state is None:
            state = self._states[mark.fingerprint] = _State(
                mark.origin, expires_at
            )
            self._drop_excess()
        before = state.position
        # Two origins can mark the same request at once; all daemons must
        # then ask the same one. The origin of a cleared mark is history.
        origins = (state.origin, mark.origin)
        state.origin = min(origins) if state.count() else mark.origin
        state.losses.update(mark.losses)
        state.cleared.update(mark.cleared)
        state.expires_at = max(state.expires_at, expires_at)
        if state.count() == 0:
            state.is_permitted = False
        return state.position != before

    def export(self):
        """Return all live marks, for a daemon that has just started."""
        names = list(self._states)
        live = ((name, self._find(name)) for name in names)
        return [self._export(name, state) for name, state in live if state]

    def _add_loss(self, loss, fingerprint):
        now = self._read_clock()
        state = self._find(fingerprint)
        if state is None or state.count() == 0:
            cleared = state.cleared if state else set()
            losses = state.losses if state else set()
            state = self._states[fingerprint] = _State(
                self._daemon, now, losses, cleared
            )
            self._drop_excess()
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

    def _drop_excess(self):
        """Forget the mark that expires first when there are too many."""
        if len(self._states) > MOST_MARKS:
            oldest = min(
                self._states, key=lambda n: self._states[n].expires_at
            )
            del self._states[oldest]
