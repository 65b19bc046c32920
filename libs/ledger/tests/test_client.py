"""Ledger clients and members with in-memory messages and real segments."""

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
    """In-memory network of ledger members.

    :ivar members: running members by name.
    :ivar unresponsive: names of the members that do not reply.
    """

    def __init__(self, folder):
        self.folder = folder
        self.group = _client.Group(1, ('a',))
        self.members = {}
        self.unresponsive = set()
        self.events = []

    def read_group(self):
        return self.group

    async def ask(self, name, message, timeout_s):
        if name in self.unresponsive or name not in self.members:
            await asyncio.sleep(0.01)
            return None
        return await self.members[name].handle(message)

    async def ask_copy(self, name, request):
        if name in self.unresponsive or name not in self.members:
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

    async def change_group(self, *names):
        """Enter the next epoch and wait until all running members vote."""
        self.group = _client.Group(self.group.epoch + 1, names)
        for member in self.members.values():
            member.enter_epoch(self.group.epoch, names)
        await self.wait_until_active()

    async def wait_until_active(self):
        running = [
            self.members[name]
            for name in self.group.members
            if name in self.members and name not in self.unresponsive
        ]
        give_up_at_s = time.monotonic() + 30
        while not all(member.core.is_active for member in running):
            assert time.monotonic() < give_up_at_s
            await asyncio.sleep(0.01)

    async def start_all(self):
        """Start one member and add the others one by one, as operators do."""
        for count in range(1, len(NAMES) + 1):
            await self.start(NAMES[count - 1])
            await self.change_group(*NAMES[:count])

    async def stop(self):
        for member in self.members.values():
            await member.stop()


def run(folder, scenario):
    """Run ``scenario(network, client)`` on a group of three members."""

    async def run_scenario():
        network = Network(folder)
        await network.start_all()
        client = _client.LedgerClient(network, random.Random(1))
        await scenario(network, client)
        await network.stop()

    asyncio.run(run_scenario())


def make_ticket(call_id, fingerprint='print', key='key'):
    return _claim.Ticket('account', key, call_id, fingerprint)


def make_outcome(ticket, kind=_messages.OutcomeKind.KEPT, body=b'done'):
    return _messages.Outcome(
        kind, ticket.call_id, ticket.fingerprint, 201, [('A', 'b')], body
    )


async def reserve(client, call_id, wait_s=5.0, **fields):
    ticket = make_ticket(call_id, **fields)
    return await client.reserve(ticket, time.monotonic() + wait_s)


def get_error_kind(failed):
    return failed.failure().kind


def test_concurrent_repeats_run_once(tmp_path):
    """Concurrent repeats through several entries run the call once."""

    async def scenario(network, client):
        clients = [
            _client.LedgerClient(network, random.Random(number))
            for number in range(8)
        ]
        ran = []

        async def call(number):
            reserved = await reserve(clients[number], f'{number}')
            if isinstance(reserved.unwrap(), _client.Reservation):
                ran.append(number)
                outcome = make_outcome(reserved.unwrap().ticket)
                await clients[number].complete(reserved.unwrap(), outcome)
                return outcome.body
            return reserved.unwrap().body

        bodies = await asyncio.gather(*map(call, range(8)))
        assert len(ran) == 1
        assert bodies == [b'done'] * 8

    run(tmp_path, scenario)


@pytest.mark.parametrize(
    'kind, expected',
    [
        (_messages.OutcomeKind.DIGEST, _K.ANSWER_NOT_KEPT),
        (_messages.OutcomeKind.UNKNOWN, _K.OUTCOME_UNKNOWN),
    ],
)
def test_repeat_after_first_call_without_kept_response(
    tmp_path, kind, expected
):
    """A repeat fails and does not run when the response is not kept."""

    async def scenario(network, client):
        first = (await reserve(client, 'first')).unwrap()
        outcome = make_outcome(first.ticket, kind, b'')
        assert await client.complete(first, outcome)
        assert get_error_kind(await reserve(client, 'second')) is expected
        other = await reserve(client, 'third', fingerprint='other')
        assert get_error_kind(other) is _K.IDEMPOTENCY_KEY_REUSED

    run(tmp_path, scenario)


def test_repeat_while_the_first_call_is_open(tmp_path):
    """A repeat does not run while the first call is open, or once lost."""

    async def scenario(network, client):
        await reserve(client, 'first', wait_s=1.0)
        reserved = await reserve(client, 'second', wait_s=0.2)
        assert get_error_kind(reserved) is _K.CALL_IN_PROGRESS
        # The entry is lost: the deadline passes without an outcome.
        reserved = await reserve(client, 'third', wait_s=20.0)
        assert get_error_kind(reserved) is _K.OUTCOME_UNKNOWN

    run(tmp_path, scenario)


def test_released_key_can_be_used_again(tmp_path):
    """A call that did not run frees its key."""

    async def scenario(network, client):
        first = (await reserve(client, 'first')).unwrap()
        client.release(first)
        second = (await reserve(client, 'second')).unwrap()
        assert isinstance(second, _client.Reservation)

    run(tmp_path, scenario)


def test_lost_majority_is_unavailable(tmp_path):
    """Without a majority no call runs, and none keeps the key afterwards."""

    async def scenario(network, client):
        network.unresponsive = {'b', 'c'}
        reserved = await reserve(client, 'first', wait_s=0.3)
        assert get_error_kind(reserved) is _K.LEDGER_UNAVAILABLE
        network.unresponsive = set()
        await client.drain()
        assert isinstance(await reserve(client, 'second'), result.Success)

    run(tmp_path, scenario)


def test_outcome_survives_second_loss_after_repair(tmp_path):
    """An outcome survives the loss of two members, each repaired in turn."""

    async def scenario(network, client):
        first = (await reserve(client, 'first')).unwrap()
        body = b'x' * _messages.MAX_KEPT_BODY_BYTES
        await client.complete(first, make_outcome(first.ticket, body=body))
        await client.drain()
        remaining, successors = list(NAMES), ['d', 'e']
        for lost, successor in zip(['a', 'b'], successors):
            await network.members.pop(lost).stop()
            remaining.remove(lost)
            await network.change_group(*remaining)
            remaining.append(successor)
            await network.start(successor)
            await network.change_group(*remaining)
        reserved = (await reserve(client, 'second')).unwrap()
        assert reserved.body == body

    run(tmp_path, scenario)


def test_outcome_survives_restart_of_all_members(tmp_path):
    """Outcomes survive a restart of all members."""

    async def scenario(network, client):
        first = (await reserve(client, 'first')).unwrap()
        await client.complete(first, make_outcome(first.ticket))
        await network.stop()
        for name in NAMES:
            await network.start(name)
        await network.wait_until_active()
        assert (await reserve(client, 'second')).unwrap().body == b'done'

    run(tmp_path, scenario)


def test_full_disk_undoes_votes_and_recovers(tmp_path, monkeypatch):
    """A vote that could not be stored is undone in memory."""

    async def scenario(network, client):
        def fail_append(self, payloads):
            raise _storage.StorageFullError('no space')

        with monkeypatch.context() as patch:
            patch.setattr(_storage.SegmentStore, 'append', fail_append)
            reserved = await reserve(client, 'first', wait_s=0.2)
            assert get_error_kind(reserved) is _K.LEDGER_UNAVAILABLE
            tables = [m.core.table for m in network.members.values()]
            assert [len(table) for table in tables] == [0, 0, 0]
        await client.drain()
        assert isinstance(await reserve(client, 'second'), result.Success)
        assert 'ledger_storage_full' in network.events

    run(tmp_path, scenario)


def test_abandoned_call_frees_its_votes(tmp_path):
    """A caller that disconnects leaves no votes behind."""

    async def scenario(network, client):
        network.unresponsive = {'b', 'c'}
        task = asyncio.create_task(reserve(client, 'first'))
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.wait([task])
        network.unresponsive = set()
        assert isinstance(await reserve(client, 'second'), result.Success)

    run(tmp_path, scenario)
