"""Tests of operators' requests to control replicas."""

import asyncio
import json
import types

from cactusloft_model import clock
from cactusloft_model import errors
from cactusloftd import _control
from cactusloftd import _messages
from cactusloftd import _texts

TEXT = '[service booking]\n'


class Network:
    """Deliver messages between control replicas of one event loop.

    :ivar stopped: names of the hosts that receive and send nothing.
    """

    def __init__(self):
        self.handlers = {}
        self.stopped = set()

    def make_node(self, name):
        """Return the node of one host."""
        return types.SimpleNamespace(
            handle_requests=lambda _class, handle: self.handlers.update(
                {name: handle}
            ),
            connect=lambda address: types.SimpleNamespace(
                request=lambda message, _timeout_s: self._deliver(
                    name, address.endpoint, message
                )
            ),
            spawn=asyncio.ensure_future,
        )

    async def _deliver(self, sender, receiver, message):
        if not {sender, receiver} & self.stopped:
            await self.handlers[receiver](message, 0.0)


def make_control(network, folder, name):
    """Return the control replica of a host."""
    settings = types.SimpleNamespace(
        name=name,
        data_centre='',
        data_folder=str(folder / name),
        least_voters=1,
        listeners=types.SimpleNamespace(peers=name),
        security=types.SimpleNamespace(public_key=''),
    )
    return _control.ControlReplica(
        settings,
        network.make_node(name),
        types.SimpleNamespace(record=lambda event, **fields: None),
        _texts.TextParser(),
        clock.read_boot_time,
        lambda: None,
    )


async def wait_until(is_true):
    """Wait for a condition."""
    async with asyncio.timeout(30):
        while not is_true():
            await asyncio.sleep(0.01)


def find_leader(controls):
    """Return the control replica that leads, or None."""
    return next((c for c in controls if c.replica.is_leader), None)


async def start_group(network, folder):
    """Return three control replicas, of which the first leads."""
    controls = [make_control(network, folder, name) for name in 'abc']
    leader = controls[0]
    leader.bootstrap().unwrap()
    for control in controls:
        control.start()
    await wait_until(lambda: leader.replica.is_leader)
    for control in controls[1:]:
        reply = _messages.ControlReply(True, b'')
        while reply.refusal is not None:
            reply = await leader.execute(control.make_join_request())
            await asyncio.sleep(0.01)
        await wait_until(
            lambda: all(m.is_voter for m in leader.replica.membership.members)
        )
    return controls


async def ask_suspended_leader(folder, request):
    """Return the reply of a leader that wakes up after a change elsewhere."""
    network = Network()
    controls = await start_group(network, folder)
    former, others = controls[0], controls[1:]
    # The timers of a suspended process run no more; it still leads when it
    # continues, until it has heard of its successor.
    former.replica._tasks[0].cancel()
    network.stopped.add('a')
    await wait_until(lambda: find_leader(others))
    applied = await find_leader(others).execute(
        _messages.ApplyRequest(0, 'first', TEXT, False, 0)
    )
    assert applied.refusal is None
    assert former.replica.is_leader and former.replica.store.version == 0
    network.stopped.clear()
    reply = await former.execute(request)
    for control in controls:
        await control.close()
    return reply


def check_refused(reply):
    """Check that the leader did not answer what it knew."""
    assert reply.refusal is not None, reply.content
    assert reply.refusal.kind is errors.ErrorKind.CONTROL_UNAVAILABLE


def test_leader_after_a_suspension_shows_an_older_document(tmp_path):
    """Its successor had acknowledged a change that it did not know."""
    request = _messages.ShowRequest(False)
    check_refused(asyncio.run(ask_suspended_leader(tmp_path, request)))


def test_leader_after_a_suspension_lists_an_older_history(tmp_path):
    """Its successor had acknowledged a change that it did not know."""
    request = _messages.HistoryRequest(False)
    check_refused(asyncio.run(ask_suspended_leader(tmp_path, request)))


def test_leader_after_a_suspension_reports_members_as_removed(tmp_path):
    """Its successor may have added the replica that it does not know."""
    request = _messages.ReplicaChange('unknown', '', False)
    check_refused(asyncio.run(ask_suspended_leader(tmp_path, request)))


def test_leader_in_touch_answers_reads(tmp_path):
    """A read waits for a confirmation, which must not be missed."""

    async def run():
        controls = await start_group(Network(), tmp_path)
        reply = await controls[0].execute(_messages.ShowRequest(False))
        for control in controls:
            await control.close()
        return reply

    reply = asyncio.run(run())
    assert reply.refusal is None
    assert json.loads(reply.content) == {'version': 0, 'text': ''}
