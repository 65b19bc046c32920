"""Registrations at a control host: soft state with a lease.

Daemons renew their registration; control hosts exchange what they hold. A
registration never overwrites a newer one of the same daemon, whichever way
each of them came.
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

    :ivar until: end of the lease.
    :ivar queued_at: due time of its item in the queue of expiry.
    """

    registration: object
    until: float
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
    """

    def __init__(self):
        self._entries = {}
        self._by_service = collections.defaultdict(dict)
        # One valid item (due time, name) for each entry. A renewal leaves it
        # where it is; expire() queues the entry again when the item is due.
        self._queue = []
        self._revisions = collections.Counter()

    def register(self, registration, now, lifetime_s=REGISTRATION_LEASE_S):
        """Take a registration, from its daemon or from a control host.

        :param registration: :class:`Registration`.
        :param now: monotonic seconds.
        :param lifetime_s: seconds for which it is valid. A control host that
            passes it on gives what is left, so the exchange never extends it.
        :returns: whether it was newer than what was known.
        """
        known = self._find_known(registration.name, now)
        if known and known.registration.position >= registration.position:
            return False
        if lifetime_s <= 0:
            return False
        lifetime_s = min(lifetime_s, REGISTRATION_LEASE_S)
        entry = _Entry(registration, now + lifetime_s)
        self._replace(entry)
        if known is None or not known.is_live:
            self._note_change(registration)
        elif not registration.is_same_member(known.registration):
            self._note_change(known.registration, registration)
        return True

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

    def _replace(self, entry):
        """Put ``entry`` in the place of what is held of its daemon."""
        name = entry.registration.name
        known = self._entries.get(name)
        if known is not None:
            self._remove_from_service(known)
        self._entries[name] = entry
        self._by_service[entry.registration.service][name] = entry
        if known is not None and known.queued_at <= entry.due_at:
            entry.queued_at = known.queued_at
        else:
            self._queue_entry(entry)

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
                entry.is_live = False
                self._remove_from_service(entry)
                self._note_change(entry.registration)
                self._queue_entry(entry)
                yield entry.registration
            else:
                del self._entries[name]

    def _remove_from_service(self, entry):
        service = entry.registration.service
        members = self._by_service.get(service, {})
        members.pop(entry.registration.name, None)
        if not members:
            self._by_service.pop(service, None)

    def _note_change(self, *registrations):
        for service in {r.service for r in registrations}:
            self._revisions[service] += 1
