"""All parts of a daemon that concern control, put together."""

import asyncio
import random

from cactusloftd import _control
from cactusloftd import _control_hosts
from cactusloftd import _installed
from cactusloftd import _messages
from cactusloftd import _operators
from cactusloftd import _texts
from cactusloftd import _watch
from cactusloftd import _watch_server


class ControlPlane:
    """Replica, watch client and server, and operators' requests.

    :ivar installed: the document in force, a ``_config.Config``.
    :ivar watcher: watch client, to which tables are attached.
    :ivar server: watch server, to which owners of tables are attached.
    :param settings: :class:`_settings.Settings`.
    :param node: :class:`link.LinkNode`.
    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    :param members: :class:`_members.Members`.
    :param parser: reads texts like :class:`_texts.TextParser`, the default.
    """

    def __init__(self, settings, node, log, now, members, parser=None):
        is_control_host = _control_hosts.is_control_host(settings)
        self.installed = _installed.Installed(log, now, is_control_host)
        self._node = node
        self._parser = parser or _texts.TextParser()
        self._task = None
        self._control = None
        if settings.data_folder:
            self._control = _control.Control(
                settings, node, log, self._parser, now, self._note_replicated
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
            self._note_installed,
        )
        self.server = _watch_server.WatchServer(
            self.installed, self.watcher, now
        )
        self._operators = _operators.Operators(
            settings, node, self._control, now
        )

    @property
    def parser(self):
        """Return the reader of the operators' texts."""
        return self._parser

    @property
    def group(self):
        """Return the known :class:`_messages.ControlGroup`."""
        return self.watcher.group

    @property
    def control(self):
        """Return the :class:`_control.Control`, None without that role."""
        return self._control

    @property
    def operators(self):
        """Return the :class:`_operators.Operators`."""
        return self._operators

    @property
    def leads(self):
        """Tell whether this daemon is the control leader."""
        return self._control is not None and self._control.replica.is_leader

    @property
    def replica(self):
        """Return the local control replica, or None."""
        return self._control.replica if self._control else None

    def attach(self, name, table):
        """Exchange a table with control hosts, and serve it as one.

        :param table: has ``make_report``, ``take`` and ``exchange``.
        """
        self.watcher.attach(name, table.make_report, table.take)
        self.server.attach(name, table)

    def start(self):
        """Start the replica, the watch and the handlers of peer requests."""
        self._node.handle_requests(_messages.Watch, self.server.answer)
        self._operators.start()
        if self._control is not None:
            self._control.start()
        self._task = asyncio.create_task(self.watcher.run())

    async def close(self):
        """Stop the watch and the replica."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._control is not None:
            await self._control.close()

    def _note_replicated(self):
        self.watcher.take_local()
        self.server.notify()

    def _note_installed(self):
        self.server.notify()
