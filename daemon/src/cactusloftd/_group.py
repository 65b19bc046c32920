"""A daemon's view of the control group: epoch, voters and leader.

Control hosts with a replica read the group from it. Other daemons receive it
as a table of the watch, and relays pass the table on.
"""

import typing
import zlib

import attrs
import msgspec

import cactusloft_link as link
from cactusloftd import _control
from cactusloftd import _messages

TABLE = 'group'


@attrs.frozen
class Voter:
    """A voting control replica, which is also a ledger member."""

    replica_id: str
    endpoint: str
    public_key: str

    @property
    def address(self):
        """Return its :class:`link.PeerAddress`."""
        return link.PeerAddress(self.endpoint, self.public_key)


@attrs.frozen
class Group:
    """Voters and leader of the control group.

    :ivar epoch: version of the control membership, 0 when unknown.
    :ivar term: consensus term of ``leader``.
    :ivar leader: replica id, empty when none is known.
    """

    epoch: int = 0
    voters: tuple[Voter, ...] = ()
    term: int = 0
    leader: str = ''

    def find_voter(self, replica_id):
        """Return the :class:`Voter` with this replica id, or None."""
        matching = (v for v in self.voters if v.replica_id == replica_id)
        return next(matching, None)


NO_GROUP = Group()


class LocalReplica(typing.Protocol):
    """Attributes of ``consensus.Replica`` that are used here."""

    replica_id: str
    is_leader: bool
    confirmed_at: float | None
    term: int
    leader: object
    membership: object


class GroupView:
    """The newest control group that this daemon knows.

    :param replica: :class:`LocalReplica`, or None on other daemons.
    """

    def __init__(self, replica=None):
        self.replica = replica
        self._received = NO_GROUP

    def read(self):
        """Return the :class:`Group`."""
        if self.replica is None:
            return self._received
        # A removed replica gets no further log entries, so the table that
        # the daemon received may be newer.
        return max(self._received, _read_replica(self.replica), key=_sort_key)

    def make_report(self):
        """Return an empty report, since control hosts need none."""
        return b''

    def apply(self, content):
        """Apply the table of a control host if it is newer."""
        group = msgspec.msgpack.decode(content, type=Group)
        self._received = max(self._received, group, key=_sort_key)

    def exchange(self, _daemon, request):
        """Return the table unless the daemon has it; see ``TableOwner``."""
        group = self.read()
        if not group.epoch:
            return None
        content = msgspec.msgpack.encode(group)
        version = zlib.crc32(content)
        if version == request.known:
            return None
        return _messages.Table(TABLE, version, content)


def _sort_key(group):
    return group.epoch, group.term, bool(group.leader)


def _read_replica(replica):
    membership = replica.membership
    leader = replica.leader
    return Group(
        membership.version,
        tuple(_make_voter(m) for m in membership.members if m.is_voter),
        replica.term,
        leader.replica_id if leader else '',
    )


def _make_voter(member):
    address = _control.ReplicaAddress.parse(member.address)
    return Voter(member.replica_id, address.endpoint, address.public_key)
