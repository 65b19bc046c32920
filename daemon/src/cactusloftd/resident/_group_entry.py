"""How a control host becomes a member of the control group.

The founder makes the group, once, with an empty data folder at the first start
of the whole system. All others ask the hosts that they know to be added, for
as long as they are no members: after their first start, after the loss of
their data folder, and when the group has removed them meanwhile. The leader
removes members that stay silent.
"""

import asyncio

from returns import pipeline

from cactusloft_model import events
from cactusloftd import _messages

RETRY_DELAY_S = 0.3
CHECK_INTERVAL_S = 1.0
# A member that is silent for this time is removed, so that one that is gone
# for good does not count towards a majority for ever. One that comes back
# joins again. Longer than a restart, a freeze or a short cut.
SILENCE_S = 12.0
_V = events.Event


class GroupEntry:
    """Keep the local replica a member of the control group.

    :param plane: :class:`_control_plane.ControlPlane` with a replica.
    :param is_founder: whether to make the group if there is none.
    :param least_voters: voters that are kept, silent or not.
    :param log: :class:`events.EventLog`.
    """

    def __init__(self, plane, is_founder, least_voters, log):
        self._replica = plane.replica
        self._control = plane.control
        self._operators = plane.operators
        self._is_founder = is_founder
        self._least_voters = least_voters
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
                await self._remove_silent()
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            was_member = False
            await self._operators.execute(self._control.make_join_request())
            await asyncio.sleep(RETRY_DELAY_S)

    async def _remove_silent(self):
        """Remove one member that is silent, if enough others are left."""
        voters = {
            member.replica_id
            for member in self._replica.membership.members
            if member.is_voter
        }
        silent = self._replica.list_unresponsive_members(SILENCE_S)
        if not silent or len(voters.difference(silent)) < self._least_voters:
            return
        await self._operators.execute(
            _messages.ReplicaChange(silent[0], '', False)
        )

    def _found(self):
        if pipeline.is_successful(self._control.bootstrap()):
            self._log.record(
                _V.GROUP_FOUNDED, replica_id=self._replica.replica_id
            )

    def _is_member(self):
        members = self._replica.membership.members
        return any(m.replica_id == self._replica.replica_id for m in members)
