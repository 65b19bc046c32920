"""File layer of the storage, so that tests can lose unsynced bytes."""

import fcntl
import os
import pathlib
import typing

LOCK_NAME = 'lock'


class Files(typing.Protocol):
    """Files of one data folder; every method may raise ``OSError``."""

    def lock(self):
        """Take the folder for this process, or raise BlockingIOError."""

    def read(self, name):
        """Return the content of a file, or None if there is none."""

    def write_synced(self, name, content):
        """Create or replace a file and sync it."""

    def append_synced(self, name, content):
        """Add bytes to the end of a file and sync it."""

    def truncate_synced(self, name, size):
        """Cut a file to ``size`` bytes and sync it."""

    def rename_synced(self, old, new):
        """Rename a file over another and sync the folder."""

    def close(self):
        """Release the folder."""


class FolderFiles:
    """Files in a folder of the local file system.

    :param folder: path; created if missing.
    """

    def __init__(self, folder):
        self._folder = pathlib.Path(folder)
        self._lock = None
        self._append_handles = {}

    def lock(self):
        """Take the folder for this process, or raise BlockingIOError."""
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        handle = open(self._folder / LOCK_NAME, 'ab')
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            handle.close()
            raise
        self._lock = handle

    def read(self, name):
        """Return the content of a file, or None if there is none."""
        path = self._folder / name
        return path.read_bytes() if path.exists() else None

    def write_synced(self, name, content):
        """Create or replace a file and sync it."""
        with open(self._folder / name, 'wb') as handle:
            _write_and_sync(handle, content)

    def append_synced(self, name, content):
        """Add bytes to the end of a file and sync it."""
        handle = self._append_handles.get(name)
        if handle is None:
            handle = open(self._folder / name, 'ab', buffering=0)
            self._append_handles[name] = handle
        _write_and_sync(handle, content)

    def truncate_synced(self, name, size):
        """Cut a file to ``size`` bytes and sync it."""
        with open(self._folder / name, 'r+b') as handle:
            handle.truncate(size)
            os.fsync(handle.fileno())

    def rename_synced(self, old, new):
        """Rename a file over another and sync the folder."""
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
        """Release the folder."""
        for handle in self._append_handles.values():
            handle.close()
        self._append_handles.clear()
        if self._lock is not None:
            self._lock.close()
            self._lock = None


def _write_and_sync(handle, content):
    view = memoryview(content)
    while view:
        view = view[handle.write(view) :]
    handle.flush()
    os.fsync(handle.fileno())
