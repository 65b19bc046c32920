"""How a control host becomes a member of the control group.

The founder makes the group, once, with an empty data folder at the first start
of the whole system. All others ask the hosts that they know to be added, for
as long as they are no members: after their first start, after the loss of
their data folder, and when the group has removed them meanwhile.
"""

import asyncio

from returns import pipeline

from cactusloft_model import events

RETRY_PAUSE_S = 0.3
CHECK_INTERVAL_S = 1.0
_V = events.Event


class GroupEntry:
    """Keep the local replica a member of the control group.

    :param plane: :class:`_control_plane.ControlPlane` with a replica.
    :param is_founder: whether to make the group if there is none.
    :param log: :class:`events.EventLog`.
    """

    def __init__(self, plane, is_founder, log):
        self._replica = plane.replica
        self._control = plane.control
        self._operators = plane.operators
        self._is_founder = is_founder
        self._log = log

    async def run(self):
        """Found or join the group, until cancelled."""
        if self._is_founder:
            self._found()
        was_member = False
        while True:
            if self._is_member():
                if not was_member:
                    self._log.record(
                        _V.GROUP_JOINED, replica_id=self._replica.replica_id
                    )
                was_member = True
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            was_member = False
            await self._operators.decide(self._control.make_join_request())
            await asyncio.sleep(RETRY_PAUSE_S)

    def _found(self):
        if pipeline.is_successful(self._control.bootstrap()):
            self._log.record(
                _V.GROUP_FOUNDED, replica_id=self._replica.replica_id
            )

    def _is_member(self):
        members = self._replica.membership.members
        return any(m.replica_id == self._replica.replica_id for m in members)
