"""Entries and members together, with messages in memory and real segments."""

import asyncio
import random
import time

import pytest
from returns import result

from cactusloft_ledger import _claim
from cactusloft_ledger import _client
from cactusloft_ledger import _messages
from cactusloft_ledger import _service
from cactusloft_ledger import _storage
from cactusloft_model import errors

_K = errors.ErrorKind
NAMES = ('a', 'b', 'c')


class Network:
    """Members by name; those in ``silent`` answer nobody."""

    def __init__(self, folder):
        self.folder = folder
        self.group = _client.Group(1, ('a',))
        self.members = {}
        self.silent = set()
        self.events = []

    def read_group(self):
        return self.group

    async def ask(self, name, message, timeout_s):
        if name in self.silent or name not in self.members:
            await asyncio.sleep(0.01)
            return None
        return await self.members[name].handle(message)

    async def ask_copy(self, name, request):
        if name in self.silent or name not in self.members:
            return None
        return await self.members[name].handle_copy_request(request)

    async def start(self, name, folder=None):
        store = _storage.SegmentStore(self.folder / (folder or name))
        member = _service.MemberService(
            name, store, self.ask_copy, self.report
        )
        await member.start()
        member.enter_epoch(self.group.epoch, self.group.members)
        self.members[name] = member
        return member

    def report(self, name, **fields):
        self.events.append(name)

    async def change(self, *names):
        """Enter the next epoch and wait until the running members vote."""
        self.group = _client.Group(self.group.epoch + 1, names)
        for member in self.members.values():
            member.enter_epoch(self.group.epoch, names)
        await self.settle()

    async def settle(self):
        running = [
            self.members[name]
            for name in self.group.members
            if name in self.members and name not in self.silent
        ]
        limit = time.monotonic() + 30
        while not all(member.core.is_active for member in running):
            assert time.monotonic() < limit
            await asyncio.sleep(0.01)

    async def grow(self):
        """Start with one member and add the others, as operators do."""
        for count in range(1, len(NAMES) + 1):
            await self.start(NAMES[count - 1])
            await self.change(*NAMES[:count])

    async def stop(self):
        for member in self.members.values():
            await member.stop()


def run(folder, scenario):
    """Run ``scenario(network, client)`` on a group of three."""

    async def play():
        network = Network(folder)
        await network.grow()
        client = _client.LedgerClient(network, random.Random(1))
        await scenario(network, client)
        await network.stop()

    asyncio.run(play())


def make_ticket(call_id, fingerprint='print', key='key'):
    return _claim.Ticket('account', key, call_id, fingerprint)


def make_outcome(ticket, kind=_messages.OutcomeKind.KEPT, body=b'done'):
    return _messages.Outcome(
        kind, ticket.call_id, ticket.fingerprint, 201, [('A', 'b')], body
    )


async def reserve(client, call_id, wait_s=5.0, **fields):
    ticket = make_ticket(call_id, **fields)
    return await client.reserve(ticket, time.monotonic() + wait_s)


def get_kind(failed):
    return failed.failure().kind


def test_concurrent_repeats_run_once(tmp_path):
    """Guards against repeats through several entries that run twice."""

    async def scenario(network, client):
        clients = [
            _client.LedgerClient(network, random.Random(number))
            for number in range(8)
        ]
        ran = []

        async def call(number):
            found = await reserve(clients[number], f'{number}')
            if isinstance(found.unwrap(), _client.Reservation):
                ran.append(number)
                outcome = make_outcome(found.unwrap().ticket)
                await clients[number].complete(found.unwrap(), outcome)
                return outcome.body
            return found.unwrap().body

        answers = await asyncio.gather(*map(call, range(8)))
        assert len(ran) == 1
        assert answers == [b'done'] * 8

    run(tmp_path, scenario)


@pytest.mark.parametrize(
    'kind, expected',
    [
        (_messages.OutcomeKind.DIGEST, _K.ANSWER_NOT_KEPT),
        (_messages.OutcomeKind.UNKNOWN, _K.OUTCOME_UNKNOWN),
    ],
)
def test_repeat_after_the_end(tmp_path, kind, expected):
    """Guards against a second run when no answer can be given."""

    async def scenario(network, client):
        first = (await reserve(client, 'first')).unwrap()
        outcome = make_outcome(first.ticket, kind, b'')
        assert await client.complete(first, outcome)
        assert get_kind(await reserve(client, 'second')) is expected
        other = await reserve(client, 'third', fingerprint='other')
        assert get_kind(other) is _K.IDEMPOTENCY_KEY_REUSED

    run(tmp_path, scenario)


def test_repeat_while_the_first_call_is_open(tmp_path):
    """Guards against a second run while, or after, the first is open."""

    async def scenario(network, client):
        await reserve(client, 'first', wait_s=1.0)
        found = await reserve(client, 'second', wait_s=0.2)
        assert get_kind(found) is _K.CALL_IN_PROGRESS
        # The entry is lost: its deadline passes and no outcome comes.
        found = await reserve(client, 'third', wait_s=20.0)
        assert get_kind(found) is _K.OUTCOME_UNKNOWN

    run(tmp_path, scenario)


def test_released_key_can_be_used_again(tmp_path):
    """Guards against a key that is lost by a call that did not run."""

    async def scenario(network, client):
        first = (await reserve(client, 'first')).unwrap()
        client.release(first)
        second = (await reserve(client, 'second')).unwrap()
        assert isinstance(second, _client.Reservation)

    run(tmp_path, scenario)


def test_lost_majority_refuses(tmp_path):
    """Guards against a run without a majority, and a false claim of it."""

    async def scenario(network, client):
        network.silent = {'b', 'c'}
        found = await reserve(client, 'first', wait_s=0.3)
        assert get_kind(found) is _K.LEDGER_UNAVAILABLE
        network.silent = set()
        await client.drain()
        assert isinstance(await reserve(client, 'second'), result.Success)

    run(tmp_path, scenario)


def test_second_loss_right_after_a_repair(tmp_path):
    """Guards against a reservation lost with two members in a row."""

    async def scenario(network, client):
        first = (await reserve(client, 'first')).unwrap()
        body = b'x' * _messages.MAX_KEPT_BODY_BYTES
        await client.complete(first, make_outcome(first.ticket, body=body))
        await client.drain()
        left, new = list(NAMES), ['d', 'e']
        for lost, successor in zip(['a', 'b'], new):
            await network.members.pop(lost).stop()
            left.remove(lost)
            await network.change(*left)
            left.append(successor)
            await network.start(successor)
            await network.change(*left)
        found = (await reserve(client, 'second')).unwrap()
        assert found.body == body

    run(tmp_path, scenario)


def test_restarted_group_keeps_its_reservations(tmp_path):
    """Guards against reservations that lived in memory only."""

    async def scenario(network, client):
        first = (await reserve(client, 'first')).unwrap()
        await client.complete(first, make_outcome(first.ticket))
        await network.stop()
        for name in NAMES:
            await network.start(name)
        await network.settle()
        assert (await reserve(client, 'second')).unwrap().body == b'done'

    run(tmp_path, scenario)


def test_full_disk_refuses_and_recovers(tmp_path, monkeypatch):
    """Guards against a vote that is in memory but was not stored."""

    async def scenario(network, client):
        def refuse(self, payloads):
            raise _storage.StorageFullError('no space')

        with monkeypatch.context() as patch:
            patch.setattr(_storage.SegmentStore, 'append', refuse)
            found = await reserve(client, 'first', wait_s=0.2)
            assert get_kind(found) is _K.LEDGER_UNAVAILABLE
            states = [m.core.table for m in network.members.values()]
            assert [len(table) for table in states] == [0, 0, 0]
        await client.drain()
        assert isinstance(await reserve(client, 'second'), result.Success)
        assert 'ledger_storage_full' in network.events

    run(tmp_path, scenario)


def test_abandoned_call_frees_its_votes(tmp_path):
    """Guards against votes left behind when a caller disconnects."""

    async def scenario(network, client):
        network.silent = {'b', 'c'}
        task = asyncio.create_task(reserve(client, 'first'))
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.wait([task])
        network.silent = set()
        assert isinstance(await reserve(client, 'second'), result.Success)

    run(tmp_path, scenario)
