"""Registrations at a control host: soft state with a lease.

Daemons renew their registration at one control host, their *home*. What
another control host holds as the home of its daemons is a copy here, which
stays until the home drops it or lapses as a whole. A registration never
overwrites a newer one of the same daemon, whichever way each of them came.
"""

import collections
import heapq

import attrs

REGISTRATION_LEASE_S = 3.0
# How long the position of a lapsed registration is remembered. A message that
# was delayed for longer than this could bring a stale registration back for
# one lease. The bound also limits how long a daemon whose wall clock was set
# back at its restart is taken for a stale one.
POSITION_KEPT_S = 30.0


@attrs.frozen
class Lease:
    """A registration and what is left of its lifetime.

    :ivar registration: :class:`Registration`.
    :ivar remaining_s: seconds left when it was sent.
    """

    registration: object
    remaining_s: float


@attrs.define
class _Entry:
    """A registration, or the position that is kept of a lapsed one.

    :ivar until: end of the lease, infinite for a copy.
    :ivar home: control host that the daemon watches, empty for this one.
    :ivar queued_at: due time of its item in the queue of expiry.
    """

    registration: object
    until: float
    home: str = ''
    is_live: bool = True
    queued_at: float = float('inf')

    @property
    def due_at(self):
        """Return when it lapses, or when its position is dropped."""
        return self.until if self.is_live else self.until + POSITION_KEPT_S


class Registry:
    """Hold the registrations of daemons.

    ``find_revision`` changes with every change of the members of a service,
    so that a watch can wait for it.

    :ivar changes: number of changes of any member so far.
    :ivar on_own_change: function called with the name of a daemon that came
        to this home, changed or left it.
    """

    def __init__(self):
        self._entries = {}
        self._by_service = collections.defaultdict(dict)
        # One valid item (due time, name) for each entry. A renewal leaves it
        # where it is; expire() queues the entry again when the item is due.
        self._queue = []
        self._by_home = collections.defaultdict(dict)
        self._revisions = collections.Counter()
        self.changes = 0
        self.on_own_change = lambda name: None

    def register(
        self,
        registration,
        now,
        lifetime_s=REGISTRATION_LEASE_S,
        has_changed_home=False,
    ):
        """Take a registration from its daemon.

        :param registration: :class:`Registration`.
        :param now: monotonic seconds.
        :param lifetime_s: seconds for which it is valid; less than the lease
            by the time that it was under way.
        :param has_changed_home: whether the daemon had another home, which
            may still claim it.
        :returns: whether it was newer than what was known.
        """
        known = self._find_known(registration.name, now)
        if known and known.registration.position >= registration.position:
            return False
        if lifetime_s <= 0:
            return False
        lifetime_s = min(lifetime_s, REGISTRATION_LEASE_S)
        self._put(
            known, _Entry(registration, now + lifetime_s), has_changed_home
        )
        return True

    def take_copy(self, home, registration, now):
        """Take what another control host holds of one of its daemons.

        :param home: name of the control host.
        """
        known = self._find_known(registration.name, now)
        if known is not None:
            position = known.registration.position
            # A home may repeat what it holds, but no other may claim it.
            is_repeat = known.home == home
            if position > registration.position:
                return
            if position == registration.position and not is_repeat:
                return
        self._put(known, _Entry(registration, float('inf'), home))

    def drop_copy(self, home, name, now):
        """Drop a daemon that left its home, unless it has another one."""
        entry = self._by_home.get(home, {}).get(name)
        if entry is not None:
            entry.until = now
            self._end(entry)

    def drop_home(self, home, now, kept=()):
        """Drop the copy of a whole home.

        :param kept: names of daemons that stay.
        """
        for name in set(self._by_home.get(home, ())).difference(kept):
            self.drop_copy(home, name, now)

    def find_local_registration(self, name):
        """Return the live registration of a daemon of this home, or None."""
        entry = self._by_home.get('', {}).get(name)
        return entry.registration if entry is not None else None

    def list_own(self):
        """Return the registrations of the daemons of this home."""
        entries = self._by_home.get('', {}).values()
        return [entry.registration for entry in entries]

    def expire(self, now):
        """Drop what has lapsed.

        :returns: registrations that lapsed since the last call.
        """
        return list(self._lapse(now))

    def list_members(self, services, now):
        """Return the live registrations with one of ``services``.

        :param services: names of services.
        """
        return [
            entry.registration
            for service in sorted(set(services))
            for entry in self._by_service.get(service, {}).values()
            if entry.until > now
        ]

    def list_all(self, now):
        """Return all live registrations, also those without a service."""
        return [
            entry.registration
            for entry in self._entries.values()
            if entry.is_live and entry.until > now
        ]

    def list_leases(self, now):
        """Return a :class:`Lease` of each live registration."""
        return [
            Lease(entry.registration, entry.until - now)
            for entry in self._entries.values()
            if entry.is_live and entry.until > now
        ]

    def find_revision(self, services):
        """Return a number that grows when members of ``services`` change."""
        return sum(self._revisions[service] for service in set(services))

    def _find_known(self, name, now):
        known = self._entries.get(name)
        if known is None or known.until + POSITION_KEPT_S <= now:
            return None
        return known

    def _put(self, known, entry, has_changed_home=False):
        """Hold ``entry`` in place of ``known`` and note what it changes."""
        self._replace(entry)
        registration = entry.registration
        is_same = False
        if known is None or not known.is_live:
            self._note_change(registration)
        elif registration.is_same_member(known.registration):
            is_same = True
        else:
            self._note_change(known.registration, registration)
        was_own = known is not None and known.is_live and not known.home
        is_own = not entry.home
        has_changed = has_changed_home or not is_same
        if was_own != is_own or (is_own and has_changed):
            self.on_own_change(registration.name)

    def _replace(self, entry):
        """Index ``entry`` in the place of what is held of its daemon."""
        name = entry.registration.name
        known = self._entries.get(name)
        if known is not None:
            self._remove_from_indexes(known)
        self._entries[name] = entry
        self._by_service[entry.registration.service][name] = entry
        self._by_home[entry.home][name] = entry
        if known is not None and known.queued_at <= entry.due_at:
            entry.queued_at = known.queued_at
        else:
            self._queue_entry(entry)

    def _end(self, entry):
        """Keep only the position of a live entry."""
        entry.is_live = False
        self._remove_from_indexes(entry)
        self._note_change(entry.registration)
        self._queue_entry(entry)
        if not entry.home:
            self.on_own_change(entry.registration.name)

    def _remove_from_indexes(self, entry):
        for index, key in (
            (self._by_service, entry.registration.service),
            (self._by_home, entry.home),
        ):
            entries = index.get(key, {})
            entries.pop(entry.registration.name, None)
            if not entries:
                index.pop(key, None)

    def _queue_entry(self, entry):
        entry.queued_at = entry.due_at
        heapq.heappush(self._queue, (entry.queued_at, entry.registration.name))

    def _lapse(self, now):
        """Handle what is due; yield the registrations that lapse."""
        while self._queue and self._queue[0][0] <= now:
            queued_at, name = heapq.heappop(self._queue)
            entry = self._entries.get(name)
            if entry is None or entry.queued_at != queued_at:
                # A shorter lease was queued since.
                continue
            if entry.due_at > now:
                self._queue_entry(entry)
            elif entry.is_live:
                self._end(entry)
                yield entry.registration
            else:
                del self._entries[name]

    def _note_change(self, *registrations):
        self.changes += 1
        for service in {r.service for r in registrations}:
            self._revisions[service] += 1
