"""Segment store under torn writes, corruption and failing system calls."""

import pytest

from cactusloft_ledger import _storage

PAYLOADS = [b'first', b'second', b'third']


def open_store(folder, read_clock=lambda: 0.0):
    store = _storage.SegmentStore(folder, read_clock)
    return store, [payload for _, payload in store.open()]


def write_segment(folder):
    """Write three groups of one record each.

    :returns: path of the segment, and its content.
    """
    store, _ = open_store(folder)
    for payload in PAYLOADS:
        store.append([payload])
    store.close()
    path = folder / 'segment-00000001'
    return path, path.read_bytes()


def test_last_record_torn_at_each_byte_is_truncated(tmp_path):
    """A partially written last record is truncated and hides no other.

    A process that is killed during a write leaves such a record.
    """
    path, data = write_segment(tmp_path / 'ledger')
    start = len(data) - _storage._RECORD_HEADER.size - len(PAYLOADS[-1])
    for size in range(start, len(data)):
        path.write_bytes(data[:size])
        store, payloads = open_store(tmp_path / 'ledger')
        assert payloads == PAYLOADS[:2]
        store.append([b'next'])
        store.close()
        store, payloads = open_store(tmp_path / 'ledger')
        assert payloads == [*PAYLOADS[:2], b'next']
        store.close()


def test_each_corrupted_byte_of_synced_records_is_reported(tmp_path):
    """Corruption of a synced record is reported.

    If it were taken for a partially written tail, synced reservations would be
    truncated.
    """
    path, data = write_segment(tmp_path / 'ledger')
    last_start = len(data) - _storage._RECORD_HEADER.size - len(PAYLOADS[-1])
    for offset in range(last_start):
        corrupted = bytearray(data)
        corrupted[offset] ^= 0x55
        path.write_bytes(corrupted)
        store = _storage.SegmentStore(tmp_path / 'ledger')
        with pytest.raises(_storage.StorageCorruptedError):
            store.open()
        store.close()
        assert path.read_bytes() == corrupted


def test_full_disk_leaves_no_part_of_a_group(tmp_path, monkeypatch):
    """A group that fails with a full disk leaves no record behind."""
    store, _ = open_store(tmp_path / 'ledger')
    store.append([b'kept'])
    real_write = _storage.os.write
    written = []

    def write_partly(fd, data):
        if written:
            raise OSError(28, 'No space left on device')
        written.append(real_write(fd, data[:10]))
        return written[0]

    with monkeypatch.context() as patch:
        patch.setattr(_storage.os, 'write', write_partly)
        with pytest.raises(_storage.StorageFullError):
            store.append([b'lost', b'lost too'])
    store.append([b'after'])
    store.close()
    assert open_store(tmp_path / 'ledger')[1] == [b'kept', b'after']


def test_failed_sync_stops_the_member(tmp_path, monkeypatch):
    """A failed fsync stops all writes, as a second one may falsely succeed."""
    store, _ = open_store(tmp_path / 'ledger')

    def fail(fd):
        raise OSError(5, 'Input/output error')

    with monkeypatch.context() as patch:
        patch.setattr(_storage.os, 'fsync', fail)
        with pytest.raises(_storage.StorageFailedError):
            store.append([b'unsure'])
    with pytest.raises(_storage.StorageFailedError):
        store.append([b'next'])


def test_second_process_is_refused(tmp_path):
    """The folder is locked, so two processes cannot append to one segment."""
    open_store(tmp_path / 'ledger')
    with pytest.raises(_storage.StorageFailedError):
        open_store(tmp_path / 'ledger')


def test_lost_folder_of_known_replica_is_rejected(tmp_path):
    """A replica that lost its folder is rejected, as it could vote twice."""
    folder = tmp_path / 'ledger'
    store, _ = open_store(folder)
    store.ensure_participation('replica')
    store.close()
    for path in folder.iterdir():
        path.unlink()
    store, _ = open_store(folder)
    with pytest.raises(_storage.StorageCorruptedError):
        store.ensure_participation('replica')
    assert store.ensure_participation('successor').active_epoch == 0


def test_segments_are_deleted_after_a_day(tmp_path):
    """Segments are deleted after 24 hours, neither earlier nor never."""
    now = [0.0]
    store, _ = open_store(tmp_path / 'ledger', lambda: now[0])
    store.append([b'old'])
    deleted = []
    for hour in range(1, 27):
        now[0] = hour * _storage.SEGMENT_DURATION_S
        deleted.append(store.roll())
    assert deleted[:24] == [[]] * 24
    assert deleted[24:] == [[1], [2]]
