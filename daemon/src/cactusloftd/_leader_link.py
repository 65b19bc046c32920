"""Requests to the control leader, local or remote."""

import attrs
from returns import pipeline


@attrs.frozen
class LeaderTimeouts:
    """Timeouts of a request to the leader, in seconds."""

    connect_s: float
    reply_s: float


class LeaderLink:
    """Send requests to the leader, or handle them here on the leader.

    Each reply names the leader as its sender knows it. The next request goes
    there, so a request to a former leader leads to the current one.

    :param view: :class:`_group.GroupView`.
    :param node: :class:`link.LinkNode`.
    :param handle: coroutine function(request, age_s) that handles a request
        on this daemon.
    :param timeouts: :class:`LeaderTimeouts`.
    """

    def __init__(self, view, node, handle, timeouts):
        self._view = view
        self._node = node
        self._handle = handle
        self._timeouts = timeouts
        self._hinted_id = ''

    async def ask(self, request):
        """Return the reply of the leader, or None when there was none."""
        group = self._view.read()
        leader = group.find_voter(self._hinted_id) or group.find_voter(
            group.leader
        )
        if leader is None:
            return None
        replica = self._view.replica
        if replica is not None and replica.replica_id == leader.replica_id:
            reply = await self._handle(request, 0.0)
        else:
            reply = await self._send(leader, request)
        self._hinted_id = reply.leader if reply is not None else ''
        return reply

    async def _send(self, leader, request):
        peer = self._node.connect(leader.address)
        if not await peer.wait_until_up(self._timeouts.connect_s):
            return None
        reply = await peer.request(request, self._timeouts.reply_s)
        return reply.unwrap() if pipeline.is_successful(reply) else None
