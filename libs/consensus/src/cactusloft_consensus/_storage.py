"""Log file of a replica with one record for each group commit.

The first record holds the replica id and the whole state; each later one holds
the changes of one group commit. A record consists of magic bytes, the length
and the CRC-32 of its payload, and the payload. A crash can leave only the last
record incomplete, so an unreadable record followed by a readable one means
that the file is corrupted.
"""

import struct
import zlib

import attrs
import msgspec

from cactusloft_consensus import _messages
from cactusloft_consensus import _node

LOG_NAME = 'log'
NEW_LOG_NAME = 'log.new'
REPLICA_ID_BYTES = 16
_MAGIC = b'\xc1CL1'
_RECORD_HEADER = struct.Struct('>4sII')
_NO_VOTE = _messages.VoteRecord(0, '')


class StorageError(Exception):
    """The data folder is in use or its log is corrupted."""


@attrs.frozen
class _Batch:
    """Payload of one record.

    :ivar sequence: number of the record in the file, from 0.
    :ivar rewrite: whole state, in the first record only.
    """

    sequence: int
    replica_id: str
    rewrite: _messages.Rewrite | None = None
    vote: _messages.VoteRecord | None = None
    entries: tuple[_messages.Entry, ...] = ()


class Storage:
    """Open log file of one replica.

    :param files: :class:`Files` of the locked data folder.
    :param replica_id: identity of the data folder.
    :param sequence: sequence number of the last record in the file.
    """

    def __init__(self, files, replica_id, sequence):
        self._files = files
        self._replica_id = replica_id
        self._sequence = sequence
        self._size = 0

    def persist(self, records):
        """Write and sync ``records`` as one group commit.

        :raises OSError: if the disk is full or fails; the storage must then be
            opened again before any further use.
        """
        position = _find_last_rewrite(records)
        if position is not None:
            self._replace_log(records[position])
            records = records[position + 1 :]
        if not records:
            return
        votes = [r for r in records if isinstance(r, _messages.VoteRecord)]
        batch = _Batch(
            sequence=self._sequence + 1,
            replica_id=self._replica_id,
            vote=votes[-1] if votes else None,
            entries=_join_entries(records),
        )
        self._files.append_synced(LOG_NAME, _encode(batch))
        self._sequence += 1

    def _replace_log(self, rewrite):
        batch = _Batch(0, self._replica_id, rewrite=rewrite)
        self._files.write_synced(NEW_LOG_NAME, _encode(batch))
        self._files.rename_synced(NEW_LOG_NAME, LOG_NAME)
        self._sequence = 0

    def close(self):
        """Close the log and unlock the data folder."""
        self._files.close()


def open_storage(files, random_bytes):
    """Lock the data folder and read its state.

    An empty folder gets a new random replica id. An incomplete last record
    is truncated.

    :param files: :class:`Files` of the data folder.
    :param random_bytes: function that returns N random bytes.
    :returns: tuple of :class:`Storage` and :class:`PersistedState`.
    :raises StorageError: if the folder is in use or the log is corrupted.
    """
    try:
        files.lock()
    except BlockingIOError:
        raise StorageError('the data folder is in use by another process')
    content = files.read(LOG_NAME)
    if content is None:
        return _create(files, random_bytes(REPLICA_ID_BYTES).hex())
    batches, valid_bytes = _read_batches(content)
    if valid_bytes < len(content):
        files.truncate_synced(LOG_NAME, valid_bytes)
    last = batches[-1]
    storage = Storage(files, last.replica_id, last.sequence)
    return storage, _replay(batches)


def _create(files, replica_id):
    storage = Storage(files, replica_id, 0)
    rewrite = _messages.Rewrite(_NO_VOTE, _messages.EMPTY_SNAPSHOT, ())
    storage.persist((rewrite,))
    persisted = _node.PersistedState(
        replica_id, _NO_VOTE, _messages.EMPTY_SNAPSHOT, ()
    )
    return storage, persisted


def _encode(batch):
    payload = msgspec.msgpack.encode(batch)
    header = _RECORD_HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload))
    return header + payload


def _decode(content, position):
    """Decode the record at ``position``.

    :returns: tuple of :class:`_Batch` and the end position of the record, or
        None if it is incomplete or fails its checksum.
    """
    if position + _RECORD_HEADER.size > len(content):
        return None
    magic, length, checksum = _RECORD_HEADER.unpack_from(content, position)
    start = position + _RECORD_HEADER.size
    payload = content[start : start + length]
    if magic != _MAGIC or len(payload) < length:
        return None
    if zlib.crc32(payload) != checksum:
        return None
    return msgspec.msgpack.decode(payload, type=_Batch), start + length


def _read_batches(content):
    batches, position = [], 0
    while position < len(content):
        decoded = _decode(content, position)
        if decoded is None:
            _check_is_last(content, position, batches)
            break
        batch, end = decoded
        if batch.sequence != len(batches):
            raise StorageError(
                f'log damaged at byte {position}: record {batch.sequence} '
                f'where record {len(batches)} belongs'
            )
        batches.append(batch)
        position = end
    if not batches or batches[0].rewrite is None:
        raise StorageError(
            'log damaged at byte 0: the first record is missing'
        )
    return batches, position


def _check_is_last(content, position, batches):
    """Check that no readable record follows the unreadable one.

    :raises StorageError: if one does.
    """
    later = content.find(_MAGIC, position + 1)
    while later >= 0:
        if _decode(content, later) is not None:
            raise StorageError(
                f'log damaged at byte {position}: record {len(batches)} is '
                f'unreadable, but a later one at byte {later} is readable'
            )
        later = content.find(_MAGIC, later + 1)


def _replay(batches):
    rewrite = batches[0].rewrite
    vote, entries = rewrite.vote, list(rewrite.entries)
    base = rewrite.snapshot.index + 1
    for batch in batches[1:]:
        vote = batch.vote or vote
        if batch.entries:
            del entries[batch.entries[0].index - base :]
            entries.extend(batch.entries)
    return _node.PersistedState(
        batches[0].replica_id, vote, rewrite.snapshot, tuple(entries)
    )


def _find_last_rewrite(records):
    positions = (
        position
        for position in reversed(range(len(records)))
        if isinstance(records[position], _messages.Rewrite)
    )
    return next(positions, None)


def _join_entries(records):
    """Join the entries of ``records``.

    Each record replaces all earlier entries from its first index on.
    """
    joined = []
    for record in records:
        if not isinstance(record, _messages.EntriesRecord):
            continue
        first = record.entries[0].index
        joined = [entry for entry in joined if entry.index < first]
        joined.extend(record.entries)
    return tuple(joined)
