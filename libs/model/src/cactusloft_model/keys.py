"""API keys of client accounts: generating, hashing and validating them."""

from cactusloft_model._keys import hash_key
from cactusloft_model._keys import is_key_hash
from cactusloft_model._keys import KEY_PREFIX
from cactusloft_model._keys import make_key

__all__ = ['KEY_PREFIX', 'hash_key', 'is_key_hash', 'make_key']
