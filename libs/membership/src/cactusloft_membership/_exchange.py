"""Exchange of registrations between control hosts.

Each control host is the home of the daemons that watch it. It sends the
differences of its home table to the other control hosts. A difference names
the state that it is based on, so a receiver detects a lost or reordered one.
Its ack tells the home which state it has, and the home then sends a newer
difference or a full copy in pages. Differences contain the latest
registrations instead of single changes, so applying one twice is harmless.
"""

import collections
import itertools

import attrs

from cactusloft_membership import _registrations

# A copy of a home table expires if its home sends nothing for this time. It is
# as long as the lease of a daemon at its home.
HOME_LEASE_S = 3.0
# Daemons of a lost home register at another one within this time. Before it
# has passed, a control host that has just started or was isolated may not know
# all members.
REGISTRATION_SETTLE_S = 3.0
# Maximum number of registrations in a page of a full copy.
PAGE_SIZE = 256
# A receiver that misses more changes gets a full copy, which is not much
# larger than the difference would be.
MAX_KEPT_CHANGES = 1024


@attrs.frozen
class HomeUpdate:
    """A difference of a home table, or a page of a full copy.

    A difference without changes serves as the heartbeat of the home.

    :ivar home: name of the control host that sends it.
    :ivar incarnation: wall-clock milliseconds at the start of the home.
    :ivar base: sequence of the state that the difference is based on, or None
        for a full copy.
    :ivar sequence: sequence of the state after the update.
    :ivar page: number of the page, starting at 0.
    :ivar is_last: whether it is the last page.
    :ivar changed: registrations that are new or changed since ``base``.
    :ivar gone: names of the daemons that left since ``base``.
    """

    home: str
    incarnation: int
    base: int | None
    sequence: int
    page: int = 0
    is_last: bool = True
    changed: tuple[_registrations.Registration, ...] = ()
    gone: tuple[str, ...] = ()


@attrs.frozen
class HomeAck:
    """State of the receiver's copy after a :class:`HomeUpdate`.

    :ivar incarnation: incarnation of the home, or None if there is no copy.
    :ivar sequence: sequence of the copied state, or 0 if there is no copy.
    """

    incarnation: int | None
    sequence: int


class HomeTable:
    """Create the updates of this control host's home table.

    :param name: name of this control host.
    :param incarnation: wall-clock milliseconds at its start.
    :param registry: :class:`Registry` with the registrations; its
        ``on_local_change`` is set.
    """

    def __init__(self, name, incarnation, registry):
        self._name = name
        self._incarnation = incarnation
        self._registry = registry
        self._sequence = 0
        self._changed_at = collections.OrderedDict()
        self._min_base = 0
        registry.on_local_change = self.record_change

    @property
    def sequence(self):
        """Return the sequence of the current state."""
        return self._sequence

    def record_change(self, name):
        """Record that the entry of a daemon changed."""
        self._sequence += 1
        self._changed_at[name] = self._sequence
        self._changed_at.move_to_end(name)
        if len(self._changed_at) > MAX_KEPT_CHANGES:
            _, self._min_base = self._changed_at.popitem(last=False)

    def list_updates(self, ack):
        """Return the updates that bring a receiver to the current state.

        :param ack: last :class:`HomeAck` of the receiver, or None.
        :returns: list of :class:`HomeUpdate`.
        """
        is_known = (
            ack is not None
            and ack.incarnation == self._incarnation
            and self._min_base <= ack.sequence <= self._sequence
        )
        if is_known:
            return [self._make_difference(ack.sequence)]
        return self._list_pages()

    def _make_difference(self, base):
        recent = itertools.takewhile(
            lambda item: item[1] > base, reversed(self._changed_at.items())
        )
        names = [name for name, _ in recent]
        found = {
            name: self._registry.find_local_registration(name)
            for name in names
        }
        return HomeUpdate(
            self._name,
            self._incarnation,
            base,
            self._sequence,
            changed=tuple(r for r in found.values() if r is not None),
            gone=tuple(n for n, r in found.items() if r is None),
        )

    def _list_pages(self):
        registrations = self._registry.list_local_registrations()
        starts = range(0, max(1, len(registrations)), PAGE_SIZE)
        return [
            HomeUpdate(
                self._name,
                self._incarnation,
                None,
                self._sequence,
                page=start // PAGE_SIZE,
                is_last=start == starts[-1],
                changed=tuple(registrations[start : start + PAGE_SIZE]),
            )
            for start in starts
        ]


@attrs.define
class _HomeCopy:
    """State of a copy.

    :ivar last_sent_at: when the home sent its last update, in monotonic
        seconds of this host.
    :ivar known_until: end of the lease of the previous incarnation. Until
        then the copies stay that it had, since their daemons register again
        only after the restart of their home.
    """

    incarnation: int
    sequence: int
    last_sent_at: float
    known_until: float

    @property
    def position(self):
        """Return the sort key among the states of the home."""
        return self.incarnation, self.sequence


class HomeCopies:
    """Copies of the home tables of the other control hosts.

    :param registry: :class:`Registry` that stores the registrations.
    """

    def __init__(self, registry):
        self._registry = registry
        self._copies = {}
        self._partial_copies = {}

    def apply(self, update, now, age_s=0.0):
        """Apply an update of a home unless it is outdated.

        :param update: :class:`HomeUpdate`.
        :param now: monotonic seconds.
        :param age_s: seconds since the home sent the update.
        :returns: :class:`HomeAck`.
        """
        self.expire(now)
        sent_at = now - age_s
        copy = self._copies.get(update.home)
        is_stale = copy and copy.position > (
            update.incarnation,
            update.sequence,
        )
        if sent_at + HOME_LEASE_S > now and not is_stale:
            if update.base is None:
                self._apply_page(update, now, sent_at)
            else:
                self._apply_difference(update, now, sent_at)
        copy = self._copies.get(update.home)
        if copy is None:
            return HomeAck(None, 0)
        return HomeAck(*copy.position)

    def expire(self, now):
        """Remove the copies of homes whose lease has expired.

        :returns: names of these homes.
        """
        expired = [
            home
            for home, copy in self._copies.items()
            if copy.last_sent_at + HOME_LEASE_S <= now
        ]
        for home in expired:
            del self._copies[home]
            self._partial_copies.pop(home, None)
            self._registry.remove_home(home, now)
        return expired

    def _apply_difference(self, update, now, sent_at):
        copy = self._copies.get(update.home)
        if copy is None or copy.incarnation != update.incarnation:
            return
        # The home is alive even if the difference cannot be applied.
        copy.last_sent_at = max(copy.last_sent_at, sent_at)
        if update.base > copy.sequence:
            return
        for registration in update.changed:
            self._registry.store_copy(update.home, registration, now)
        for name in update.gone:
            self._registry.remove_copy(update.home, name, now)
        copy.sequence = update.sequence

    def _apply_page(self, update, now, sent_at):
        key = update.incarnation, update.sequence
        known_key, pages = self._partial_copies.get(update.home, (None, []))
        if update.page == 0:
            known_key, pages = key, []
        if known_key != key or update.page != len(pages):
            # A page is missing. The ack makes the home send a new copy.
            self._partial_copies.pop(update.home, None)
            return
        pages.append(update.changed)
        self._partial_copies[update.home] = key, pages
        if update.is_last:
            del self._partial_copies[update.home]
            self._install_copy(update, itertools.chain(*pages), now, sent_at)

    def _install_copy(self, update, registrations, now, sent_at):
        registrations = list(registrations)
        names = {registration.name for registration in registrations}
        known = self._copies.get(update.home)
        known_until = now
        if known is not None:
            known_until = known.known_until
            if known.incarnation != update.incarnation:
                known_until = known.last_sent_at + HOME_LEASE_S
        self._registry.replace_home(update.home, names, now, known_until)
        for registration in registrations:
            self._registry.store_copy(update.home, registration, now)
        self._copies[update.home] = _HomeCopy(
            update.incarnation, update.sequence, sent_at, known_until
        )
