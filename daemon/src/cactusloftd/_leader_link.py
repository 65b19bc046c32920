"""Requests to the control leader, wherever it is."""

import attrs
from returns import pipeline


@attrs.frozen
class LeaderTimeouts:
    """How long a request to the leader may take, in seconds."""

    connect_s: float
    reply_s: float


class LeaderLink:
    """Ask the leader, or the local replica when it leads.

    Replies name the leader, so that a request to a former one finds the next.

    :param view: :class:`_group.GroupView`.
    :param node: :class:`link.LinkNode`.
    :param answer: coroutine function(request, age_s) of the local server.
    :param patience: :class:`LeaderTimeouts`.
    """

    def __init__(self, view, node, answer, patience):
        self._view = view
        self._node = node
        self._answer = answer
        self._patience = patience
        self._hint = ''

    async def ask(self, request):
        """Return the reply, which has a ``leader``, or None without one."""
        group = self._view.read()
        leader = group.find_voter(self._hint) or group.find_voter(group.leader)
        if leader is None:
            return None
        replica = self._view.replica
        if replica is not None and replica.replica_id == leader.replica_id:
            reply = await self._answer(request, 0.0)
        else:
            reply = await self._send(leader, request)
        self._hint = reply.leader if reply is not None else ''
        return reply

    async def _send(self, leader, request):
        peer = self._node.connect(leader.address)
        if not await peer.wait_until_up(self._patience.connect_s):
            return None
        answer = await peer.request(request, self._patience.reply_s)
        return answer.unwrap() if pipeline.is_successful(answer) else None
