"""CURVE key pairs, and the file of public keys that may connect."""

import os
import pathlib

import attrs

Z85_KEY_CHARACTERS = 40


@attrs.frozen
class KeyPair:
    """A CURVE key pair in Z85 encoding.

    :ivar secret: not part of ``repr()``, so that it is never logged.
    """

    public: bytes
    secret: bytes = attrs.field(repr=False)


def make_key_pair():
    """Return a new random :class:`KeyPair`."""
    # Residents have plain links and no memory for what it imports.
    import zmq

    public, secret = zmq.curve_keypair()
    return KeyPair(public, secret)


class AllowedKeys:
    """The public keys that may connect, read from a file.

    The file has one key per line; text after the key is a comment. It is
    read again when it changes, so that a host can be admitted or excluded
    without a restart.

    :param path: path of the file.
    """

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._file_version = None
        self._keys = frozenset()

    def allows(self, public_key):
        """Tell whether ``public_key`` (Z85-encoded bytes) may connect."""
        self._reload_if_changed()
        return public_key in self._keys

    def _reload_if_changed(self):
        try:
            status = os.stat(self._path)
        except OSError:
            # While the file is missing, no peer may connect.
            self._keys = frozenset()
            self._file_version = None
            return
        file_version = (status.st_mtime_ns, status.st_size, status.st_ino)
        if file_version == self._file_version:
            return
        lines = self._path.read_bytes().splitlines()
        first_words = (line.split()[0] for line in lines if line.strip())
        self._keys = frozenset(
            key for key in first_words if len(key) == Z85_KEY_CHARACTERS
        )
        self._file_version = file_version
