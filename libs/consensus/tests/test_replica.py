"""Tests of a replica with a real data folder."""

import asyncio
import errno
import random
import time

from cactusloft_consensus import documents
from cactusloft_consensus import node
from cactusloft_consensus import replica
from cactusloft_consensus import storage
from cactusloft_model import errors


class _Hub:
    """Deliver envelopes between replicas of one event loop."""

    def __init__(self):
        self.replicas = {}

    def send(self, envelope):
        receiver = self.replicas.get(envelope.target)
        if receiver is not None:
            loop = asyncio.get_running_loop()
            loop.call_soon(receiver.receive, envelope)

    def start(self, folder, seed, failures):
        randomness = random.Random(seed)
        files = storage.FolderFiles(folder)
        opened, persisted = storage.open_storage(files, randomness.randbytes)
        timing = node.Timing(0.2, 0.4, 0.05)
        started = replica.Replica(
            node.Node(persisted, timing, randomness, time.monotonic()),
            opened,
            documents.DocumentStore(),
            self.send,
            time.monotonic,
            lambda: None,
            failures.append,
        )
        self.replicas[started.replica_id] = started
        started.start()
        return started, opened


async def _wait_until(is_true):
    async with asyncio.timeout(30):
        while not is_true():
            await asyncio.sleep(0.01)


def _change(base_version, change_id):
    return documents.Change.pack(base_version, change_id, 0, 'text')


async def _run_full_disk(tmp_path):
    hub, failures, decided = _Hub(), [], []
    first, opened = hub.start(tmp_path / 'a', 1, failures)
    second, _ = hub.start(tmp_path / 'b', 2, failures)
    first.bootstrap('a').unwrap()
    await _wait_until(lambda: first.is_leader)
    (await first.add_member(second.replica_id, 'b', 10)).unwrap()
    await _wait_until(lambda: all(m.is_voter for m in first.members))
    outcome = (
        await first.apply(_change(0, 'one'), 10, decided.append)
    ).unwrap()
    assert outcome.version == 1 and decided == [outcome]
    await _wait_until(lambda: second.store.version == 1)
    assert second.confirmed_at is not None

    def refuse(records):
        raise OSError(errno.ENOSPC, 'No space left on device')

    opened.persist = refuse
    refused = (
        await first.apply(_change(1, 'two'), 10, decided.append)
    ).failure()
    assert refused.kind is errors.ErrorKind.CONTROL_UNAVAILABLE
    assert 'No space left' in failures[0]
    assert first.role == 'failed' and first.confirmed_at is None
    await first.close()
    await second.close()


def test_full_disk_is_reported(tmp_path):
    """A replica that cannot sync must stop, report why and fail waiters."""
    asyncio.run(_run_full_disk(tmp_path))


async def _run_slow_disk(tmp_path):
    hub, failures = _Hub(), []
    first, opened = hub.start(tmp_path / 'a', 1, failures)
    first.bootstrap('a').unwrap()
    await _wait_until(lambda: first.is_leader)
    persist, commits = opened.persist, []

    def persist_slowly(records):
        commits.append(len(records))
        time.sleep(0.2)
        persist(records)

    opened.persist = persist_slowly
    changes = (
        first.apply(_change(0, str(n)), 30, lambda _: None) for n in range(50)
    )
    outcomes = await asyncio.gather(*changes)
    accepted = documents.OutcomeKind.ACCEPTED
    kinds = [outcome.unwrap().kind for outcome in outcomes]
    assert kinds.count(accepted) == 1
    assert len(commits) < 10
    assert first.is_leader and not failures
    await first.close()


def test_group_commit_off_the_event_loop(tmp_path):
    """Changes during a slow sync must share the next one.

    The slow disk must not block the event loop, which would cost the replica
    its leadership.
    """
    asyncio.run(_run_slow_disk(tmp_path))


async def _run_two_additions(tmp_path):
    hub, failures = _Hub(), []
    first, _ = hub.start(tmp_path / 'a', 1, failures)
    first.bootstrap('a').unwrap()
    await _wait_until(lambda: first.is_leader)
    # The learner does not exist, so it is never promoted. Adding it twice
    # makes one change, which is reported once it is committed.
    (await first.add_member('absent', 'b', 10)).unwrap()
    (await first.add_member('absent', 'b', 10)).unwrap()
    assert [m.is_voter for m in first.membership.members] == [True, False]
    assert (await first.remove_member('unknown', 10)).failure()
    (await first.remove_member('absent', 10)).unwrap()
    assert len(first.membership.members) == 1
    await first.close()


def test_repeated_addition_is_one_change(tmp_path):
    """A repeated addition must not make a second change.

    An operator repeats a request whose reply was lost.
    """
    asyncio.run(_run_two_additions(tmp_path))
