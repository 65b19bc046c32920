"""Acknowledgement of a change once the daemons have installed it.

A daemon that gets a version late, because it or its control host was slow for
a moment, would otherwise serve the previous one for that long after the
operator was told that the change is in force. The wait is short: daemons that
are lost or cut off must not hold up changes.
"""

import asyncio

import attrs

from cactusloft_model import events
from cactusloftd import _control
from cactusloftd import _rollout_messages

# Operators try another control host after 1 s without a response, and need
# some of that for the change itself.
MAX_WAIT_S = 0.5
REPLY_MARGIN_S = 0.1
# A daemon polls again within 1 s; one that has not is lost or has moved.
MAX_REPORT_AGE_S = 1.5
MAX_LOGGED_NAMES = 5


@attrs.frozen
class _Installed:
    """Version of the document and revision of the evacuations."""

    version: int
    evacuation_revision: int

    def includes(self, other):
        """Tell whether both are at least those of ``other``."""
        return (
            self.version >= other.version
            and self.evacuation_revision >= other.evacuation_revision
        )


_NOTHING = _Installed(0, 0)


class InstalledVersions:
    """Versions that the daemons which watch this control host have installed.

    :param now: function that returns monotonic seconds.
    """

    def __init__(self, now):
        self._now = now
        self._reports = {}
        self._advanced = asyncio.Event()

    def record(self, daemon, version, evacuation_revision=0):
        """Record what a daemon names in a poll as installed."""
        known, _ = self._reports.get(daemon, (_NOTHING, 0.0))
        installed = _Installed(version, evacuation_revision)
        self._reports[daemon] = installed, self._now()
        if not known.includes(installed):
            self._advanced.set()

    def find_lagging(self, version, evacuation_revision=0):
        """Return the daemons that still watch and lack one of the two."""
        needed = _Installed(version, evacuation_revision)
        oldest = self._now() - MAX_REPORT_AGE_S
        self._reports = {
            daemon: report
            for daemon, report in self._reports.items()
            if report[1] >= oldest
        }
        return tuple(
            sorted(
                daemon
                for daemon, (known, _) in self._reports.items()
                if not known.includes(needed)
            )
        )

    async def wait_until_installed(
        self, version, timeout_s, evacuation_revision=0
    ):
        """Wait until no daemon lags; return those that lag at the end."""
        needed = version, evacuation_revision
        try:
            async with asyncio.timeout(timeout_s):
                while self.find_lagging(*needed):
                    self._advanced.clear()
                    await self._advanced.wait()
        except TimeoutError:
            return self.find_lagging(*needed)
        return ()


def _describe(needed):
    """Return the log fields that name what is waited for."""
    if needed.version:
        return {'version': needed.version}
    return {'evacuation_revision': needed.evacuation_revision}


class Rollout:
    """Wait until a version is installed on the daemons of all control hosts.

    :param name: name of this daemon.
    :param node: :class:`link.LinkNode`.
    :param versions: :class:`InstalledVersions` of this control host.
    :param replica: local control replica, which knows the control hosts.
    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, name, node, versions, replica, log, now):
        self._name = name
        self._node = node
        self._versions = versions
        self._replica = replica
        self._log = log
        self._now = now
        # The latest that was waited for, and the end of that wait.
        self._latest, self._wait_until = _NOTHING, 0.0

    def start(self):
        """Answer the queries of other control hosts."""
        self._node.handle_requests(
            _rollout_messages.RolloutQuery, self._handle
        )

    async def wait_until_installed(self, version=0, evacuation_revision=0):
        """Wait for an accepted change, at most ``MAX_WAIT_S``.

        A resent change does not wait anew: its operator may give up each
        attempt before the end of the wait.

        :param version: accepted version of the document, 0 for any.
        :param evacuation_revision: accepted revision of the evacuations, 0
            for any.
        """
        latest, needed = self._latest, _Installed(version, evacuation_revision)
        if not latest.includes(needed):
            self._latest = _Installed(
                max(version, latest.version),
                max(evacuation_revision, latest.evacuation_revision),
            )
            self._wait_until = self._now() + MAX_WAIT_S
        wait_s = self._wait_until - self._now() - REPLY_MARGIN_S
        if wait_s <= 0.0:
            return
        query = _rollout_messages.RolloutQuery(
            version, int(wait_s * 1000), evacuation_revision
        )
        lagging = await asyncio.gather(
            self._versions.wait_until_installed(
                version, wait_s, evacuation_revision
            ),
            *(self._ask(address, query) for address in self._list_others()),
        )
        names = sorted({name for names in lagging for name in names})
        if names:
            self._log.record(
                events.Event.ROLLOUT_INCOMPLETE,
                **_describe(needed),
                count=len(names),
                daemons=','.join(names[:MAX_LOGGED_NAMES]),
            )

    def _list_others(self):
        addresses = (
            _control.ReplicaAddress.parse(member.address)
            for member in self._replica.members
        )
        return [a for a in addresses if a.daemon != self._name]

    async def _ask(self, address, query):
        """Return the lagging daemons of a control host.

        A control host that does not answer counts as lagging itself.
        """
        peer = self._node.connect(address.peer)
        timeout_s = query.wait_ms / 1000 + REPLY_MARGIN_S
        reply = await peer.request(query, timeout_s)
        silent = _rollout_messages.RolloutReply((address.daemon,))
        return reply.value_or(silent).lagging

    async def _handle(self, query, _age_s):
        lagging = await self._versions.wait_until_installed(
            query.version, query.wait_ms / 1000, query.evacuation_revision
        )
        return _rollout_messages.RolloutReply(lagging)
