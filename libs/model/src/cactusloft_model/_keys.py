"""Caller keys and their hashes.

A key holds 256 random bits, so a plain SHA-256 is enough: there is nothing to
guess. Documents and daemons keep the hash only.
"""

import base64
import hashlib
import re

KEY_PREFIX = 'clk_'
KEY_BYTES = 32
_HASH_PATTERN = re.compile(r'sha256:[0-9a-f]{64}')


def make_key(random_bytes):
    """Return a new key.

    :param random_bytes: function that returns N random bytes.
    """
    encoded = base64.urlsafe_b64encode(random_bytes(KEY_BYTES))
    return KEY_PREFIX + encoded.decode().rstrip('=')


def hash_key(key):
    """Return the hash under which a document lists a key.

    >>> hash_key('clk_example')[:14]
    'sha256:6f1197a'
    """
    return 'sha256:' + hashlib.sha256(key.encode()).hexdigest()


def is_key_hash(text):
    """Tell whether ``text`` has the form of a key hash."""
    return _HASH_PATTERN.fullmatch(text) is not None
