"""Replies of the control leader to requests for rate leases and debits."""

import attrs

import cactusloft_quota as quota


@attrs.frozen
class LeaseReply:
    """Reply to ``quota.LeaseRequest``.

    :ivar grant: the lease, or None if this daemon grants none.
    :ivar leader: replica id of the control leader, empty if unknown.
    """

    grant: quota.Grant | None
    leader: str


@attrs.frozen
class DebitReply:
    """Reply to ``quota.DebitRequest``.

    :ivar grants: a grant for each known account, or None if this daemon
        grants none.
    :ivar leader: replica id of the control leader, empty if unknown.
    """

    grants: tuple[quota.AccountGrant, ...] | None
    leader: str
