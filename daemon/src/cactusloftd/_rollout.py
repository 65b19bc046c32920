"""Acknowledgement of a change once the daemons have installed it.

A daemon that gets a version late, because it or its control host was slow for
a moment, would otherwise serve the previous one for that long after the
operator was told that the change is in force. The wait is short: daemons that
are lost or cut off must not hold up changes.
"""

import asyncio

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


class InstalledVersions:
    """Versions that the daemons which watch this control host have installed.

    :param now: function that returns monotonic seconds.
    """

    def __init__(self, now):
        self._now = now
        self._reports = {}
        self._advanced = asyncio.Event()

    def record(self, daemon, version):
        """Record the version that a daemon names in a poll."""
        known, _ = self._reports.get(daemon, (0, 0.0))
        self._reports[daemon] = version, self._now()
        if version > known:
            self._advanced.set()

    def find_lagging(self, version):
        """Return the daemons that still watch and lack ``version``."""
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
                if known < version
            )
        )

    async def wait_until_installed(self, version, timeout_s):
        """Wait until no daemon lags; return those that lag at the end."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.find_lagging(version):
                    self._advanced.clear()
                    await self._advanced.wait()
        except TimeoutError:
            return self.find_lagging(version)
        return ()


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
        # The last version that was waited for, and the end of that wait.
        self._version, self._wait_until = 0, 0.0

    def start(self):
        """Answer the queries of other control hosts."""
        self._node.handle_requests(
            _rollout_messages.RolloutQuery, self._handle
        )

    async def wait_until_installed(self, version):
        """Wait for an accepted version, at most ``MAX_WAIT_S``.

        A resent change does not wait anew: its operator may give up each
        attempt before the end of the wait.
        """
        if version > self._version:
            self._version = version
            self._wait_until = self._now() + MAX_WAIT_S
        wait_s = self._wait_until - self._now() - REPLY_MARGIN_S
        if version < self._version or wait_s <= 0.0:
            return
        query = _rollout_messages.RolloutQuery(version, int(wait_s * 1000))
        lagging = await asyncio.gather(
            self._versions.wait_until_installed(version, wait_s),
            *(self._ask(address, query) for address in self._list_others()),
        )
        names = sorted({name for names in lagging for name in names})
        if names:
            self._log.record(
                events.Event.ROLLOUT_INCOMPLETE,
                version=version,
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
            query.version, query.wait_ms / 1000
        )
        return _rollout_messages.RolloutReply(lagging)
