"""Durable records of a ledger member in hourly segment files.

Each record has a header with its length and CRC-32. Records are appended in
groups, with one sync per group. All functions block; the service calls them in
a thread.
"""

import fcntl
import os
import pathlib
import struct
import time
import zlib

import attrs
import msgspec

from cactusloft_ledger import _messages

RETENTION_SEGMENTS = 24  # one day
SEGMENT_DURATION_S = 3600.0  # one hour
_RECORD_HEADER = struct.Struct('!II')
# A kept body, its headers and the key fit; a larger length means corruption.
MAX_RECORD_BYTES = 1024 * 1024
_PARTICIPATION_NAME = 'state'


class StorageCorruptedError(Exception):
    """A synced record cannot be read back; replace the folder."""


class StorageFullError(Exception):
    """A group of records was not written; the folder is unchanged."""


class StorageFailedError(Exception):
    """The folder cannot be used.

    Another process uses it, or the state of a segment is unknown after a
    failed sync or truncation.
    """


@attrs.frozen
class RecordLocation:
    """Location of a stored record.

    :ivar segment: number of the segment.
    :ivar offset: offset of the record's header in bytes.
    :ivar size: size of the payload in bytes.
    """

    segment: int
    offset: int
    size: int


@attrs.frozen
class Participation:
    """The last epoch in which the member with this folder voted."""

    replica_id: str = ''
    active_epoch: int = 0


class SegmentStore:
    """Store of one member's records in a folder of its own.

    :param folder: path of the folder, created when missing.
    :param read_clock: function that returns monotonic seconds. Only the time
        while the member runs counts for the retention, so that a wrong wall
        clock cannot delete reservations early.
    """

    def __init__(self, folder, read_clock=time.monotonic):
        self._folder = pathlib.Path(folder)
        self._read_clock = read_clock
        self._lock = None
        self._fd = None
        self._segment = 0
        self._size = 0
        self._segment_started_s = read_clock()
        self._is_failed = False

    def open(self):
        """Lock the folder and return all stored records.

        :returns: list of (:class:`RecordLocation`, payload), oldest first.
        :raises StorageCorruptedError: when a synced record is corrupted.
        :raises StorageFailedError: when another process uses the folder.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        _sync_folder(self._folder.parent)
        self._acquire_lock()
        records = []
        segments = self._list_segments()
        for segment in segments:
            is_last = segment == segments[-1]
            records.extend(self._read_segment(segment, is_last))
        self._open_segment(segments[-1] if segments else 1)
        return records

    def close(self):
        """Close the files and unlock the folder."""
        for fd in (self._fd, self._lock):
            if fd is not None:
                os.close(fd)
        self._fd = self._lock = None

    def append(self, payloads):
        """Write and sync records as one group.

        :returns: list with the :class:`RecordLocation` of each record.
        :raises StorageFullError: when the write failed and nothing was stored.
        :raises StorageFailedError: when the state of the segment is unknown;
            the member must stop.
        """
        if self._is_failed:
            raise StorageFailedError(
                'an earlier write or sync of the segment failed'
            )
        try:
            self._write(b''.join(map(_encode_record, payloads)))
        except OSError as error:
            self._discard_partial_group(error)
            raise StorageFullError(str(error)) from error
        self._sync()
        locations = []
        for payload in payloads:
            location = RecordLocation(self._segment, self._size, len(payload))
            locations.append(location)
            self._size += _RECORD_HEADER.size + len(payload)
        return locations

    def read(self, location):
        """Return the payload at ``location``.

        :raises StorageCorruptedError: when it does not match its checksum.
        """
        with open(self._make_segment_path(location.segment), 'rb') as file:
            file.seek(location.offset)
            data = file.read(_RECORD_HEADER.size + location.size)
        payload = _decode_record(data, 0)
        if payload is None:
            raise StorageCorruptedError(
                f'{location} does not hold a valid record'
            )
        return payload

    def roll(self):
        """Start a new segment when the hour of the current one is over.

        Segments older than the retention are deleted.

        :returns: numbers of the deleted segments.
        """
        elapsed_segments = int(
            (self._read_clock() - self._segment_started_s) / SEGMENT_DURATION_S
        )
        if elapsed_segments <= 0:
            return []
        self._segment_started_s += elapsed_segments * SEGMENT_DURATION_S
        os.close(self._fd)
        self._open_segment(self._segment + elapsed_segments)
        oldest_kept = self._segment - RETENTION_SEGMENTS
        expired = [s for s in self._list_segments() if s < oldest_kept]
        for segment in expired:
            self._make_segment_path(segment).unlink()
        _sync_folder(self._folder)
        return expired

    def ensure_participation(self, replica_id):
        """Return the :class:`Participation` of a replica, new if missing.

        A replica that lost this folder but kept its id must not vote again:
        its earlier votes may still count in the same epoch. A marker file
        beside the folder tells such a replica from a new one.

        :raises StorageCorruptedError: when the folder was lost.
        """
        marker = self._folder.with_name(self._folder.name + '.member')
        participation = self._read_participation()
        if participation.replica_id == replica_id:
            return participation
        if marker.exists() and marker.read_text() == replica_id:
            detail = f'{self._folder} was lost; remove and re-add this replica'
            raise StorageCorruptedError(detail)
        participation = Participation(replica_id)
        self.write_participation(participation)
        _write_synced(marker, replica_id.encode())
        return participation

    def _read_participation(self):
        try:
            data = (self._folder / _PARTICIPATION_NAME).read_bytes()
        except FileNotFoundError:
            return Participation()
        payload = _decode_record(data, 0)
        if payload is None:
            raise StorageCorruptedError(
                f'{self._folder / _PARTICIPATION_NAME} is corrupted'
            )
        return msgspec.msgpack.decode(payload, type=Participation)

    def write_participation(self, participation):
        """Replace the stored participation and sync it."""
        data = _encode_record(msgspec.msgpack.encode(participation))
        _write_synced(self._folder / _PARTICIPATION_NAME, data)

    def _acquire_lock(self):
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        self._lock = os.open(self._folder / 'lock', flags, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            detail = f'{self._folder} is used by another process'
            raise StorageFailedError(detail) from error

    def _make_segment_path(self, segment):
        return self._folder / f'segment-{segment:08d}'

    def _list_segments(self):
        paths = self._folder.glob('segment-*')
        return sorted(int(path.name.partition('-')[2]) for path in paths)

    def _open_segment(self, segment):
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._fd = os.open(self._make_segment_path(segment), flags, 0o600)
        _sync_folder(self._folder)
        self._segment = segment
        self._size = os.fstat(self._fd).st_size

    def _read_segment(self, segment, is_last):
        path = self._make_segment_path(segment)
        data = path.read_bytes()
        records = []
        offset = 0
        while offset < len(data):
            payload = _decode_record(data, offset)
            if payload is None:
                break
            location = RecordLocation(segment, offset, len(payload))
            records.append((location, payload))
            offset += _RECORD_HEADER.size + len(payload)
        if offset < len(data):
            if not is_last or _has_record_after(data, offset):
                detail = f'{path} has a corrupted record at byte {offset}'
                raise StorageCorruptedError(detail)
            _truncate(path, offset)
        return records

    def _write(self, data):
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view) :]

    def _discard_partial_group(self, error):
        """Truncate the segment to remove a partially written group."""
        try:
            os.ftruncate(self._fd, self._size)
        except OSError as truncate_error:
            self._is_failed = True
            raise StorageFailedError(str(truncate_error)) from error

    def _sync(self):
        try:
            os.fsync(self._fd)
        except OSError as error:
            # After a failed fsync the kernel may have discarded the data, and
            # a second fsync would report success.
            self._is_failed = True
            raise StorageFailedError(str(error)) from error


def decode_state(payload):
    """Return the :class:`KeyState` in the payload of a record.

    :raises StorageCorruptedError: when the payload cannot be decoded.
    """
    try:
        return _STATE_DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise StorageCorruptedError(str(error)) from error


_STATE_DECODER = msgspec.msgpack.Decoder(_messages.KeyState)


def _encode_record(payload):
    length = len(payload).to_bytes(4, 'big')
    # The checksum covers the length too, as a corrupted length must not hide
    # later records.
    checksum = zlib.crc32(payload, zlib.crc32(length))
    return _RECORD_HEADER.pack(len(payload), checksum) + payload


def _decode_record(data, offset):
    """Return the payload of the record at ``offset``, None if invalid."""
    start = offset + _RECORD_HEADER.size
    if start > len(data):
        return None
    length, checksum = _RECORD_HEADER.unpack_from(data, offset)
    if length > MAX_RECORD_BYTES or start + length > len(data):
        return None
    payload = data[start : start + length]
    seed = zlib.crc32(length.to_bytes(4, 'big'))
    return payload if zlib.crc32(payload, seed) == checksum else None


def _has_record_after(data, offset):
    """Tell whether a valid record follows the invalid one at ``offset``.

    None follows a partially written group, unless its pages reached the disk
    out of order. The member then stops as for a corrupted record, which is
    the safe choice.
    """
    last = len(data) - _RECORD_HEADER.size
    # A file that was extended but not written has zeros, which are no record.
    return any(
        _decode_record(data, start)
        for start in range(offset + 1, last)
        if data[start : start + 4] != b'\0\0\0\0'
    )


def _truncate(path, size):
    with open(path, 'r+b') as file:
        file.truncate(size)
        os.fsync(file.fileno())


def _write_synced(path, data):
    """Replace the file at ``path`` atomically and sync it."""
    new_path = path.with_name(path.name + '.new')
    with open(new_path, 'wb') as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    new_path.replace(path)
    _sync_folder(path.parent)


def _sync_folder(folder):
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
