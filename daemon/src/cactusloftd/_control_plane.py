"""The control plane of a daemon: replica, watch and operators' requests."""

import asyncio
import random

from cactusloftd import _control
from cactusloftd import _control_hosts
from cactusloftd import _installed
from cactusloftd import _jobs
from cactusloftd import _messages
from cactusloftd import _operators
from cactusloftd import _rollout
from cactusloftd import _texts
from cactusloftd import _watch
from cactusloftd import _watch_server


class ControlPlane:
    """Control replica, watch client and server, and operators' requests.

    :ivar installed: the document in force, a ``_config.Config``.
    :ivar watcher: watch client, which exchanges the attached tables.
    :ivar server: watch server, which serves the attached tables.
    :param settings: :class:`_settings.Settings`.
    :param node: :class:`link.LinkNode`.
    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    :param members: :class:`_members.Members`.
    :param parser: parser with the interface of :class:`_texts.TextParser`,
        which is the default.
    """

    def __init__(self, settings, node, log, now, members, parser=None):
        is_control_host = _control_hosts.is_control_host(settings)
        self.installed = _installed.InstalledDocument(
            log, now, is_control_host
        )
        self._node = node
        self._log = log
        self._parser = parser or _texts.TextParser()
        self._task = None
        self._control = None
        if settings.data_folder:
            self._control = _control.ControlReplica(
                settings,
                node,
                log,
                self._parser,
                now,
                self._handle_replica_change,
            )
        self.watcher = _watch.Watcher(
            settings,
            node,
            self.installed,
            log,
            now,
            random.Random(),
            self._control.replica if self._control else None,
            self._parser,
            self._handle_installed,
        )
        versions = _rollout.InstalledVersions(now)
        self.server = _watch_server.WatchServer(
            self.installed, self.watcher, now, versions
        )
        self._rollout = None
        if self._control is not None:
            self._rollout = _rollout.Rollout(
                settings.name,
                node,
                versions,
                self._control.replica,
                log,
                now,
            )
            self._control.wait_until_installed = (
                self._rollout.wait_until_installed
            )
        self._operators = _operators.Operators(
            settings, node, self._control, now
        )

    @property
    def parser(self):
        """Return the parser of documents."""
        return self._parser

    @property
    def group(self):
        """Return the known :class:`_messages.ControlGroup`."""
        return self.watcher.group

    @property
    def control(self):
        """Return the :class:`_control.ControlReplica`, or None."""
        return self._control

    @property
    def operators(self):
        """Return the :class:`_operators.Operators`."""
        return self._operators

    @property
    def is_leader(self):
        """Tell whether this daemon is the control leader."""
        return self._control is not None and self._control.replica.is_leader

    @property
    def replica(self):
        """Return the local control replica, or None."""
        return self._control.replica if self._control else None

    def attach(self, name, table):
        """Exchange a table with control hosts, and serve it to daemons.

        :param table: has ``make_report``, ``apply`` and ``exchange``.
        """
        self.watcher.attach(name, table.make_report, table.apply)
        self.server.attach(name, table)

    def connect_evacuations(self, data_centre, owner, members, on_change):
        """Make the owner and the choice of members follow the evacuations.

        :param data_centre: that of this host.
        :param owner: has ``is_evacuated``.
        :param members: :class:`_members.Members`.
        :param on_change: function called when the evacuations have changed.
        """
        installed = self.installed

        def is_evacuated():
            return data_centre in installed.evacuations.data_centres

        owner.is_evacuated = is_evacuated
        installed.on_evacuation = on_change
        members.find_evacuated = lambda: installed.evacuations.data_centres

    def start(self):
        """Start the replica and the watch, and handle requests of peers."""
        self._node.handle_requests(_messages.Watch, self.server.handle_watch)
        self._operators.start()
        if self._control is not None:
            self._rollout.start()
            self._control.start()
        self._task = _jobs.start_job(self.watcher.run, self._log)

    async def close(self):
        """Stop the watch and the replica."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._control is not None:
            await self._control.close()

    def _handle_replica_change(self):
        self.watcher.install_from_replica()
        self.server.notify()

    def _handle_installed(self):
        self.server.notify()
