"""Registrations at a control host: soft state with a lease.

Daemons renew their registration; control hosts exchange what they hold. A
registration never overwrites a newer one of the same daemon, whichever way
each of them came.
"""

import collections

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
    registration: object
    until: float
    is_live: bool = True


class Registry:
    """Hold the registrations of daemons.

    ``find_revision`` changes with every change of the members of a service,
    so that a watch can wait for it.
    """

    def __init__(self):
        self._entries = {}
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
        self._entries[registration.name] = entry
        if known is None or not known.is_live:
            self._note_change(registration)
        elif not registration.is_same_member(known.registration):
            self._note_change(known.registration, registration)
        return True

    def expire(self, now):
        """Drop what has lapsed.

        :returns: registrations that lapsed since the last call.
        """
        lapsed = [
            entry
            for entry in self._entries.values()
            if entry.is_live and entry.until <= now
        ]
        for entry in lapsed:
            entry.is_live = False
            self._note_change(entry.registration)
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if entry.until + POSITION_KEPT_S > now
        }
        return [entry.registration for entry in lapsed]

    def list_members(self, services, now):
        """Return the live registrations with one of ``services``.

        :param services: names of services.
        """
        return [
            registration
            for registration in self.list_all(now)
            if registration.service in services
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

    def _note_change(self, *registrations):
        for service in {r.service for r in registrations}:
            self._revisions[service] += 1
