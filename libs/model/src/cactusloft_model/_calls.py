"""Call context: id, account, priority and deadline of a call.

The entry daemon of a root call creates the context. A nested call derives its
context from its parent's, so a backend server cannot change the account, raise
the priority or extend the deadline.
"""

import enum
import hashlib

import attrs

CALL_ID_BYTES = 16
RANK_BYTES = 2
# Call trees whose root is not idempotent rank above this.
MIN_NON_IDEMPOTENT_RANK = 0.9


class Priority(enum.IntEnum):
    """Priority class of a route; lower values are shed first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


Fingerprint = str


# Without slots, a frozen class takes half the time to create.
@attrs.frozen(slots=False)
class CallContext:
    """Properties of a call that are passed on at every hop.

    :ivar call_id: 128-bit hexadecimal id of this call.
    :ivar root_call_id: id of the root call of the tree.
    :ivar parent_call_id: id of the parent call, empty for the root call.
    :ivar root_entry: name of the daemon that holds the retry allowance.
    :ivar client_account: account charged for the call, empty on open routes.
    :ivar service: name of the service that runs the call.
    :ivar priority: priority inherited from the root call.
    :ivar deadline: seconds on the monotonic clock of the local daemon.
    :ivar depth: nesting level, 0 for the root call.
    :ivar idempotent: whether the call may run more than once.
    :ivar fingerprint: digest of account, service, method, path and body.
    :ivar is_repeat: whether this call or one of its ancestors is a retry.
    :ivar rank: rank of its call tree, see :func:`compute_rank`.
    :ivar urgency: priority of the route of the root call, which orders calls
        inside a priority class; 0 where the class alone decides.
    :ivar is_return: whether the root call came back after a refusal.
    """

    call_id: str
    root_call_id: str
    parent_call_id: str
    root_entry: str
    client_account: str
    service: str
    priority: Priority
    deadline: float
    depth: int
    idempotent: bool
    fingerprint: Fingerprint
    is_repeat: bool = False
    rank: float = 1.0
    urgency: int = 0
    is_return: bool = False

    def remaining_ms(self, now):
        """Return the milliseconds left until the deadline, at least 0.

        :param now: monotonic seconds.
        """
        return max(0, int((self.deadline - now) * 1000))


def compute_rank(root_call_id, priority, idempotent):
    """Return the rank of a call tree, above 0 and at most 1.

    Queued nested calls of a higher rank start first. All calls of a tree
    share one rank, because a tree succeeds only if each of its calls does.
    Trees with a non-idempotent root, which cannot be retried when a nested
    call fails, rank above all others. Among trees with an idempotent root, a
    higher priority gives a higher rank on average.

    >>> low = compute_rank('a', Priority.LOW, True)
    >>> low < compute_rank('a', Priority.HIGH, True)
    True
    >>> low < MIN_NON_IDEMPOTENT_RANK < compute_rank('a', Priority.LOW, False)
    True
    """
    digest = hashlib.blake2b(root_call_id.encode(), digest_size=RANK_BYTES)
    uniform = (1 + int.from_bytes(digest.digest(), 'big')) / 256**RANK_BYTES
    if not idempotent:
        return (
            MIN_NON_IDEMPOTENT_RANK + (1 - MIN_NON_IDEMPOTENT_RANK) * uniform
        )
    return MIN_NON_IDEMPOTENT_RANK * uniform ** (1 / (1 + priority))


def make_call_id(random_bytes):
    """Return a new random call id.

    :param random_bytes: function(count) that returns random bytes.
    """
    return random_bytes(CALL_ID_BYTES).hex()


def compute_fingerprint(client_account, service, method, path, content):
    """Return the fingerprint of a request.

    :param content: the body, or the part that the entry daemon has received.

    >>> first = compute_fingerprint('a', 's', 'POST', '/x', b'1')
    >>> first == compute_fingerprint('a', 's', 'POST', '/x', b'1')
    True
    >>> first == compute_fingerprint('b', 's', 'POST', '/x', b'1')
    False
    """
    parts = [part.encode() for part in (client_account, service, method, path)]
    # The length prefix keeps ('ab', 'c') and ('a', 'bc') distinct.
    prefixed = [len(part).to_bytes(4, 'big') + part for part in parts]
    digest = hashlib.blake2b(b''.join(prefixed), digest_size=CALL_ID_BYTES)
    digest.update(content)
    return digest.hexdigest()
