"""Long poll of a control host, and the choice of the control host."""

import asyncio

from returns import pipeline

from cactusloft_model import events
from cactusloftd import _deltas
from cactusloftd import _messages

HOLD_S = 1.0
# Relays poll faster, so that a daemon behind one stays within the freshness
# bound during a change of the control leader (2.4 s without confirmation).
RELAY_HOLD_S = 0.25
ANSWER_MARGIN_S = 1.0
CONNECT_WAIT_S = 0.5
RETRY_PAUSE_S = 0.1
# A control host whose confirmation is older than this may be isolated.
MOVE_AGE_S = 2.5
# A local replica that was confirmed within this time makes polls needless.
LOCAL_AGE_S = 1.5
LOCAL_POLL_S = 0.1
_V = events.Event


class Watcher:
    """Keep the installed document current.

    :param settings: :class:`_settings.Settings`.
    :param node: :class:`link.Node`.
    :param installed: :class:`_installed.Installed`.
    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    :param random_source: source of randomness for the choice.
    :param find_local: function that returns the :class:`Source` of the local
        control replica, or None.
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
        find_local,
        on_change,
    ):
        self._name = settings.name
        self._node = node
        self._installed = installed
        self._log = log
        self._now = now
        self._find_local = find_local
        self._on_change = on_change
        self._tables = {}
        self._known = {}
        self._wants_whole = False
        self._hosts = _order_hosts(settings, random_source)
        self._is_relay = any(
            host.name == settings.name for host in settings.control_hosts
        )
        self.relays = 0

    def attach(self, name, make_report, take):
        """Exchange the table ``name`` with the control host.

        :param make_report: function that returns the bytes to report.
        :param take: function that takes the content of a new version.
        """
        self._tables[name] = (make_report, take)

    async def run(self):
        """Watch until cancelled."""
        while True:
            if self.take_local():
                await asyncio.sleep(LOCAL_POLL_S)
                continue
            if not self._hosts or not await self._watch(self._hosts[0]):
                self._move()
                await asyncio.sleep(RETRY_PAUSE_S)

    def take_local(self):
        """Install from the local replica; tell whether it is confirmed."""
        source = self._find_local()
        if source is None or source.confirmed_at is None:
            return False
        text = None
        if self._installed.needs_text(source.version, source.confirmed_at):
            text = source.find_text(source.version)
        self._take(source.version, text, source.confirmed_at)
        self.relays = 0
        return self._now() - source.confirmed_at < LOCAL_AGE_S

    def _move(self):
        """Try the next control host, which knows none of our versions."""
        self._known.clear()
        self._hosts = self._hosts[1:] + self._hosts[:1]

    async def _watch(self, host):
        """Poll once; tell whether ``host`` is worth another poll."""
        peer = self._node.connect(host.address)
        if not await peer.wait_until_up(CONNECT_WAIT_S):
            return False
        hold_s = RELAY_HOLD_S if self._is_relay else HOLD_S
        watch = _messages.Watch(
            daemon=self._name,
            version=0 if self._wants_whole else self._installed.version,
            hold_ms=int(hold_s * 1000),
            tables=tuple(self._list_reports()),
        )
        # Taken before sending: the true confirmation is not earlier.
        sent_at = self._now()
        reply = await peer.request(watch, hold_s + ANSWER_MARGIN_S)
        if not pipeline.is_successful(reply):
            self._log.record(_V.CONTROL_HOST_SILENT, control_host=host.name)
            return False
        is_useful = self._take_answer(reply.unwrap(), sent_at)
        if is_useful and reply.unwrap().version > self._installed.version:
            # The answer was not confirmed late enough, or is invalid here.
            await asyncio.sleep(RETRY_PAUSE_S)
        return is_useful

    def _list_reports(self):
        for name, (make_report, _) in self._tables.items():
            known = self._known.get(name, 0)
            yield _messages.TableRequest(name, known, make_report())

    def _take_answer(self, answer, sent_at):
        for table in answer.tables:
            self._known[table.name] = table.version
            self._tables[table.name][1](table.content)
        if answer.age_s is None:
            return False
        # Relays of relays could pass on their own confirmations in a circle.
        if self._is_relay and answer.relays > 0:
            return False
        text = answer.text
        if answer.delta is not None:
            base = self._installed.find_text(answer.delta.base_version)
            text = _deltas.apply_delta(answer.delta, base or '')
            self._wants_whole = text is None
        else:
            self._wants_whole = False
        self.relays = answer.relays + 1
        self._take(answer.version, text, sent_at - answer.age_s)
        return answer.age_s < MOVE_AGE_S

    def _take(self, version, text, confirmed_at):
        if self._installed.take(version, text, confirmed_at):
            self._on_change()


def _order_hosts(settings, random_source):
    """Return the other control hosts, own data centre first."""
    hosts = [h for h in settings.control_hosts if h.name != settings.name]
    random_source.shuffle(hosts)
    hosts.sort(key=lambda host: host.data_centre != settings.data_centre)
    return hosts
