"""API keys of client accounts, and their hashes.

A key holds 256 random bits, so an unsalted SHA-256 resists brute force.
Documents and daemons store only the hash.
"""

import base64
import hashlib
import re

KEY_PREFIX = 'clk_'
KEY_BYTES = 32
_HASH_PATTERN = re.compile(r'sha256:[0-9a-f]{64}')


def make_key(random_bytes):
    """Return a new random API key.

    :param random_bytes: function(count) that returns random bytes.
    """
    encoded = base64.urlsafe_b64encode(random_bytes(KEY_BYTES))
    return KEY_PREFIX + encoded.decode().rstrip('=')


def hash_key(key):
    """Return the hash of ``key`` in the format of a document.

    >>> hash_key('clk_example')[:14]
    'sha256:6f1197a'
    """
    return 'sha256:' + hashlib.sha256(key.encode()).hexdigest()


def is_key_hash(text):
    """Tell whether ``text`` is a well-formed key hash."""
    return _HASH_PATTERN.fullmatch(text) is not None
