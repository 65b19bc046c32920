"""CURVE key pairs and the file of public keys that may connect."""

import os
import pathlib

import attrs
import zmq

Z85_KEY_CHARACTERS = 40


@attrs.frozen
class KeyPair:
    """A CURVE key pair in Z85 text form.

    :ivar secret: never logged, hence left out of the representation.
    """

    public: bytes
    secret: bytes = attrs.field(repr=False)


def make_key_pair():
    """Return a new random :class:`KeyPair`."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public, secret)


class AllowedKeys:
    """The public keys that may connect, read from a file.

    The file has one key a line; text after the key is a comment. It is read
    again when it changed, so that a host can be admitted or barred without a
    restart.

    :param path: path of the file.
    """

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._signature = None
        self._keys = frozenset()

    def allows(self, public_key):
        """Tell whether ``public_key`` (Z85 bytes) may connect."""
        self._refresh()
        return public_key in self._keys

    def _refresh(self):
        try:
            status = os.stat(self._path)
        except OSError:
            # A missing file admits nobody.
            self._keys = frozenset()
            self._signature = None
            return
        signature = (status.st_mtime_ns, status.st_size, status.st_ino)
        if signature == self._signature:
            return
        lines = self._path.read_bytes().splitlines()
        words = (line.split()[0] for line in lines if line.strip())
        self._keys = frozenset(
            word for word in words if len(word) == Z85_KEY_CHARACTERS
        )
        self._signature = signature
