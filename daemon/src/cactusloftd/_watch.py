"""Long poll of a control host, and the choice of the control host."""

import asyncio

from returns import pipeline
from returns import result

from cactusloft_model import document
from cactusloft_model import events
from cactusloftd import _control
from cactusloftd import _control_hosts
from cactusloftd import _installed
from cactusloftd import _messages

HOLD_S = 1.0
# Relays poll faster, so that a daemon behind one stays within the freshness
# bound during a change of the control leader (2.4 s without confirmation).
RELAY_HOLD_S = 0.25
ANSWER_MARGIN_S = 1.0
CONNECT_WAIT_S = 0.5
RETRY_DELAY_S = 0.2
# A control host whose confirmation is older than this may be isolated. A
# change is due everywhere 2 s after it was accepted, so the next control host
# has to be asked well before that.
MOVE_AGE_S = 1.2
# A local replica that was confirmed within this time makes polls needless.
LOCAL_AGE_S = 1.5
LOCAL_POLL_S = 0.1
_V = events.Event


class Watcher:
    """Keep the installed document current.

    :param settings: :class:`_settings.Settings`.
    :param node: :class:`link.LinkNode`.
    :param installed: :class:`_installed.Installed`.
    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    :param random_source: source of randomness for the choice.
    :param replica: the local control replica, or None.
    :param parser: :class:`_texts.TextParser` for the texts of the replica.
    :param on_change: function called after a change was installed.
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
        self._parsing = None
        self._on_change = on_change
        self._tables = {}
        self._known = {}
        self._woken = asyncio.Event()
        self._has_fixed_document = bool(settings.document_file)
        self._control_hosts = settings.control_hosts
        self._rotation = _control_hosts.Rotation(settings, random_source)
        self._is_relay = _control_hosts.is_control_host(settings)
        self.relays = 0
        self.group = _messages.NO_GROUP

    def attach(self, name, make_report, take):
        """Exchange the table ``name`` with the control host.

        :param make_report: function that returns the bytes to report.
        :param take: function that takes the content of a new version.
        """
        self._tables[name] = (make_report, take)

    def find_home(self):
        """Return the :class:`ControlHost` that is watched, or None."""
        return self._rotation.find_first()

    def wake(self):
        """Report at once and not with the next poll."""
        self._woken.set()

    async def run(self):
        """Watch until cancelled."""
        while True:
            if self.take_local():
                await asyncio.sleep(LOCAL_POLL_S)
                continue
            home = self.find_home()
            if home is None or not await self._watch(home):
                self._move()
                await asyncio.sleep(RETRY_DELAY_S)

    def take_local(self):
        """Install from the local replica; tell whether it is confirmed."""
        replica = self._replica
        if replica is None or replica.confirmed_at is None:
            return False
        store, confirmed_at = replica.store, replica.confirmed_at
        version = _installed.Version(store.version, store.change_id)
        known_at = self._installed.confirmed_at
        if known_at is None or confirmed_at >= known_at:
            self.relays = 0
            self._take_replica_group(replica)
        is_new = version.number > self._installed.version.number
        if is_new and not self._parser.has_parsed(store.text):
            self._start_parsing(store.text)
        else:
            self._take(
                version, confirmed_at, lambda: self._parser.parse(store.text)
            )
        return self._now() - confirmed_at < LOCAL_AGE_S

    def _start_parsing(self, text):
        """Parse in a thread and look at the replica again.

        A text with many new sections takes longer than a replica may be
        silent; all followers would miss the leader's heartbeats at once.
        """
        if self._parsing is None:
            self._parsing = asyncio.create_task(self._parse(text))

    async def _parse(self, text):
        try:
            await asyncio.to_thread(self._parser.parse, text)
        finally:
            self._parsing = None
        self.take_local()

    def _move(self):
        """Try the next control host, which knows none of our versions."""
        self._known.clear()
        self._rotation.move()

    async def _watch(self, host):
        """Poll once; tell whether ``host`` is worth another poll."""
        peer = self._node.connect(host.address)
        if not await peer.wait_until_up(CONNECT_WAIT_S):
            return False
        self._woken.clear()
        hold_s = RELAY_HOLD_S if self._is_relay else HOLD_S
        watch = _messages.Watch(
            daemon=self._name,
            version=self._installed.version.number,
            change_id=self._installed.version.change_id,
            epoch=self.group.epoch,
            leader=self.group.leader,
            hold_ms=int(hold_s * 1000),
            tables=tuple(self._list_reports()),
        )
        base = self._installed.current
        # Taken before sending: the true confirmation is not earlier.
        sent_at = self._now()
        reply = await self._request(peer, watch, hold_s + ANSWER_MARGIN_S)
        if reply is None:
            return True
        if not pipeline.is_successful(reply):
            self._log.record(_V.CONTROL_HOST_SILENT, control_host=host.name)
            return False
        is_useful = self._take_answer(reply.unwrap(), sent_at, base)
        answer = reply.unwrap()
        is_taken = answer.group in (None, self.group)
        if answer.version > self._installed.version.number or not is_taken:
            # The answer was not confirmed late enough, or is invalid here;
            # another poll would be answered at once.
            await asyncio.sleep(RETRY_DELAY_S)
        return is_useful

    async def _request(self, peer, watch, timeout_s):
        """Return the reply, or None when a new report is due."""
        request = asyncio.ensure_future(peer.request(watch, timeout_s))
        woken = asyncio.ensure_future(self._woken.wait())
        try:
            await asyncio.wait(
                {request, woken}, return_when=asyncio.FIRST_COMPLETED
            )
            return request.result() if request.done() else None
        finally:
            request.cancel()
            woken.cancel()

    def _list_reports(self):
        for name, (make_report, _) in self._tables.items():
            known = self._known.get(name, 0)
            yield _messages.TableRequest(name, known, make_report())

    def _take_answer(self, answer, sent_at, base):
        for table in answer.tables:
            self._known[table.name] = table.version
            self._tables[table.name][1](table.content)
        if answer.age_s is None:
            # With a fixed document there is nothing to confirm.
            return self._has_fixed_document
        # Relays of relays could pass on their own confirmations in a circle.
        if self._is_relay and answer.relays > 0:
            return False
        confirmed_at = sent_at - answer.age_s
        known_at = self._installed.confirmed_at
        if known_at is None or confirmed_at >= known_at:
            self.relays = answer.relays + 1
            self._take_group(answer.group)
        version = _installed.Version(answer.version, answer.change_id)
        self._take(version, confirmed_at, lambda: _patch(base, answer))
        return self._now() - confirmed_at < MOVE_AGE_S

    def _take_replica_group(self, replica):
        known = self.group.epoch, self.group.leader
        if known != (replica.membership.version, replica.leader_id):
            self._take_group(_list_group(replica))

    def _take_group(self, group):
        if group is not None and group != self.group:
            self.group = group
            self._control_hosts.learn(group.members)
            self._on_change()

    def _take(self, version, confirmed_at, make_document):
        if self._installed.take(version, confirmed_at, make_document):
            self._on_change()


def _list_group(replica):
    """Return the :class:`ControlGroup` as the local replica knows it."""
    membership = replica.membership
    members = []
    for member in membership.members:
        address = _control.Address.parse(member.address)
        members.append(
            _messages.ControlMember(
                member.replica_id,
                address.daemon,
                address.endpoint,
                address.public_key,
                member.is_voter,
            )
        )
    return _messages.ControlGroup(
        membership.version, replica.leader_id, tuple(members)
    )


def _patch(base, answer):
    """Return the document that an answer describes, as a Result.

    :param base: document installed when the watch was sent.
    """
    if answer.changes is None:
        return result.Failure(('the answer holds no changes',))
    if not answer.base_version:
        base = document.EMPTY_DOCUMENT
    return document.patch_document(base, answer.changes)
