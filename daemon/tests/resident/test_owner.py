"""Tests of the owner with a backend server on a real socket."""

import asyncio
import types

import attrs
from returns import pipeline
from returns import result

from cactusloft_membership import registry
from cactusloft_model import errors
from cactusloftd import _metrics
from cactusloftd.resident import _owner
from cactusloftd.resident import protocol

from . import entry_stubs as stubs
from . import servers
from . import test_delivery as delivery_tests

TIMEOUT_S = 5
HEARTBEAT = protocol.Heartbeat('i-1', 'stock', 100, 1, 4, False, 0.0)


class BackendServer:
    """A backend server that answers when it is released.

    :ivar started: set once it has received a request.
    :ivar release: set to let it answer.
    :ivar headers: lines of its responses.
    """

    def __init__(self, *headers):
        self.started = asyncio.Event()
        self.release = asyncio.Event()
        self.headers = list(headers)

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                call_id = head.split(b'X-Id: ')[1].split(b'\r\n')[0]
                self.started.set()
                await self.release.wait()
                lines = [
                    'HTTP/1.1 200 S',
                    f'X-Id: {call_id.decode()}',
                    'Content-Length: 0',
                    *self.headers,
                ]
                writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        except asyncio.IncompleteReadError:
            return


class Protocol(delivery_tests.Protocol):
    """A protocol in which responses name limits and departures."""

    def read_metadata(self, status, headers):
        """Return the metadata of a response."""
        metadata = super().read_metadata(status, headers)
        limit = headers.get('limit')
        return attrs.evolve(
            metadata,
            is_other_instance=status == 421,
            rate_limit=float(limit) if limit else None,
            is_leaving='leaving' in headers,
        )


class Bench:
    """An owner and its backend server."""

    def __init__(self, *headers):
        self.backend_server = BackendServer(*headers)
        self.now = asyncio.get_running_loop().time
        self.owner = None
        self.changes = 0

    async def __aenter__(self):
        self._server, port = await servers.start(self.backend_server.serve)
        marks = types.SimpleNamespace(
            check=lambda name: result.Success(None), make_loss_id=lambda: 'l'
        )
        self.owner = _owner.Owner(
            'here',
            f'127.0.0.1:{port}',
            'stock',
            Protocol(),
            stubs.Config(),
            marks,
            stubs.Log(),
            _metrics.Metrics(),
            self.now,
        )
        self.heartbeat = attrs.evolve(HEARTBEAT, address=f'127.0.0.1:{port}')
        self.owner.handle_heartbeat(self.heartbeat)
        self.owner.on_change = self._count_change
        return self

    async def __aexit__(self, *_exc_info):
        self.owner.close()
        self._server.close()

    def _count_change(self):
        self.changes += 1

    async def run(self, call_id, **fields):
        """Run a call, close its response and return its outcome."""
        call = delivery_tests.make_call(self.now(), call_id)
        call = attrs.evolve(call, **fields)
        outcome = await asyncio.wait_for(self.owner.run(call), TIMEOUT_S)
        if pipeline.is_successful(outcome):
            await outcome.unwrap().close()
        return outcome

    async def answer(self, call_id):
        """Run a call that is answered at once."""
        self.backend_server.release.set()
        return await self.run(call_id)


def test_owner_without_a_free_slot_queues_an_offer():
    """An offer that waited in a queue would hide the other free servers."""

    async def run():
        async with Bench() as bench:
            bench.owner.handle_heartbeat(
                attrs.evolve(bench.heartbeat, sequence=2, slots=1)
            )
            bench.owner.handle_heartbeat(
                attrs.evolve(bench.heartbeat, sequence=3, slots=1)
            )
            running = asyncio.create_task(bench.run('a1'))
            await asyncio.wait_for(
                bench.backend_server.started.wait(), TIMEOUT_S
            )
            refused = await bench.run('a2', needs_free_slot=True)
            bench.backend_server.release.set()
            served = await running
            # The slot is free again, so an offer starts.
            again = await bench.run('a3', needs_free_slot=True)
            return refused.failure(), served, again

    error, served, again = asyncio.run(run())
    assert error.detail == _owner.NO_FREE_SLOT
    assert error.effective_not_run is errors.NotRun.TRUE
    assert pipeline.is_successful(served)
    assert pipeline.is_successful(again)


def test_offers_wait_at_a_backend_server_that_used_up_its_limit():
    """With free slots but no token, entries must try another owner."""

    async def run():
        async with Bench('Limit: 0.5') as bench:
            await bench.answer('a1')
            await bench.run('a2')
            refused = await bench.run('a3', needs_free_slot=True)
            return refused.failure(), bench.owner.load, bench.owner.rate_limit

    error, load, rate_limit = asyncio.run(run())
    assert error.detail == _owner.NO_FREE_SLOT
    assert load >= 1.0
    assert rate_limit == 0.5


def test_queued_call_is_not_started_when_the_limit_allows_it():
    """Nothing but a timer starts it: no running call ends meanwhile."""

    async def run():
        async with Bench('Limit: 20') as bench:
            for number in range(8):
                outcome = await bench.answer(f'a{number}')
                assert pipeline.is_successful(outcome)
            return await asyncio.gather(*map(bench.run, ('b1', 'b2', 'b3')))

    assert all(map(pipeline.is_successful, asyncio.run(run())))


def test_raised_limit_starts_queued_calls_at_the_former_one():
    """At 0.5 calls per second, the next call would start 2 s later."""

    async def run():
        async with Bench('Limit: 0.5') as bench:
            await bench.answer('a1')
            bench.backend_server.release.clear()
            bench.backend_server.started.clear()
            running = asyncio.create_task(bench.run('a2'))
            await bench.backend_server.started.wait()
            # May wait for 0.35 times its patience.
            queued = asyncio.create_task(bench.run('a3', patience_s=4.0))
            await asyncio.sleep(0)
            bench.backend_server.headers[:] = ['Limit: 50']
            bench.backend_server.release.set()
            await running
            return await queued

    assert pipeline.is_successful(asyncio.run(run()))


def test_response_of_a_leaving_process_is_ignored():
    """New calls stop at once, and the entry is told which process leaves."""

    async def run():
        async with Bench('Leaving: 1') as bench:
            response = (await bench.answer('a1')).unwrap()
            refused = await bench.run('a2')
            bench.owner.handle_heartbeat(
                attrs.evolve(bench.heartbeat, sequence=2)
            )
            return response, refused, bench.owner, bench.changes

    response, refused, owner, changes = asyncio.run(run())
    assert response.leaving_process == registry.BackendProcess(
        'here', 'i-1', 100
    )
    assert refused.failure().kind is errors.ErrorKind.NO_BACKEND_SERVER
    # A late heartbeat as ready does not revoke the departure.
    assert owner.is_leaving and not owner.is_serving
    assert changes == 1


def test_late_response_of_a_former_process_stops_its_successor():
    """What a process said of itself holds for that process only."""

    async def run():
        async with Bench() as bench:
            running = asyncio.create_task(bench.run('a1'))
            await asyncio.wait_for(
                bench.backend_server.started.wait(), TIMEOUT_S
            )
            successor = attrs.evolve(
                bench.heartbeat, instance='i-2', born_ms=200
            )
            run = bench.owner._running['a1']
            await bench.owner._handle_unreachable(run.delivery)
            bench.owner.handle_heartbeat(successor)
            metadata = Protocol().read_metadata(200, {'leaving': '1'})
            run.delivery.on_metadata(
                attrs.evolve(metadata, rate_limit=0.5), 0.0
            )
            error = errors.CallError(errors.ErrorKind.NO_BACKEND_SERVER)
            await bench.owner._handle_failure(run, error)
            bench.backend_server.release.set()
            await running
            return bench.owner.is_serving, bench.owner.rate_limit

    assert asyncio.run(run()) == (True, None)


def test_owner_without_a_response_yet_looks_empty():
    """Entries would send it calls that only wait for the first response."""

    async def run():
        async with Bench() as bench:
            tasks = [
                asyncio.create_task(bench.run(f'a{number}'))
                for number in range(2)
            ]
            await bench.backend_server.started.wait()
            load_before = bench.owner.load
            bench.backend_server.release.set()
            await asyncio.gather(*tasks)
            bench.backend_server.release.clear()
            bench.backend_server.started.clear()
            task = asyncio.create_task(bench.run('b1'))
            await bench.backend_server.started.wait()
            load_after = bench.owner.load
            bench.backend_server.release.set()
            await task
            return load_before, load_after

    assert asyncio.run(run()) == (1.0, 1 / HEARTBEAT.slots)


def test_departure_of_another_process_is_known_to_one_host():
    """A delayed heartbeat of its predecessor may have come first."""

    async def run():
        async with Bench() as bench:
            others = []
            bench.owner.on_other_departure = others.append
            bench.owner.leave('i-2', 200)
            bench.owner.leave('i-3', None)
            assert bench.owner.is_serving
            bench.owner.leave('i-1', 100)
            return others, bench.owner.is_leaving

    others, is_leaving = asyncio.run(run())
    assert others == [registry.BackendProcess('here', 'i-2', 200)]
    assert is_leaving


def make_sharing_owner(bench):
    """Let the backend server report its slowness; it has one slot."""
    bench.owner.share_room()
    for sequence in (2, 3):
        bench.owner.handle_heartbeat(
            attrs.evolve(bench.heartbeat, sequence=sequence, slots=1)
        )


def test_refusal_tells_when_there_will_be_room():
    """Without it, callers come back while the queue is still there.

    Replays calls of 0.8 s in one slot, each with a patience of 1.5 s: one
    runs, one waits behind it and the next ones could not end in time.
    """

    async def run():
        async with Bench() as bench:
            make_sharing_owner(bench)
            bench.owner._times.record('', 0.8)
            tasks = [
                asyncio.create_task(bench.run(f'a{i}', patience_s=1.5))
                for i in range(4)
            ]
            await asyncio.wait_for(
                bench.backend_server.started.wait(), TIMEOUT_S
            )
            refused = await bench.run('a9', patience_s=1.5)
            bench.backend_server.release.set()
            await asyncio.gather(*tasks)
            return refused.failure()

    error = asyncio.run(run())
    assert error.detail in _owner.NO_ROOM_DETAILS
    assert error.effective_not_run is errors.NotRun.TRUE
    assert error.retry_after_s >= 0.8


def test_owner_shares_room_once_slowness_is_reported():
    """Deployments whose backend servers report none are served as before."""

    async def run():
        async with Bench() as bench:
            await bench.answer('a1')
            before = bench.owner.shares_room
            bench.owner._sharing.observe(types.SimpleNamespace(slowness=1.2))
            return before, bench.owner.shares_room

    assert asyncio.run(run()) == (False, True)
