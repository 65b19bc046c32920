"""The control group as a control replica knows it."""

from cactusloftd import _control
from cactusloftd import _messages


def make_group(replica):
    """Return the :class:`_messages.ControlGroup` of a replica."""
    membership = replica.membership
    members = []
    for member in membership.members:
        address = _control.ReplicaAddress.parse(member.address)
        members.append(
            _messages.ControlMember(
                member.replica_id,
                address.daemon,
                address.endpoint,
                address.public_key,
                member.is_voter,
                address.data_centre,
            )
        )
    return _messages.ControlGroup(
        membership.version, replica.leader_id, tuple(members)
    )
