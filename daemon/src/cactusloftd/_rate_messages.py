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
    :ivar holders: number of daemons that asked for debits of late.
    :ivar short_accounts: accounts that use their rate, or nearly.
    """

    grants: tuple[quota.AccountGrant, ...] | None
    leader: str
    holders: int = 0
    short_accounts: tuple[str, ...] = ()
