"""What a daemon knows of the control group: epoch, voters and leader.

Control replicas read it from their replica. Other daemons get it as a table of
the watch, and relays pass the table on.
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
    """The control group.

    :ivar epoch: version of the control membership, 0 when unknown.
    :ivar term: term of the replicated log in which ``leader`` leads.
    :ivar leader: replica id, empty when none is known.
    """

    epoch: int = 0
    voters: tuple[Voter, ...] = ()
    term: int = 0
    leader: str = ''

    def find_voter(self, replica_id):
        """Return the :class:`Voter` with this identity, or None."""
        found = (v for v in self.voters if v.replica_id == replica_id)
        return next(found, None)


NO_GROUP = Group()


class LocalReplica(typing.Protocol):
    """The part of ``consensus.Replica`` that is used here."""

    replica_id: str
    is_leader: bool
    confirmed_at: float | None
    term: int
    leader: object
    membership: object


class GroupView:
    """The newest group that this daemon knows.

    :param replica: :class:`LocalReplica`, or None without that role.
    """

    def __init__(self, replica=None):
        self.replica = replica
        self._taken = NO_GROUP

    def read(self):
        """Return the :class:`Group`."""
        if self.replica is None:
            return self._taken
        # A replica that was removed stays behind what it is told.
        return max(self._taken, _read_replica(self.replica), key=_order)

    def make_report(self):
        """Return nothing: control hosts ask for no report."""
        return b''

    def take(self, content):
        """Take the table from a control host."""
        group = msgspec.msgpack.decode(content, type=Group)
        self._taken = max(self._taken, group, key=_order)

    def exchange(self, _daemon, request):
        """Return the table when a daemon lacks it; see ``TableOwner``."""
        group = self.read()
        if not group.epoch:
            return None
        content = msgspec.msgpack.encode(group)
        version = zlib.crc32(content)
        if version == request.known:
            return None
        return _messages.Table(TABLE, version, content)


def _order(group):
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
    address = _control.Address.parse(member.address)
    return Voter(member.replica_id, address.endpoint, address.public_key)
