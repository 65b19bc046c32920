"""Replies of the control leader about rates of client accounts."""

import attrs

import cactusloft_quota as quota


@attrs.frozen
class LeaseReply:
    """Reply to ``quota.LeaseRequest``.

    :ivar grant: the lease, or None when this daemon gives none.
    :ivar leader: replica id of the control leader, empty when not known.
    """

    grant: quota.Grant | None
    leader: str


@attrs.frozen
class DebitReply:
    """Reply to ``quota.DebitRequest``.

    :ivar grants: a grant for each known account, or None when this daemon
        gives none.
    :ivar leader: replica id of the control leader, empty when not known.
    """

    grants: tuple[quota.AccountGrant, ...] | None
    leader: str
