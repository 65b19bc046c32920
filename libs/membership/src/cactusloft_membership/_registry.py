"""Registrations at a control host: soft state with a lease.

Each daemon renews its registration at one control host, its *home*. Control
hosts keep copies of the registrations at other homes. A copy has no lease of
its own: it is kept until its home removes it or the lease of that home
expires. A registration never replaces a newer one of the same daemon, whether
they come from the daemon or from another control host.

The departure of a backend server's process is kept for longer: its daemon may
have forgotten it in a restart, and then registers the process as serving.
"""

import collections
import heapq

import attrs

from cactusloft_membership import _departures

REGISTRATION_LEASE_S = 3.0
# Time for which the position (incarnation and sequence) of an expired
# registration is kept. A message that is delayed for longer could restore a
# stale registration for one lease. The time is limited because a daemon whose
# wall clock was set back before a restart is treated as stale until it passes.
POSITION_RETENTION_S = 30.0


@attrs.frozen
class Lease:
    """A registration and the remaining time of its lease.

    :ivar registration: :class:`Registration`.
    :ivar remaining_s: seconds left at the time of listing.
    """

    registration: object
    remaining_s: float


@attrs.define
class _Entry:
    """A registration, or an expired one whose position is kept.

    :ivar expires_at: end of the lease; infinite for a copy, unless its home
        has restarted and does not list it.
    :ivar home: name of the daemon's home; empty for this control host.
    :ivar is_live: False once the registration has expired or was removed.
    :ivar queued_at: due time of the valid item in the expiry queue.
    """

    registration: object
    expires_at: float
    home: str = ''
    is_live: bool = True
    queued_at: float = float('inf')

    @property
    def due_at(self):
        """Return when the lease expires or the position is removed."""
        return (
            self.expires_at
            if self.is_live
            else self.expires_at + POSITION_RETENTION_S
        )


class Registry:
    """Store the registrations of daemons.

    The result of ``find_revision`` changes whenever a member of the services
    changes, so that a watch can wait for that.

    :ivar changes: number of changes of any member so far.
    :ivar on_local_change: function called with the name of a daemon that was
        added to this home, changed there or was removed from it.
    """

    def __init__(self):
        self._entries = {}
        self._by_service = collections.defaultdict(dict)
        # Heap of (due time, name) with one valid item for each entry. A
        # renewal does not move the item; expire() queues the entry again when
        # the item is due.
        self._expiry_queue = []
        self._by_home = collections.defaultdict(dict)
        self._revisions = collections.Counter()
        self._departures = _departures.Departures()
        self.changes = 0
        self.on_local_change = lambda name: None

    def register(
        self,
        registration,
        now,
        lifetime_s=REGISTRATION_LEASE_S,
        has_changed_home=False,
    ):
        """Store a registration that came from its daemon.

        :param registration: :class:`Registration`.
        :param now: monotonic seconds.
        :param lifetime_s: seconds for which it is valid, which is the lease
            less the time that the message took.
        :param has_changed_home: whether the daemon had another home, which
            may still claim it. Its arrival is then reported as a change even
            if its registration is the same.
        :returns: whether the registration was stored; False if it is not newer
            than the known one or has expired.
        """
        self._learn_departure(registration, now)
        known = self._find_known(registration.name, now)
        if known and known.registration.position >= registration.position:
            return False
        if lifetime_s <= 0:
            return False
        lifetime_s = min(lifetime_s, REGISTRATION_LEASE_S)
        self._store(
            known, _Entry(registration, now + lifetime_s), has_changed_home
        )
        return True

    def store_copy(self, home, registration, now):
        """Store a copy of a registration at another control host.

        :param home: name of that control host.
        :param registration: :class:`Registration`.
        :param now: monotonic seconds.
        """
        self._learn_departure(registration, now)
        known = self._find_known(registration.name, now)
        if known is not None:
            position = known.registration.position
            # A home may repeat a registration, but another control host must
            # not claim the same one.
            is_repeat = known.home == home
            if position > registration.position:
                return
            if position == registration.position and not is_repeat:
                return
        self._store(known, _Entry(registration, float('inf'), home))

    def remove_copy(self, home, name, now):
        """Remove a daemon that left its home, unless it has a new home."""
        entry = self._by_home.get(home, {}).get(name)
        if entry is not None:
            entry.expires_at = now
            self._deactivate(entry)

    def remove_home(self, home, now, kept=()):
        """Remove the copies of all registrations at a home.

        :param kept: names of daemons that are not removed.
        """
        for name in set(self._by_home.get(home, ())).difference(kept):
            self.remove_copy(home, name, now)

    def replace_home(self, home, names, now, ends_at):
        """Remove the copies at a home that its full copy does not list.

        :param names: names of the daemons that the full copy lists.
        :param now: monotonic seconds.
        :param ends_at: time until which the others stay; those that have an
            end already keep it.
        """
        if ends_at <= now:
            self.remove_home(home, now, kept=names)
            return
        for name, entry in self._by_home.get(home, {}).items():
            if name not in names and entry.expires_at == float('inf'):
                entry.expires_at = ends_at
                self._queue_entry(entry)

    def find_local_registration(self, name):
        """Return the live registration of a daemon at this home, or None."""
        entry = self._by_home.get('', {}).get(name)
        return entry.registration if entry is not None else None

    def has_left(self, process):
        """Tell whether a backend server's process announced its departure.

        :param process: :class:`BackendProcess`.
        """
        return self._departures.has_left(process)

    def record_departure(self, process, now):
        """Record that a backend server's process has left.

        Registrations of it that are already stored are corrected: a daemon or
        a home that has not heard of the departure may have sent them.

        :param process: :class:`BackendProcess`.
        :param now: monotonic seconds.
        """
        if not self._departures.record(process, now):
            return
        for entry in self._entries.values():
            known = entry.registration
            if known.process == process and not known.is_leaving:
                entry.registration = known.mark_leaving()
                self._record_change(known)
                if not entry.home:
                    self.on_local_change(known.name)

    def list_local_registrations(self):
        """Return the registrations of the daemons at this home."""
        entries = self._by_home.get('', {}).values()
        return [entry.registration for entry in entries]

    def expire(self, now):
        """Remove expired registrations and outdated positions.

        :returns: registrations that have expired since the last call.
        """
        return list(self._expire_due_entries(now))

    def list_members(self, services, now):
        """Return the live registrations of members of ``services``.

        :param services: names of services.
        :param now: monotonic seconds.
        """
        return [
            entry.registration
            for service in sorted(set(services))
            for entry in self._by_service.get(service, {}).values()
            if entry.expires_at > now
        ]

    def list_all(self, now):
        """Return all live registrations, including those without a service."""
        return [
            entry.registration
            for entry in self._entries.values()
            if entry.is_live and entry.expires_at > now
        ]

    def list_leases(self, now):
        """Return a :class:`Lease` for each live registration."""
        return [
            Lease(entry.registration, entry.expires_at - now)
            for entry in self._entries.values()
            if entry.is_live and entry.expires_at > now
        ]

    def find_revision(self, services):
        """Return a number that increases when ``services`` change members."""
        return sum(self._revisions[service] for service in set(services))

    def _learn_departure(self, registration, now):
        """Record a departure, also from an outdated registration."""
        if registration.is_leaving:
            self.record_departure(registration.process, now)

    def _find_known(self, name, now):
        known = self._entries.get(name)
        if known is None or known.expires_at + POSITION_RETENTION_S <= now:
            return None
        return known

    def _store(self, known, entry, has_changed_home=False):
        """Store ``entry`` in place of ``known`` and record the change."""
        registration = entry.registration
        if self._departures.has_left(registration.process):
            registration = entry.registration = registration.mark_leaving()
        self._replace(entry)
        is_same = False
        if known is None or not known.is_live:
            self._record_change(registration)
        elif registration.is_same_member(known.registration):
            is_same = True
        else:
            self._record_change(known.registration, registration)
        was_local = known is not None and known.is_live and not known.home
        is_local = not entry.home
        has_changed = has_changed_home or not is_same
        if was_local != is_local or (is_local and has_changed):
            self.on_local_change(registration.name)

    def _replace(self, entry):
        """Index ``entry`` in place of the previous one of its daemon."""
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

    def _deactivate(self, entry):
        """End a live entry, of which only the position is kept."""
        entry.is_live = False
        self._remove_from_indexes(entry)
        self._record_change(entry.registration)
        self._queue_entry(entry)
        if not entry.home:
            self.on_local_change(entry.registration.name)

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
        heapq.heappush(
            self._expiry_queue, (entry.queued_at, entry.registration.name)
        )

    def _expire_due_entries(self, now):
        """Process due entries; yield the registrations that expire."""
        while self._expiry_queue and self._expiry_queue[0][0] <= now:
            queued_at, name = heapq.heappop(self._expiry_queue)
            entry = self._entries.get(name)
            if entry is None or entry.queued_at != queued_at:
                # The item is outdated: a shorter lease was queued later.
                continue
            if entry.due_at > now:
                self._queue_entry(entry)
            elif entry.is_live:
                self._deactivate(entry)
                yield entry.registration
            else:
                del self._entries[name]

    def _record_change(self, *registrations):
        self.changes += 1
        for service in {r.service for r in registrations}:
            self._revisions[service] += 1
