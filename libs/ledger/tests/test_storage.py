"""Fault tables of the segments."""

import pytest

from cactusloft_ledger import _storage

PAYLOADS = [b'first', b'second', b'third']


def open_store(folder, read_clock=lambda: 0.0):
    store = _storage.SegmentStore(folder, read_clock)
    return store, [payload for _, payload in store.open()]


def fill(folder):
    """Write three groups of one record; return the file and its bytes."""
    store, _ = open_store(folder)
    for payload in PAYLOADS:
        store.append([payload])
    store.close()
    path = folder / 'segment-00000001'
    return path, path.read_bytes()


def test_kill_at_each_byte_of_the_last_group(tmp_path):
    """Guards against a torn last record that hides or corrupts others."""
    path, data = fill(tmp_path / 'ledger')
    start = len(data) - _storage._RECORD_HEADER.size - len(PAYLOADS[-1])
    for size in range(start, len(data)):
        path.write_bytes(data[:size])
        store, found = open_store(tmp_path / 'ledger')
        assert found == PAYLOADS[:2]
        store.append([b'next'])
        store.close()
        store, found = open_store(tmp_path / 'ledger')
        assert found == [*PAYLOADS[:2], b'next']
        store.close()


def test_each_damaged_earlier_byte_is_reported(tmp_path):
    """Guards against synced reservations that are cut off as a torn tail."""
    path, data = fill(tmp_path / 'ledger')
    last = len(data) - _storage._RECORD_HEADER.size - len(PAYLOADS[-1])
    for place in range(last):
        damaged = bytearray(data)
        damaged[place] ^= 0x55
        path.write_bytes(damaged)
        store = _storage.SegmentStore(tmp_path / 'ledger')
        with pytest.raises(_storage.StorageCorruptedError):
            store.open()
        store.close()
        assert path.read_bytes() == damaged


def test_full_disk_leaves_no_part_of_a_group(tmp_path, monkeypatch):
    """Guards against a refused group of which a part is found later."""
    store, _ = open_store(tmp_path / 'ledger')
    store.append([b'kept'])
    write = _storage.os.write
    written = []

    def fail_later(fd, data):
        if written:
            raise OSError(28, 'No space left on device')
        written.append(write(fd, data[:10]))
        return written[0]

    with monkeypatch.context() as patch:
        patch.setattr(_storage.os, 'write', fail_later)
        with pytest.raises(_storage.StorageFullError):
            store.append([b'lost', b'lost too'])
    store.append([b'after'])
    store.close()
    assert open_store(tmp_path / 'ledger')[1] == [b'kept', b'after']


def test_failed_sync_stops_the_member(tmp_path, monkeypatch):
    """Guards against trusting a second sync after a failed one."""
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
    """Guards against two processes that append to one segment."""
    open_store(tmp_path / 'ledger')
    with pytest.raises(_storage.StorageFailedError):
        open_store(tmp_path / 'ledger')


def test_lost_folder_of_a_known_replica_is_reported(tmp_path):
    """Guards against a member that votes twice in one epoch."""
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
    """Guards against reservations deleted early, or kept for good."""
    now = [0.0]
    store, _ = open_store(tmp_path / 'ledger', lambda: now[0])
    store.append([b'old'])
    deleted = []
    for hour in range(1, 27):
        now[0] = hour * _storage.SEGMENT_DURATION_S
        deleted.append(store.roll())
    assert deleted[:24] == [[]] * 24
    assert deleted[24:] == [[1], [2]]
