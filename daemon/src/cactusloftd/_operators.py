"""Forwarding of operators' requests to the control leader.

A daemon that is not the leader forwards a request: a replica to the leader
that it knows, any other daemon to the control hosts in turn. A request is
resent only if it was certainly not executed, or if its change id makes the
resend harmless.
"""

import asyncio

import attrs
from returns import pipeline

from cactusloft_model import errors
from cactusloftd import _control
from cactusloftd import _control_hosts
from cactusloftd import _evacuation_messages
from cactusloftd import _messages

# A change must be acknowledged within 4 s, also if five of eleven control
# hosts, asked first, are frozen.
NEXT_HOST_DELAY_S = 0.5
_E = errors.ErrorKind


class Operators:
    """Execute operators' requests on the leader, local or remote.

    :param settings: :class:`_settings.Settings`.
    :param node: :class:`link.LinkNode`.
    :param control: :class:`_control.ControlReplica`, or None without one.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, settings, node, control, now):
        self._settings = settings
        self._unresponsive = []
        self._node = node
        self._control = control
        self._now = now

    def start(self):
        """Handle requests that other daemons forward."""
        for message_class in (
            _messages.ApplyRequest,
            _messages.HistoryRequest,
            _messages.ShowRequest,
            _messages.ReplicaChange,
            _evacuation_messages.EvacuationRequest,
            _evacuation_messages.EvacuationsRequest,
        ):
            self._node.handle_requests(message_class, self._handle)

    async def execute(self, request, timeout_s=_control.LEADER_TIMEOUT_S):
        """Return the :class:`ControlReply` to a request.

        All requests are idempotent: a change has its change id, and adding or
        removing a replica twice has no further effect, like an order for an
        evacuation that is in force.

        :param timeout_s: seconds to wait for a leader; with 0, each control
            host is asked once.
        """
        deadline = self._now() + timeout_s
        while True:
            reply = await self._handle(request, 0.0)
            if _is_unavailable(reply):
                reply = await self._send_to_hosts(request)
            if not _is_unavailable(reply) or self._now() > deadline:
                return reply
            await asyncio.sleep(_control.LEADER_POLL_INTERVAL_S)

    async def _handle(self, request, _age_s):
        """Execute a request here, or forward it to the known leader."""
        if self._control is None:
            return _control.refuse_unavailable('not a control replica')
        reply = None
        while reply is None:
            if self._control.replica.is_leader:
                return await self._control.execute(request)
            leader = self._control.find_leader_address()
            if leader is None or request.is_forwarded:
                return _control.refuse_unavailable('no leader is known')
            reply = await self._forward(leader, request)
        return reply

    async def _forward(self, leader, request):
        """Return the leader's reply, or None once there is another leader.

        A frozen leader would otherwise hold the request long after the others
        have elected its successor.
        """
        forwarded = attrs.evolve(request, is_forwarded=True)
        sending = asyncio.ensure_future(self._send(leader, forwarded))
        try:
            while not sending.done() and not self._is_replaced(leader):
                await asyncio.wait(
                    {sending}, timeout=_control.LEADER_POLL_INTERVAL_S
                )
            return sending.result() if sending.done() else None
        finally:
            sending.cancel()

    def _is_replaced(self, leader):
        """Tell whether this daemon knows another leader by now."""
        if self._control.replica.is_leader:
            return True
        return self._control.find_leader_address() not in (None, leader)

    async def _send_to_hosts(self, request):
        """Ask the control hosts in turn; the first that can answer does.

        One that has not answered in time stays asked while the next one is,
        except for changes of replicas, which must not overlap.
        """
        interval_s = NEXT_HOST_DELAY_S
        if isinstance(request, _messages.ReplicaChange):
            interval_s = None
        reply = _control.refuse_unavailable('no control host answers')
        hosts, pending = iter(self._list_hosts()), set()
        try:
            while True:
                host = next(hosts, None)
                if host is not None:
                    pending.add(
                        asyncio.ensure_future(self._ask(host, request))
                    )
                if not pending:
                    return reply
                done, pending = await asyncio.wait(
                    pending,
                    timeout=None if host is None else interval_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    reply = task.result()
                    if not _is_unavailable(reply):
                        return reply
        finally:
            for task in pending:
                task.cancel()

    async def _ask(self, host, request):
        """Return the reply of a control host, which may forward it once."""
        reply = None
        try:
            reply = await self._send(host.address, request)
            return reply
        finally:
            if reply is None or _is_unavailable(reply):
                # Ask it after all others next time.
                others = [h for h in self._unresponsive if h != host]
                self._unresponsive = others + [host]

    def _list_hosts(self):
        """Return the other control hosts, unresponsive ones at the end."""
        settings = self._settings
        others = _control_hosts.list_others(
            settings.control_hosts, settings.name
        )
        return sorted(
            others,
            key=lambda host: (
                self._unresponsive.index(host) + 1
                if host in self._unresponsive
                else 0
            ),
        )

    async def _send(self, address, request):
        peer = self._node.connect(address)
        if not await peer.wait_until_up(_control.CONNECT_TIMEOUT_S):
            return _control.refuse_unavailable('control host not connected')
        reply = await peer.request(request, _control.FORWARD_TIMEOUT_S)
        if not pipeline.is_successful(reply):
            return _control.refuse_unavailable(reply.failure().detail)
        return reply.unwrap()


def _is_unavailable(reply):
    refusal = reply.refusal
    return refusal is not None and refusal.kind is _E.CONTROL_UNAVAILABLE
