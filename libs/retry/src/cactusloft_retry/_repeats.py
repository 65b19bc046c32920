"""Detection of nested requests repeated within one parent call."""

import hashlib

DIGEST_BYTES = 16
MAX_REQUESTS_PER_CALL = 10_000


def digest_request(service, method, path, content):
    """Return a digest that is equal for repeats of the same request.

    >>> first = digest_request('s', 'GET', '/x', b'')
    >>> first == digest_request('s', 'GET', '/x', b'')
    True
    >>> first == digest_request('s', 'GET', '/y', b'')
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (service, method, path):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    digest.update(content)
    return digest.digest()


class NestedRequests:
    """Digests of the nested requests of each call in flight."""

    def __init__(self):
        self._digests = {}

    def __len__(self):
        return len(self._digests)

    def record(self, parent_call_id, digest):
        """Record a nested request.

        :returns: whether the parent call made the same request before. Beyond
            ``MAX_REQUESTS_PER_CALL`` every request counts as a repeat, to
            bound the memory used by one call.
        """
        digests = self._digests.setdefault(parent_call_id, set())
        if digest in digests or len(digests) >= MAX_REQUESTS_PER_CALL:
            return True
        digests.add(digest)
        return False

    def remove_call(self, parent_call_id):
        """Remove the requests of a call that ended."""
        self._digests.pop(parent_call_id, None)
