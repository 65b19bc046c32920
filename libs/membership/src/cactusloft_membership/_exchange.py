"""Exchange of registrations between control hosts.

Each control host is the home of the daemons that watch it and sends the others
differences of its home table. A difference names the state that it applies to,
so a lost or reordered one shows at its receiver, whose receipt makes the home
send a full copy in pages. Differences carry the latest registrations and not
single steps, so one that comes twice does no harm.
"""

import collections
import itertools

import attrs

from cactusloft_membership import _registrations

# A copy lapses as a whole when its home is silent for this time, which is the
# lease that a daemon has at its home.
HOME_LEASE_S = 3.0
# Daemons of a lost home register elsewhere within this time of their start.
REGISTRATION_SETTLE_S = 3.0
PAGE_SIZE = 256
# Beyond this number of changed daemons a full copy is not much larger.
KEPT_CHANGES = 1024


@attrs.frozen
class HomeUpdate:
    """A difference of a home table, or a page of a full copy.

    Without changes it is the heartbeat of the home.

    :ivar incarnation: wall clock milliseconds at the start of the home.
    :ivar base: sequence that it applies to, or None for a full copy.
    :ivar sequence: sequence of the state that it leads to.
    :ivar page: number of the page, from 0.
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
    """What the receiver holds of a home after :class:`HomeUpdate`.

    :ivar incarnation: incarnation of the home, or None without a copy.
    """

    incarnation: int | None
    sequence: int


class HomeTable:
    """Differences of this control host's home table.

    :param name: name of this control host.
    :param incarnation: wall clock milliseconds at its start.
    :param held: :class:`Registry`, whose ``on_own_change`` is taken over.
    """

    def __init__(self, name, incarnation, held):
        self._name = name
        self._incarnation = incarnation
        self._held = held
        self._sequence = 0
        self._changed_at = collections.OrderedDict()
        self._first_base = 0
        held.on_own_change = self.record_change

    @property
    def sequence(self):
        """Return the sequence of the present state."""
        return self._sequence

    def record_change(self, name):
        """Take note that the entry of a daemon changed."""
        self._sequence += 1
        self._changed_at[name] = self._sequence
        self._changed_at.move_to_end(name)
        if len(self._changed_at) > KEPT_CHANGES:
            _, self._first_base = self._changed_at.popitem(last=False)

    def list_updates(self, receipt):
        """Return the messages that bring a receiver to the present state.

        :param receipt: its last :class:`HomeAck`, or None.
        """
        is_known = (
            receipt is not None
            and receipt.incarnation == self._incarnation
            and self._first_base <= receipt.sequence <= self._sequence
        )
        if is_known:
            return [self._make_difference(receipt.sequence)]
        return self._list_pages()

    def _make_difference(self, base):
        recent = itertools.takewhile(
            lambda item: item[1] > base, reversed(self._changed_at.items())
        )
        names = [name for name, _ in recent]
        found = {
            name: self._held.find_local_registration(name) for name in names
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
        own = self._held.list_own()
        starts = range(0, max(1, len(own)), PAGE_SIZE)
        return [
            HomeUpdate(
                self._name,
                self._incarnation,
                None,
                self._sequence,
                page=start // PAGE_SIZE,
                is_last=start == starts[-1],
                changed=tuple(own[start : start + PAGE_SIZE]),
            )
            for start in starts
        ]


@attrs.define
class _Copy:
    """State of a copy, and when its home was heard last."""

    incarnation: int
    sequence: int
    heard_at: float

    @property
    def position(self):
        """Return the place in the order of the home's states."""
        return self.incarnation, self.sequence


class HomeCopies:
    """Copies of the home tables of the other control hosts.

    :param held: :class:`Registry` that takes the registrations.
    """

    def __init__(self, held):
        self._held = held
        self._copies = {}
        self._partial = {}

    def apply(self, news, now, age_s=0.0):
        """Take a message of a home.

        :param news: :class:`HomeUpdate`.
        :param now: monotonic seconds.
        :param age_s: seconds that it was under way.
        :returns: :class:`HomeAck`.
        """
        self.expire(now)
        heard_at = now - age_s
        copy = self._copies.get(news.home)
        is_stale = copy and copy.position > (news.incarnation, news.sequence)
        if heard_at + HOME_LEASE_S > now and not is_stale:
            if news.base is None:
                self._take_page(news, now, heard_at)
            else:
                self._take_difference(news, now, heard_at)
        copy = self._copies.get(news.home)
        if copy is None:
            return HomeAck(None, 0)
        return HomeAck(*copy.position)

    def expire(self, now):
        """Drop the copies of homes that are silent for too long.

        :returns: names of the homes.
        """
        lapsed = [
            home
            for home, copy in self._copies.items()
            if copy.heard_at + HOME_LEASE_S <= now
        ]
        for home in lapsed:
            del self._copies[home]
            self._partial.pop(home, None)
            self._held.drop_home(home, now)
        return lapsed

    def _take_difference(self, news, now, heard_at):
        copy = self._copies.get(news.home)
        if copy is None or copy.incarnation != news.incarnation:
            return
        # The home is alive, whether or not the difference fits.
        copy.heard_at = max(copy.heard_at, heard_at)
        if news.base > copy.sequence:
            return
        for registration in news.changed:
            self._held.take_copy(news.home, registration, now)
        for name in news.gone:
            self._held.drop_copy(news.home, name, now)
        copy.sequence = news.sequence

    def _take_page(self, news, now, heard_at):
        key = news.incarnation, news.sequence
        known_key, pages = self._partial.get(news.home, (None, []))
        if news.page == 0:
            known_key, pages = key, []
        if known_key != key or news.page != len(pages):
            # A page is missing; the home starts again after the receipt.
            self._partial.pop(news.home, None)
            return
        pages.append(news.changed)
        self._partial[news.home] = key, pages
        if news.is_last:
            del self._partial[news.home]
            self._install(news, itertools.chain(*pages), now, heard_at)

    def _install(self, news, registrations, now, heard_at):
        registrations = list(registrations)
        names = {registration.name for registration in registrations}
        self._held.drop_home(news.home, now, kept=names)
        for registration in registrations:
            self._held.take_copy(news.home, registration, now)
        self._copies[news.home] = _Copy(
            news.incarnation, news.sequence, heard_at
        )
