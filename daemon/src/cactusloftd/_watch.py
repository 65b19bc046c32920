"""Watch client: long polls a control host and chooses which one to poll."""

import asyncio

from returns import pipeline

from cactusloft_model import events
from cactusloftd import _control_group
from cactusloftd import _control_hosts
from cactusloftd import _installed
from cactusloftd import _internal_errors
from cactusloftd import _messages
from cactusloftd import _watch_answers
from cactusloftd import _watch_search
from cactusloftd import _watch_times

# A daemon doesn't poll while its local replica was confirmed within this time.
MAX_REPLICA_AGE_S = 1.5
REPLICA_POLL_INTERVAL_S = 0.1
CONNECT_TIMEOUT_S = 0.5
RETRY_DELAY_S = 0.2
# A daemon whose home holds a version that is invalid here polls it at this
# interval, so that it gets a valid one in time.
REFUSED_DELAY_S = 1.0
_NOT_CONNECTED = 'not connected'
_NO_RESPONSE = 'no response'
_LATE = 'its responses are late'
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
        self._has_fixed_document = bool(settings.document_file)
        self._control_hosts = settings.control_hosts
        self._rotation = _control_hosts.Rotation(settings, random_source)
        self._watched_name = ''
        self._confirming_name = ''
        self._until_report = None
        self._search = None
        self._late_replies = 0
        self._reply_delay_s = self._probe_delay_s = 0.0
        self._usual_delay_s = 0.0
        self._is_unconfirmed = False
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
        if self._until_report is not None:
            self._until_report.cancel()

    async def run(self):
        """Watch until cancelled."""
        try:
            while True:
                await self._run_once()
        finally:
            self._stop_search()

    async def _run_once(self):
        if self.install_from_replica():
            await asyncio.sleep(REPLICA_POLL_INTERVAL_S)
            return
        home = self.find_home()
        if home is None:
            await asyncio.sleep(RETRY_DELAY_S)
            return
        await self._watch(home)

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
                store.evacuations,
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

    async def _watch(self, home):
        """Poll the home once; choose another one if that fails."""
        begun_at = self._now()
        is_known = home.name in (self._watched_name, self._confirming_name)
        if home.name != self._watched_name:
            # Table versions are those of one control host.
            self._known_versions.clear()
            self._watched_name = home.name
            self._late_replies = 0
            self._usual_delay_s = 0.0
        times = _watch_times.FIRST_POLL
        if is_known:
            times = _watch_times.plan_poll(
                self._installed.age_s, self._is_relay, self._usual_delay_s
            )
        poll = asyncio.ensure_future(self._ask(home, times, True))
        try:
            await asyncio.wait({poll}, timeout=times.search_delay_s)
            if not poll.done():
                self._start_search(is_urgent=True)
                await asyncio.wait({poll})
            if poll.cancelled():
                # A new report is due. A search goes on.
                return
            self._reply_delay_s = self._now() - begun_at - times.hold_time_s
            fault = await self._finish_poll(home, poll.result())
            if fault:
                self._start_search(is_urgent=False)
                await self._leave(home, fault, begun_at, await self._search)
            self._stop_search()
        finally:
            poll.cancel()

    async def _finish_poll(self, home, answer):
        """Apply the home's answer; return why to leave it, or empty."""
        if answer.fault:
            return answer.fault
        if not self._apply_answer(home, answer):
            return 'its confirmation is old'
        self._is_unconfirmed = False
        self._late_replies = self._late_replies + 1 if self._search else 0
        if self._late_replies >= _watch_times.MAX_LATE_REPLIES:
            return _LATE
        reply = answer.reply
        has_group = reply.group in (None, self.group)
        has_tables = all(
            self._known_versions.get(table.name) == table.version
            for table in reply.tables
        )
        is_outdated = answer.is_newer_than(self._installed)
        if self._installed.has_refused(reply.version):
            # All control hosts hold this version, so that no other one is
            # better. Each answer costs as much as the whole difference.
            await self._pause(REFUSED_DELAY_S)
        elif is_outdated or not has_group or not has_tables:
            # The answer's confirmation was too old, or a table is invalid
            # here. The control host would answer the next poll at once.
            await self._pause(RETRY_DELAY_S)
        return ''

    async def _pause(self, duration_s):
        """Wait before the next poll, or until a new report is due."""
        self._until_report = asyncio.ensure_future(asyncio.sleep(duration_s))
        try:
            await asyncio.wait({self._until_report})
        finally:
            self._until_report.cancel()
            self._until_report = None

    def _start_search(self, is_urgent):
        """Ask other control hosts, unless they are being asked."""
        if self._search is None:
            self._search = asyncio.ensure_future(self._find_other(is_urgent))

    def _stop_search(self):
        if self._search is not None:
            self._search.cancel()
            self._search = None

    async def _find_other(self, is_urgent):
        """Return another control host that confirms, or None."""
        pace = _watch_search.Pace.SPARING
        if is_urgent:
            pace = _watch_search.Pace.URGENT
        # Where the others are no faster, they get few probes.
        if self._is_unconfirmed or self._usual_delay_s:
            pace = _watch_search.Pace.SLOW
        found = await _watch_search.find_confirming(
            self._rotation, self._probe, pace
        )
        self._is_unconfirmed = found is None
        if found is not None:
            self._confirming_name = found.name
        return found

    async def _probe(self, host):
        """Tell whether a control host confirms the document.

        A probe carries no reports: a daemon registers with its home only.
        """
        begun_at = self._now()
        try:
            answer = await self._ask(host, _watch_times.FIRST_POLL, False)
            self._probe_delay_s = self._now() - begun_at
            return not answer.fault and self._apply_answer(host, answer)
        except Exception as error:
            _internal_errors.record_error(self._log, error)
            return False

    async def _leave(self, home, fault, begun_at, found):
        """Choose another home, unless no other one is better."""
        is_silent = fault in (_NOT_CONNECTED, _NO_RESPONSE)
        gain_s = self._reply_delay_s - self._probe_delay_s
        if fault == _LATE and gain_s < _watch_times.REPLY_DELAY_S:
            # The other one is as slow.
            self._usual_delay_s = self._reply_delay_s
            return
        if found is not None or is_silent:
            self._rotation.advance()
            self._log.record(
                _V.CONTROL_HOST_LEFT,
                control_host=home.name,
                fault=fault,
                waited_s=round(self._now() - begun_at, 3),
                age_s=round(self._installed.age_s, 3),
            )
        if found is None:
            await asyncio.sleep(RETRY_DELAY_S)

    async def _ask(self, host, times, is_home):
        """Send a watch; return the :class:`_watch_answers.Answer`.

        :param is_home: whether to exchange the tables; only then may a new
            report cancel the poll, once it is sent.
        """
        peer = self._node.connect(host.address)
        if not await peer.wait_until_up(CONNECT_TIMEOUT_S):
            return _watch_answers.Answer(_NOT_CONNECTED)
        tables = ()
        if is_home:
            self._until_report = asyncio.current_task()
            tables = tuple(self._list_reports())
        watch = _messages.Watch(
            daemon=self._name,
            version=self._installed.version.number,
            change_id=self._installed.version.change_id,
            epoch=self.group.epoch,
            leader=self.group.leader,
            hold_ms=int(times.hold_time_s * 1000),
            tables=tables,
            evacuation_revision=self._installed.evacuations.revision,
        )
        base = self._installed.current
        # The time before sending is a lower bound, so that the confirmation
        # is never taken to be later than it was.
        sent_at = self._now()
        try:
            reply = await peer.request(watch, times.timeout_s)
        finally:
            if is_home:
                self._until_report = None
        if not pipeline.is_successful(reply):
            self._log.record(_V.CONTROL_HOST_SILENT, control_host=host.name)
            return _watch_answers.Answer(_NO_RESPONSE)
        return _watch_answers.Answer('', reply.unwrap(), sent_at, base)

    def _list_reports(self):
        for name, (make_report, _) in self._tables.items():
            known = self._known_versions.get(name, 0)
            yield _messages.TableRequest(name, known, make_report())

    def _apply_answer(self, host, answer):
        """Apply an answer; tell whether its confirmation is recent."""
        reply = answer.reply
        for table in reply.tables:
            self._apply_table(table)
        if reply.age_s is None:
            # A document from a file needs no confirmation.
            return self._has_fixed_document
        # Relays that watch each other could pass a confirmation in a circle
        # and keep it alive without a replica.
        if self._is_relay and reply.relays > 0:
            return False
        confirmed_at = answer.sent_at - reply.age_s
        known_at = self._installed.confirmed_at
        if known_at is None or confirmed_at >= known_at:
            self.relays = reply.relays + 1
            self._update_group(reply.group)
        version = _installed.Version(reply.version, reply.change_id)
        self._install(
            version,
            confirmed_at,
            answer.patch_base,
            host.name,
            reply.evacuations,
        )
        return self._now() - confirmed_at < _watch_times.MAX_HOME_AGE_S

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
            self._update_group(_control_group.make_group(replica))

    def _update_group(self, group):
        if group is not None and group != self.group:
            self.group = group
            self._control_hosts.update_members(group.members)
            self._on_change()

    def _install(
        self, version, confirmed_at, make_document, source, evacuations
    ):
        if self._installed.update(
            version, confirmed_at, make_document, source, evacuations
        ):
            self._on_change()
