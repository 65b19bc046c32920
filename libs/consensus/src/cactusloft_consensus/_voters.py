"""Which member a leader removes because it no longer replies."""

# A member that has not replied for this long is removed, so that one that is
# lost for good no longer counts towards a majority. A member that returns
# joins again. Longer than a restart, a process freeze or a short network
# partition.
UNRESPONSIVE_TIMEOUT_S = 12.0


def find_removable_member(members, missed_s, min_voters):
    """Return the id of the member to remove next, or None.

    :param members: :class:`Member` iterable, the membership in the log.
    :param missed_s: for each member, seconds of heartbeats without a reply.
    :param min_voters: minimum number of responsive voters that must be left.
    """
    unresponsive = [
        member.replica_id
        for member in members
        if missed_s[member.replica_id] > UNRESPONSIVE_TIMEOUT_S
    ]
    left = [
        member
        for member in members
        if member.is_voter and member.replica_id not in unresponsive
    ]
    if not unresponsive or len(left) < min_voters:
        return None
    return unresponsive[0]
