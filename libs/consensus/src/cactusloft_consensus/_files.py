"""Files of a data folder; tests replace them by a simulated disk."""

import fcntl
import os
import pathlib
import typing

LOCK_NAME = 'lock'


class Files(typing.Protocol):
    """Files of one data folder; each method may raise ``OSError``."""

    def lock(self):
        """Lock the folder, or raise ``BlockingIOError`` if it is locked."""

    def read(self, name):
        """Return the content of a file, or None if it is missing."""

    def write_synced(self, name, content):
        """Create or replace a file and sync it."""

    def append_synced(self, name, content):
        """Append to a file and sync it."""

    def truncate_synced(self, name, size):
        """Truncate a file to ``size`` bytes and sync it."""

    def rename_synced(self, old, new):
        """Rename a file, replacing any file ``new``, and sync the folder."""

    def close(self):
        """Close open files and unlock the folder."""


class FolderFiles:
    """Files in a folder of the local file system.

    :param folder: path of the folder, which :meth:`lock` creates.
    """

    def __init__(self, folder):
        self._folder = pathlib.Path(folder)
        self._lock_handle = None
        self._append_handles = {}

    def lock(self):
        """Lock the folder, or raise ``BlockingIOError`` if it is locked."""
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        handle = open(self._folder / LOCK_NAME, 'ab')
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            handle.close()
            raise
        self._lock_handle = handle

    def read(self, name):
        """Return the content of a file, or None if it is missing."""
        path = self._folder / name
        return path.read_bytes() if path.exists() else None

    def write_synced(self, name, content):
        """Create or replace a file and sync it."""
        with open(self._folder / name, 'wb') as handle:
            _write_and_sync(handle, content)

    def append_synced(self, name, content):
        """Append to a file and sync it."""
        handle = self._append_handles.get(name)
        if handle is None:
            handle = open(self._folder / name, 'ab', buffering=0)
            self._append_handles[name] = handle
        _write_and_sync(handle, content)

    def truncate_synced(self, name, size):
        """Truncate a file to ``size`` bytes and sync it."""
        with open(self._folder / name, 'r+b') as handle:
            handle.truncate(size)
            os.fsync(handle.fileno())

    def rename_synced(self, old, new):
        """Rename a file, replacing any file ``new``, and sync the folder."""
        replaced = self._append_handles.pop(new, None)
        if replaced is not None:
            replaced.close()
        os.replace(self._folder / old, self._folder / new)
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self):
        """Close open files and unlock the folder."""
        for handle in self._append_handles.values():
            handle.close()
        self._append_handles.clear()
        if self._lock_handle is not None:
            self._lock_handle.close()
            self._lock_handle = None


def _write_and_sync(handle, content):
    view = memoryview(content)
    while view:
        view = view[handle.write(view) :]
    handle.flush()
    os.fsync(handle.fileno())
