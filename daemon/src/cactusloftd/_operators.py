"""Way of operators' requests to the control leader.

A daemon without the leader passes a request on: a replica to the leader that
it knows, any other daemon to the control hosts in turn. Requests are repeated
only while it is certain that they were not carried out, or when their change
id makes the repeat harmless.
"""

import asyncio

import attrs
from returns import pipeline

from cactusloft_model import errors
from cactusloftd import _control
from cactusloftd import _control_hosts
from cactusloftd import _messages

_E = errors.ErrorKind


class Operators:
    """Carry out operators' requests wherever the leader is.

    :param settings: :class:`_settings.Settings`.
    :param node: :class:`link.LinkNode`.
    :param control: :class:`_control.Control`, or None without that role.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, settings, node, control, now):
        self._settings = settings
        self._silent = []
        self._node = node
        self._control = control
        self._now = now

    def start(self):
        """Take requests that other daemons pass on."""
        for message_class in (
            _messages.ApplyRequest,
            _messages.HistoryRequest,
            _messages.ShowRequest,
            _messages.ReplicaChange,
        ):
            self._node.handle_requests(message_class, self._serve)

    async def execute(self, request):
        """Return the :class:`ControlAnswer` to a request.

        All requests may be repeated: a change has its change id, and a
        replica that is already added or removed stays so.
        """
        limit = self._now() + _control.LEADER_WAIT_S
        while True:
            answer = await self._serve(request, 0.0)
            if _is_unavailable(answer):
                answer = await self._ask_hosts(request)
            if not _is_unavailable(answer) or self._now() > limit:
                return answer
            await asyncio.sleep(_control.LEADER_POLL_S)

    async def _serve(self, request, _age_s):
        """Carry out a request here, or pass it on to the known leader."""
        if self._control is None:
            return _control.refuse_unavailable('not a control replica')
        if self._control.replica.is_leader:
            return await self._control.execute(request)
        leader = self._control.find_leader_address()
        if leader is None or request.is_forwarded:
            return _control.refuse_unavailable('no leader is known')
        return await self._ask(
            leader, attrs.evolve(request, is_forwarded=True)
        )

    async def _ask_hosts(self, request):
        answer = _control.refuse_unavailable('no control host answers')
        for host in self._list_hosts():
            # Each host may pass it on once, to the leader that it knows.
            answer = await self._ask(host.address, request)
            if not _is_unavailable(answer):
                return answer
            # A host that does not answer is asked last from now on.
            self._silent = [h for h in self._silent if h != host] + [host]
        return answer

    def _list_hosts(self):
        """Return the other control hosts, those that were silent last."""
        settings = self._settings
        others = _control_hosts.list_others(
            settings.control_hosts, settings.name
        )
        return sorted(
            others,
            key=lambda host: (
                self._silent.index(host) + 1 if host in self._silent else 0
            ),
        )

    async def _ask(self, address, request):
        peer = self._node.connect(address)
        if not await peer.wait_until_up(_control.CONNECT_WAIT_S):
            return _control.refuse_unavailable('control host not connected')
        reply = await peer.request(request, _control.FORWARD_TIMEOUT_S)
        if not pipeline.is_successful(reply):
            return _control.refuse_unavailable(reply.failure().detail)
        return reply.unwrap()


def _is_unavailable(answer):
    refusal = answer.refusal
    return refusal is not None and refusal.kind is _E.CONTROL_UNAVAILABLE
