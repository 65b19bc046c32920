"""Membership of a control host in the control group.

The founder creates the group once, when the whole system first starts and its
data folder is empty. A control host that is not a member asks the control
hosts that it knows to add it: after its first start, after the loss of its
data folder, and after the group has removed it. A removed host gets no further
log entries, so it may not know of its removal: it also asks while it hears no
leader. The leader removes unresponsive members.
"""

import asyncio

from returns import pipeline

from cactusloft_model import events
from cactusloftd import _messages

RETRY_DELAY_S = 0.3
CHECK_INTERVAL_S = 0.5
# A member that has heard no leader for this long asks to be added again.
# Longer than an election.
LEADER_SILENCE_S = 2.0
REJOIN_INTERVAL_S = 1.0
_V = events.Event


class GroupEntry:
    """Keep the local replica a member of the control group.

    :param plane: :class:`_control_plane.ControlPlane` with a replica.
    :param is_founder: whether to create the group if there is none.
    :param log: :class:`events.EventLog`.
    """

    def __init__(self, plane, is_founder, log):
        self._replica = plane.replica
        self._control = plane.control
        self._operators = plane.operators
        self._is_founder = is_founder
        self._log = log

    async def run(self):
        """Create or join the group and stay a member, until cancelled."""
        if self._is_founder:
            self._create_group()
        was_member = False
        while True:
            if self._is_member():
                if not was_member:
                    self._log.record(
                        _V.GROUP_JOINED, replica_id=self._replica.replica_id
                    )
                was_member = True
                await self._keep_membership()
                continue
            was_member = False
            await self._operators.execute(self._control.make_join_request())
            await asyncio.sleep(RETRY_DELAY_S)

    async def _keep_membership(self):
        if self._replica.leader_silence_s > LEADER_SILENCE_S:
            # Has no effect while this replica is a member.
            await self._operators.execute(
                self._control.make_join_request(), timeout_s=0.0
            )
            await asyncio.sleep(REJOIN_INTERVAL_S)
            return
        await self._remove_unresponsive()
        await asyncio.sleep(CHECK_INTERVAL_S)

    async def _remove_unresponsive(self):
        """Remove one unresponsive member, as the leader."""
        replica_id = self._replica.find_removable_member()
        if replica_id is not None:
            # Not forwarded: another leader may have heard from the member.
            await self._control.execute(
                _messages.ReplicaChange(replica_id, '', False)
            )

    def _create_group(self):
        if pipeline.is_successful(self._control.bootstrap()):
            self._log.record(
                _V.GROUP_FOUNDED, replica_id=self._replica.replica_id
            )

    def _is_member(self):
        members = self._replica.membership.members
        return any(m.replica_id == self._replica.replica_id for m in members)
