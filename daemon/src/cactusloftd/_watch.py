"""Watch client: long polls a control host and chooses which one to poll."""

import asyncio

from returns import pipeline
from returns import result

from cactusloft_model import document
from cactusloft_model import events
from cactusloftd import _control
from cactusloftd import _control_hosts
from cactusloftd import _installed
from cactusloftd import _internal_errors
from cactusloftd import _messages

HOLD_TIME_S = 1.0
# Relays poll more often, so that a daemon that watches one stays within the
# freshness bound while a control leader is elected (2.4 s without
# confirmation).
RELAY_HOLD_TIME_S = 0.25
REPLY_MARGIN_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# The first poll of a control host is answered at once. A link that was idle
# looks up although its host is lost; two hosts that are lost together must not
# delay a change by more than it may take to arrive.
FIRST_REPLY_TIMEOUT_S = 0.8
RETRY_DELAY_S = 0.2
# A control host whose confirmation is older than this may be isolated. A
# change must reach every daemon within 2 s of its acceptance, so the daemon
# has to move to the next control host well before that.
MAX_HOME_AGE_S = 1.2
# A daemon doesn't poll while its local replica was confirmed within this time.
MAX_REPLICA_AGE_S = 1.5
REPLICA_POLL_INTERVAL_S = 0.1
_V = events.Event


class Watcher:
    """Keep the installed document and the attached tables current.

    :param settings: :class:`_settings.Settings`.
    :param node: :class:`link.LinkNode`.
    :param installed: :class:`_installed.InstalledDocument`.
    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    :param random_source: :class:`random.Random` for the order of the hosts.
    :param replica: the local control replica, or None.
    :param parser: :class:`_texts.TextParser` for the replica's documents.
    :param on_change: function called after a new document was installed or
        the control group changed.

    :ivar relays: number of hops from the replica that confirmed the document
        to this daemon, 0 for the local replica.
    :ivar group: known :class:`_messages.ControlGroup`.
    """

    def __init__(
        self,
        settings,
        node,
        installed,
        log,
        now,
        random_source,
        replica,
        parser,
        on_change,
    ):
        self._name = settings.name
        self._node = node
        self._installed = installed
        self._log = log
        self._now = now
        self._replica = replica
        self._parser = parser
        self._parse_task = None
        self._on_change = on_change
        self._tables = {}
        self._known_versions = {}
        self._report_due = asyncio.Event()
        self._has_fixed_document = bool(settings.document_file)
        self._control_hosts = settings.control_hosts
        self._rotation = _control_hosts.Rotation(settings, random_source)
        self._watched_name = ''
        self._is_relay = _control_hosts.is_control_host(settings)
        self.relays = 0
        self.group = _messages.NO_GROUP

    def attach(self, name, make_report, apply):
        """Exchange the table ``name`` with the control host.

        :param make_report: function that returns the bytes to report.
        :param apply: function that applies the content of a new version.
        """
        self._tables[name] = (make_report, apply)

    def find_home(self):
        """Return the :class:`ControlHost` that is watched, or None."""
        return self._rotation.find_current()

    def wake(self):
        """Send a new poll with fresh reports at once."""
        self._report_due.set()

    async def run(self):
        """Watch until cancelled."""
        while True:
            if self.install_from_replica():
                await asyncio.sleep(REPLICA_POLL_INTERVAL_S)
                continue
            home = self.find_home()
            begun_at = self._now()
            fault = 'no control host is known'
            if home is not None:
                fault = await self._watch(home)
            if fault:
                self._move(home, fault, self._now() - begun_at)
                await asyncio.sleep(RETRY_DELAY_S)

    def install_from_replica(self):
        """Install the replica's document; tell if its confirmation is recent.

        :returns: False without a local replica, or when its last confirmation
            is older than ``MAX_REPLICA_AGE_S``.
        """
        replica = self._replica
        if replica is None or replica.confirmed_at is None:
            return False
        store, confirmed_at = replica.store, replica.confirmed_at
        version = _installed.Version(store.version, store.change_id)
        known_at = self._installed.confirmed_at
        if known_at is None or confirmed_at >= known_at:
            self.relays = 0
            self._update_group_from_replica(replica)
        is_new = version.number > self._installed.version.number
        if is_new and not self._parser.has_parsed(store.text):
            self._start_parsing(store.text)
        else:
            self._install(
                version,
                confirmed_at,
                lambda: self._parser.parse(store.text),
                self._name,
            )
        return self._now() - confirmed_at < MAX_REPLICA_AGE_S

    def _start_parsing(self, text):
        """Parse a text in a thread, then install from the replica again.

        Parsing a text with many new sections takes longer than the election
        timeout. On the event loop it would make all followers miss the
        leader's heartbeats at the same time.
        """
        if self._parse_task is None:
            self._parse_task = asyncio.create_task(self._parse(text))

    async def _parse(self, text):
        try:
            await asyncio.to_thread(self._parser.parse, text)
        finally:
            self._parse_task = None
        self.install_from_replica()

    def _move(self, host, fault, waited_s):
        """Switch to the next control host."""
        self._rotation.advance()
        if host is None:
            return
        self._log.record(
            _V.CONTROL_HOST_LEFT,
            control_host=host.name,
            fault=fault,
            waited_s=round(waited_s, 3),
            age_s=round(self._installed.age_s, 3),
        )

    async def _watch(self, host):
        """Poll ``host`` once; return why not to go on with it, or empty."""
        is_first = host.name != self._watched_name
        if is_first:
            # Table versions are those of one control host.
            self._known_versions.clear()
            self._watched_name = host.name
        peer = self._node.connect(host.address)
        if not await peer.wait_until_up(CONNECT_TIMEOUT_S):
            return 'not connected'
        self._report_due.clear()
        hold_time_s = RELAY_HOLD_TIME_S if self._is_relay else HOLD_TIME_S
        timeout_s = hold_time_s + REPLY_MARGIN_S
        if is_first:
            hold_time_s, timeout_s = 0.0, FIRST_REPLY_TIMEOUT_S
        watch = _messages.Watch(
            daemon=self._name,
            version=self._installed.version.number,
            change_id=self._installed.version.change_id,
            epoch=self.group.epoch,
            leader=self.group.leader,
            hold_ms=int(hold_time_s * 1000),
            tables=tuple(self._list_reports()),
        )
        base = self._installed.current
        # The time before sending is a lower bound, so that the confirmation
        # is never taken to be later than it was.
        sent_at = self._now()
        reply = await self._request(peer, watch, timeout_s)
        if reply is None:
            return ''
        if not pipeline.is_successful(reply):
            self._log.record(_V.CONTROL_HOST_SILENT, control_host=host.name)
            return 'no response'
        is_recent = self._apply_answer(reply.unwrap(), sent_at, base)
        answer = reply.unwrap()
        has_group = answer.group in (None, self.group)
        has_tables = all(
            self._known_versions.get(table.name) == table.version
            for table in answer.tables
        )
        is_outdated = answer.version > self._installed.version.number
        if is_outdated or not has_group or not has_tables:
            # The answer's confirmation was too old, or its document or a table
            # is invalid here. The control host would answer the next poll at
            # once.
            await asyncio.sleep(RETRY_DELAY_S)
        return '' if is_recent else 'its confirmation is old'

    async def _request(self, peer, watch, timeout_s):
        """Return the reply, or None if a new report is due first."""
        request = asyncio.ensure_future(peer.request(watch, timeout_s))
        due = asyncio.ensure_future(self._report_due.wait())
        try:
            await asyncio.wait(
                {request, due}, return_when=asyncio.FIRST_COMPLETED
            )
            return request.result() if request.done() else None
        finally:
            request.cancel()
            due.cancel()

    def _list_reports(self):
        for name, (make_report, _) in self._tables.items():
            known = self._known_versions.get(name, 0)
            yield _messages.TableRequest(name, known, make_report())

    def _apply_answer(self, answer, sent_at, base):
        """Apply an answer; tell whether its confirmation is recent."""
        for table in answer.tables:
            self._apply_table(table)
        if answer.age_s is None:
            # A document from a file needs no confirmation.
            return self._has_fixed_document
        # Relays that watch each other could pass a confirmation in a circle
        # and keep it alive without a replica.
        if self._is_relay and answer.relays > 0:
            return False
        confirmed_at = sent_at - answer.age_s
        known_at = self._installed.confirmed_at
        if known_at is None or confirmed_at >= known_at:
            self.relays = answer.relays + 1
            self._update_group(answer.group)
        version = _installed.Version(answer.version, answer.change_id)
        self._install(
            version,
            confirmed_at,
            lambda: _patch(base, answer),
            self._watched_name,
        )
        return self._now() - confirmed_at < MAX_HOME_AGE_S

    def _apply_table(self, table):
        """Apply a table; its version stays unknown if that fails.

        The document and the other tables are applied all the same. The control
        host sends the table again.
        """
        _, apply = self._tables[table.name]
        try:
            apply(table.content)
        except Exception as error:
            self._known_versions.pop(table.name, None)
            _internal_errors.record_error(self._log, error)
            return
        self._known_versions[table.name] = table.version

    def _update_group_from_replica(self, replica):
        known = self.group.epoch, self.group.leader
        if known != (replica.membership.version, replica.leader_id):
            self._update_group(_make_group(replica))

    def _update_group(self, group):
        if group is not None and group != self.group:
            self.group = group
            self._control_hosts.update_members(group.members)
            self._on_change()

    def _install(self, version, confirmed_at, make_document, source):
        if self._installed.update(
            version, confirmed_at, make_document, source
        ):
            self._on_change()


def _make_group(replica):
    """Return the local replica's :class:`ControlGroup`."""
    membership = replica.membership
    members = []
    for member in membership.members:
        address = _control.ReplicaAddress.parse(member.address)
        members.append(
            _messages.ControlMember(
                member.replica_id,
                address.daemon,
                address.endpoint,
                address.public_key,
                member.is_voter,
                address.data_centre,
            )
        )
    return _messages.ControlGroup(
        membership.version, replica.leader_id, tuple(members)
    )


def _patch(base, answer):
    """Return the document that results from an answer, as a Result.

    :param base: document installed when the watch was sent.
    """
    if answer.changes is None:
        return result.Failure(('the answer holds no changes',))
    if not answer.base_version:
        base = document.EMPTY_DOCUMENT
    return document.patch_document(base, answer.changes)
