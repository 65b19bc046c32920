"""Call context: identity, account, priority and deadline of a call.

The entry daemon of a root call creates the context. Nested calls derive
theirs from the parent's, so that account, priority and deadline are inherited
and cannot be raised by a backend server.
"""

import enum
import hashlib

import attrs

CALL_ID_BYTES = 16
RANK_BYTES = 2
# Ranks above this belong to trees whose root may run only once.
UNREPEATABLE_RANK = 0.9


class Priority(enum.IntEnum):
    """Priority class of a route; a higher value is shed later."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


Fingerprint = str


@attrs.frozen
class CallContext:
    """What every hop knows about a call.

    :ivar call_id: 128-bit hexadecimal identity of this call.
    :ivar root_call_id: identity of the caller's request.
    :ivar parent_call_id: identity of the calling call, empty for the root.
    :ivar root_entry: name of the daemon that holds the retry allowance.
    :ivar client_account: account of the caller, empty on open routes.
    :ivar service: name of the service that shall run the call.
    :ivar priority: class inherited from the root call.
    :ivar deadline: monotonic seconds on the clock of the holding daemon.
    :ivar depth: 0 for the root call.
    :ivar idempotent: whether the call may be sent again.
    :ivar fingerprint: digest of account, route and content.
    :ivar is_repeat: whether this call, or one above it, was sent before.
    :ivar rank: of its call tree, see :func:`compute_rank`.
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

    def remaining_ms(self, now):
        """Return milliseconds until the deadline, at least 0.

        :param now: monotonic seconds.
        """
        return max(0, int((self.deadline - now) * 1000))


def compute_rank(root_call_id, priority, idempotent):
    """Return the rank of a call tree among others, above 0 and at most 1.

    All calls of a tree have the same one, so that what is scarce goes to whole
    trees: a tree needs all of its calls. Trees whose root cannot be sent again
    when one of its nested calls fails rank above all others, and among these
    higher classes rank higher on average.

    >>> low = compute_rank('a', Priority.LOW, True)
    >>> low < compute_rank('a', Priority.HIGH, True)
    True
    >>> low < UNREPEATABLE_RANK < compute_rank('a', Priority.LOW, False)
    True
    """
    digest = hashlib.blake2b(root_call_id.encode(), digest_size=RANK_BYTES)
    share = (1 + int.from_bytes(digest.digest(), 'big')) / 256**RANK_BYTES
    if not idempotent:
        return UNREPEATABLE_RANK + (1 - UNREPEATABLE_RANK) * share
    return UNREPEATABLE_RANK * share ** (1 / (1 + priority))


def make_call_id(random_bytes):
    """Return a new call id.

    :param random_bytes: function that returns N random bytes.
    """
    return random_bytes(CALL_ID_BYTES).hex()


def compute_fingerprint(client_account, service, method, path, content):
    """Return the fingerprint of a request.

    :param content: the body, or the part of it that is known at the entry.

    >>> first = compute_fingerprint('a', 's', 'POST', '/x', b'1')
    >>> first == compute_fingerprint('a', 's', 'POST', '/x', b'1')
    True
    >>> first == compute_fingerprint('b', 's', 'POST', '/x', b'1')
    False
    """
    digest = hashlib.blake2b(digest_size=CALL_ID_BYTES)
    for part in (client_account, service, method, path):
        encoded = part.encode()
        # The length in front keeps ('ab', 'c') and ('a', 'bc') apart.
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    digest.update(content)
    return digest.hexdigest()
