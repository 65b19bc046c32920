"""Tests of the log file under crashes and corruption."""

import random

import pytest

from cactusloft_consensus import messages
from cactusloft_consensus import storage

MEMBERS = (messages.Member('one', 'host0', True),)
SNAPSHOT = messages.Snapshot(3, 2, MEMBERS, b'state', 1)


def _entry(index, term=2):
    kind = messages.EntryKind.COMMAND
    return messages.Entry(index, term, kind, b'data %d' % index)


def _open(disk):
    return storage.open_storage(disk, random.Random(4).randbytes)


STEPS = (
    (messages.VoteRecord(2, 'one'),),
    (messages.EntriesRecord((_entry(1), _entry(2), _entry(3))),),
    (
        messages.EntriesRecord((_entry(4),)),
        messages.EntriesRecord((_entry(4, 3), _entry(5, 3))),
        messages.VoteRecord(3, 'two'),
    ),
    (
        messages.Rewrite(
            messages.VoteRecord(3, 'two'), SNAPSHOT, (_entry(4, 3),)
        ),
        messages.EntriesRecord((_entry(5, 3),)),
    ),
    (messages.EntriesRecord((_entry(6, 3),)),),
)


def _write_steps(disk, states):
    opened, persisted = _open(disk)
    states.append(persisted)
    for records in STEPS:
        opened.persist(records)
        states.append(None)


def _list_states(make_disk):
    """Return the state to be read after each number of completed steps."""
    states = []
    for count in range(len(STEPS) + 1):
        disk = make_disk()
        opened, _ = _open(disk)
        for records in STEPS[:count]:
            opened.persist(records)
        disk.lose_power()
        states.append(_open(disk)[1])
    return states


def test_power_loss_at_every_write_boundary(make_disk, power_loss):
    """All synced records must be read again, and no partial one."""
    states = _list_states(make_disk)
    assert states[-1].entries == (_entry(4, 3), _entry(5, 3), _entry(6, 3))
    assert states[-1].snapshot == SNAPSHOT
    for boundary in range(100):
        disk = make_disk(boundary)
        disk.boundaries_left = boundary
        done = []
        try:
            _write_steps(disk, done)
        except power_loss:
            pass
        else:
            assert boundary > 10
            return
        disk.lose_power()
        count = len(done) - 1
        if count < 0:
            _open(disk)
            continue
        # A rewrite and the records after it are two syncs.
        between = (states[count], *states[count + 1 : count + 2])
        found = _open(disk)[1]
        is_rewritten = found.snapshot == SNAPSHOT and count == 3
        assert found in between or is_rewritten
    raise AssertionError('the steps crossed more boundaries than tested')


def _fill(make_disk):
    disk = make_disk()
    states = []
    _write_steps(disk, states)
    disk.lose_power()
    return disk


def test_torn_last_record_is_truncated(make_disk):
    """A crash during a write must not prevent the next start."""
    disk = _fill(make_disk)
    size = len(disk.durable['log'])
    for missing_bytes in range(1, 20):
        torn = make_disk()
        torn.durable['log'] = disk.durable['log'][: size - missing_bytes]
        torn.lose_power()
        opened, persisted = _open(torn)
        assert persisted.entries == (_entry(4, 3), _entry(5, 3))
        opened.persist((messages.EntriesRecord((_entry(6, 4),)),))
        torn.lose_power()
        assert _open(torn)[1].entries[-1] == _entry(6, 4)


def test_corrupted_earlier_record_stops_the_replica(make_disk):
    """A corrupted record before the last one must be reported.

    Truncating the log there would lose acknowledged entries.
    """
    content = _fill(make_disk).durable['log']
    last = content.rindex(content[:4])
    for position in range(last):
        disk = make_disk()
        corrupted = bytearray(content)
        corrupted[position] ^= 0x40
        disk.durable['log'] = bytes(corrupted)
        disk.lose_power()
        with pytest.raises(storage.StorageError, match='damaged'):
            _open(disk)


def test_missing_record_stops_the_replica(make_disk):
    """A missing record between readable ones must be reported."""
    content = _fill(make_disk).durable['log']
    last = content.rindex(content[:4])
    before = content.rindex(content[:4], 0, last)
    disk = make_disk()
    disk.durable['log'] = content[:before] + content[last:]
    disk.lose_power()
    with pytest.raises(storage.StorageError, match='damaged'):
        _open(disk)


def test_folder_is_locked(tmp_path):
    """A second process must not open a data folder that is in use.

    The two would overwrite each other's votes.
    """
    opened, persisted = _open(storage.FolderFiles(tmp_path))
    opened.persist(STEPS[1])
    with pytest.raises(storage.StorageError, match='in use'):
        _open(storage.FolderFiles(tmp_path))
    opened.persist(STEPS[3])
    opened.persist(STEPS[4])
    opened.close()
    again, found = _open(storage.FolderFiles(tmp_path))
    assert found.replica_id == persisted.replica_id
    assert found.entries[-1] == _entry(6, 3)
    again.close()
