"""Watch server of a control host, which answers long polls of daemons.

A control host answers with its installed document. That comes from its control
replica while the replica is confirmed, otherwise from another control host
that it watches.
"""

import asyncio
import typing

from cactusloft_model import document
from cactusloftd import _installed
from cactusloftd import _messages

MAX_HOLD_TIME_S = 2.0
# Watches are answered without hold time once the confirmation is this old, so
# that the daemons can move to another control host.
STALE_AGE_S = 1.2


class TableOwner(typing.Protocol):
    """Owner of a table, whose content the watch does not interpret."""

    def exchange(self, daemon: str, request: _messages.TableRequest):
        """Handle a daemon's report; return a newer ``Table``, or None."""


class WatchServer:
    """Serve ``Watch`` requests.

    :param installed: :class:`_installed.InstalledDocument`.
    :param watcher: :class:`_watch.Watcher` that keeps ``installed`` current.
    :param now: function that returns monotonic seconds.
    :param versions: :class:`_rollout.InstalledVersions` to report to.
    """

    def __init__(self, installed, watcher, now, versions):
        self._installed = installed
        self._versions = versions
        self._watcher = watcher
        self._now = now
        self._owners = {}
        self._changed = None
        self._cached_version = _installed.NO_VERSION
        self._cached_changes = {}

    def attach(self, name, owner):
        """Serve the table ``name`` of a :class:`TableOwner`."""
        self._owners[name] = owner

    def notify(self):
        """Wake the held watches after a change."""
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    async def handle_watch(self, watch, _age_s):
        """Answer at once after any change, else after the hold time."""
        received_at = self._now()
        if watch.hold_ms:
            # A poll that isn't held, such as a probe, tells nothing about the
            # versions to come: the daemon may watch another control host.
            self._versions.record(
                watch.daemon, watch.version, watch.evacuation_revision
            )
        deadline = received_at + min(watch.hold_ms / 1000, MAX_HOLD_TIME_S)
        while True:
            tables = self._exchange(watch)
            has_changed = self._has_changed(watch)
            remaining_s = deadline - self._now()
            is_due = remaining_s <= 0 or self._compute_fresh_time() <= 0
            if tables or has_changed or is_due:
                return self._make_answer(watch, tables, received_at)
            await self._wait(min(remaining_s, self._compute_fresh_time()))

    def _compute_fresh_time(self):
        """Return the seconds until the confirmation becomes stale."""
        installed = self._installed
        if installed.confirmed_at is None:
            return MAX_HOLD_TIME_S
        return STALE_AGE_S - installed.age_s

    def _has_changed(self, watch):
        if self._installed.version.number > watch.version:
            return True
        if self._find_evacuations(watch) is not None:
            return True
        group = self._watcher.group
        # Without a confirmation, the daemon would ignore the group.
        is_confirmed = self._installed.is_fresh()
        known = watch.epoch, watch.leader
        return is_confirmed and known != (group.epoch, group.leader)

    def _find_evacuations(self, watch):
        """Return the evacuations, None if the daemon has them."""
        evacuations = self._installed.evacuations
        is_newer = evacuations.revision > watch.evacuation_revision
        return evacuations if is_newer else None

    async def _wait(self, timeout_s):
        if self._changed is None:
            self._changed = asyncio.Event()
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            # The hold time is over or the confirmation has become stale; the
            # caller checks both.
            return

    def _exchange(self, watch):
        tables = (
            self._owners[request.name].exchange(watch.daemon, request)
            for request in watch.tables
            if request.name in self._owners
        )
        return tuple(table for table in tables if table is not None)

    def _make_answer(self, watch, tables, received_at):
        self._watcher.install_from_replica()
        installed = self._installed
        base_version, changes = 0, None
        if installed.version.number > watch.version:
            base_version, changes = self._list_changes(watch)
        group = self._watcher.group
        if (group.epoch, group.leader) == (watch.epoch, watch.leader):
            group = None
        age_s = None
        if installed.confirmed_at is not None:
            # Relative to the receipt of the watch, so that the hold time does
            # not count: the daemon sent the watch before it was received.
            age_s = received_at - installed.confirmed_at
        return _messages.WatchReply(
            version=installed.version.number,
            change_id=installed.version.change_id,
            age_s=age_s,
            relays=self._watcher.relays,
            group=group,
            base_version=base_version,
            changes=changes,
            tables=tables,
            evacuations=self._find_evacuations(watch),
        )

    def _list_changes(self, watch):
        """Return the base version and the changes from there."""
        version = self._installed.version
        if version != self._cached_version:
            self._cached_version = version
            self._cached_changes.clear()
        known = _installed.Version(watch.version, watch.change_id)
        base = self._installed.find_sections(known)
        if base is None:
            base, known = {}, _installed.NO_VERSION
        # Cached, since hundreds of daemons ask for the same difference.
        changes = self._cached_changes.get(known)
        if changes is None:
            changes = document.list_changes(
                base, self._installed.current.sections
            )
            self._cached_changes[known] = changes
        return known.number, changes
