"""Control replica of a daemon, and operators' requests to the leader."""

import asyncio
import functools
import random
import secrets
import time

import attrs
import msgspec
from returns import pipeline

from cactusloft_consensus import documents
from cactusloft_consensus import evacuations
from cactusloft_consensus import messages as consensus_messages
from cactusloft_consensus import node as consensus_node
from cactusloft_consensus import replica as consensus_replica
from cactusloft_consensus import storage
import cactusloft_link as link
from cactusloft_model import errors
from cactusloft_model import events
from cactusloftd import _calls
from cactusloftd import _evacuation_messages
from cactusloftd import _messages

SEND_TIMEOUT_S = 1.0
APPLY_TIMEOUT_S = 5.0
# A leader that no majority confirms steps down before this time has passed.
CONFIRM_TIMEOUT_S = 1.5
FORWARD_TIMEOUT_S = 6.0
CONNECT_TIMEOUT_S = 0.5
# Operators' requests wait this long for a leader: longer than an election.
LEADER_TIMEOUT_S = 8.0
LEADER_POLL_INTERVAL_S = 0.2
# Placeholder for the public key in an address when links are unencrypted.
NO_KEY = '-'
_E = errors.ErrorKind
_V = events.Event


@attrs.frozen
class Applied:
    """Reply to an accepted change.

    :ivar version: that of the document, or the revision of the evacuations.
    """

    version: int


@attrs.frozen
class DocumentView:
    """Document in force, with the text that the operator submitted."""

    version: int
    text: str


@attrs.frozen
class ReplicaView:
    """State of a control replica as shown to operators.

    :ivar match: last log index that the leader knows to be synced on the
        replica, or None.
    """

    replica_id: str
    daemon: str
    is_voter: bool
    is_leader: bool
    match: int | None


@attrs.frozen
class ReplicaAddress:
    """ReplicaAddress of a replica, as stored in the group's membership.

    :ivar data_centre: empty when unknown.
    """

    daemon: str
    endpoint: str
    public_key: str
    data_centre: str = ''

    @classmethod
    def parse(cls, text):
        """Parse the address text of a member."""
        # Addresses stored by earlier versions have no data centre.
        daemon, endpoint, key, *data_centre = text.split()
        return cls(
            daemon, endpoint, '' if key == NO_KEY else key, *data_centre
        )

    @property
    def peer(self):
        """Return its :class:`link.PeerAddress`."""
        return link.PeerAddress(self.endpoint, self.public_key)


def make_address(settings):
    """Return the address text at which other replicas reach this daemon."""
    key = settings.security.public_key or NO_KEY
    address = f'{settings.name} {settings.listeners.peers} {key}'
    has_word = len(settings.data_centre.split()) == 1
    return f'{address} {settings.data_centre}' if has_word else address


class ControlReplica:
    """Run the control replica of this daemon.

    :param settings: :class:`_settings.Settings` with a data folder.
    :param peer_node: :class:`link.LinkNode`.
    :param log: :class:`events.EventLog`.
    :param parser: :class:`_texts.TextParser`.
    :param now: function that returns monotonic seconds.
    :param on_change: function called when the document may have changed.
    :raises storage.StorageError: when the data folder cannot be used.
    :ivar wait_until_installed: coroutine function(version,
        evacuation_revision) called before an accepted change is acknowledged.
    """

    def __init__(self, settings, peer_node, log, parser, now, on_change):
        self._node = peer_node
        self._log = log
        self._parser = parser
        self._own_address = make_address(settings)
        self._sender_addresses = {}
        self._applied_version = 0
        self.wait_until_installed = _wait_for_none
        self._min_voters = settings.least_voters
        files = storage.FolderFiles(settings.data_folder)
        opened, persisted = storage.open_storage(files, secrets.token_bytes)
        protocol = consensus_node.Node(
            persisted,
            consensus_node.Timing(),
            random.SystemRandom(),
            now(),
            settings.least_voters,
        )
        self.replica = consensus_replica.Replica(
            protocol,
            opened,
            documents.DocumentStore(),
            self._send,
            now,
            on_change,
            self._log_failure,
            record=log.record,
        )
        peer_node.handle_requests(_messages.ReplicaMessage, self._receive)

    def start(self):
        """Start the replica."""
        self.replica.start()
        # Parsed before this replica can become leader, because parsing the
        # whole document takes long and would delay heartbeats.
        self._parser.parse(self.replica.find_latest_text())
        self._log.record(
            _V.REPLICA_STARTED, replica_id=self.replica.replica_id
        )

    async def close(self):
        """Stop the replica."""
        await self.replica.close()

    def bootstrap(self):
        """Found a control group with this replica as its only member."""
        return self.replica.bootstrap(self._own_address)

    def make_join_request(self):
        """Return the request that adds this replica to the group."""
        return _messages.ReplicaChange(
            self.replica.replica_id, self._own_address, False
        )

    def list_replicas(self):
        """Return a :class:`ReplicaView` of each member of the group."""
        matches = self.replica.list_match_indexes()
        leader = self.replica.leader
        return [
            ReplicaView(
                replica_id=member.replica_id,
                daemon=member.address.split()[0],
                is_voter=member.is_voter,
                is_leader=member == leader,
                match=matches.get(member.replica_id),
            )
            for member in self.replica.membership.members
        ]

    def find_leader_address(self):
        """Return the link address of the leader, or None."""
        leader = self.replica.leader
        if leader is None or leader.replica_id == self.replica.replica_id:
            return None
        return ReplicaAddress.parse(leader.address).peer

    async def execute(self, request):
        """Execute an operator's request on the leader.

        :returns: :class:`ControlReply`.
        """
        if isinstance(request, _messages.ApplyRequest):
            return await self._apply(request)
        if isinstance(request, _evacuation_messages.EvacuationRequest):
            return await self._evacuate(request)
        # A leader that was suspended may have a successor and not know it yet.
        # What it knows is older than what the successor has acknowledged.
        confirmed = await self.replica.confirm(CONFIRM_TIMEOUT_S)
        if not pipeline.is_successful(confirmed):
            return refuse(confirmed.failure())
        store = self.replica.store
        if isinstance(request, _messages.HistoryRequest):
            return make_answer(store.list_revisions())
        if isinstance(request, _evacuation_messages.EvacuationsRequest):
            return make_answer(store.evacuations)
        if isinstance(request, _messages.ShowRequest):
            return make_answer(DocumentView(store.version, store.text))
        if request.address:
            if self._is_member(request.replica_id):
                return make_answer(self.list_replicas())
            await self._remove_replaced(request)
            outcome = await self.replica.add_member(
                request.replica_id, request.address, APPLY_TIMEOUT_S
            )
        else:
            outcome = await self.replica.remove_member(
                request.replica_id, APPLY_TIMEOUT_S
            )
        if not pipeline.is_successful(outcome):
            return refuse(outcome.failure())
        self._log.record(
            _V.REPLICAS_CHANGED,
            replica_id=request.replica_id,
            is_added=bool(request.address),
        )
        return make_answer(self.list_replicas())

    def _is_member(self, replica_id):
        members = self.replica.membership.members
        return any(m.replica_id == replica_id for m in members)

    async def _remove_replaced(self, request):
        """Remove the earlier replica at the endpoint of the new one.

        A daemon that lost its data folder comes back as a new replica.
        """
        endpoint = ReplicaAddress.parse(request.address).endpoint
        for member in self.replica.members:
            is_new = member.replica_id == request.replica_id
            if (
                is_new
                or ReplicaAddress.parse(member.address).endpoint != endpoint
            ):
                continue
            await self.replica.remove_member(
                member.replica_id, APPLY_TIMEOUT_S
            )
            self._log.record(
                _V.REPLICAS_CHANGED,
                replica_id=member.replica_id,
                is_added=False,
            )

    async def _apply(self, request):
        fault = self._find_voter_fault()
        if fault:
            return self._refuse_change(request, _E.CONTROL_UNAVAILABLE, fault)
        # Parse in a thread: parsing a new text may take longer than the
        # election timeout.
        parsed = await asyncio.to_thread(self._parser.parse, request.text)
        if not pipeline.is_successful(parsed):
            detail = '; '.join(str(fault) for fault in parsed.failure())
            return self._refuse_change(request, _E.DOCUMENT_INVALID, detail)
        change = documents.Change.pack(
            request.base_version,
            request.change_id,
            time.time_ns() // 10**6,
            request.text,
            request.version,
        )
        outcome = await self.replica.apply(
            change,
            APPLY_TIMEOUT_S,
            functools.partial(self._log_applied, change.change_id),
        )
        if not pipeline.is_successful(outcome):
            error = outcome.failure()
            return self._refuse_change(request, error.kind, error.detail)
        applied = outcome.unwrap()
        if applied.kind is not documents.OutcomeKind.ACCEPTED:
            detail = f'version {applied.version} is in force'
            if applied.kind is documents.OutcomeKind.CHANGE_ID_REUSED:
                detail = 'the change id belongs to another change'
            return self._refuse_change(request, _E.VERSION_CONFLICT, detail)
        await self.wait_until_installed(applied.version)
        return make_answer(Applied(applied.version))

    async def _evacuate(self, request):
        """Begin or end an evacuation; the order may be a resent one."""
        fault = self._find_voter_fault()
        if fault:
            return refuse_unavailable(fault)
        order = evacuations.EvacuationOrder(
            request.data_centre, request.is_begun
        )
        known = self.replica.store.evacuations.revision
        outcome = await self.replica.apply(order, APPLY_TIMEOUT_S, None)
        if not pipeline.is_successful(outcome):
            return refuse(outcome.failure())
        revision = outcome.unwrap().version
        if revision > known:
            self._log.record(
                _V.EVACUATION_ORDERED,
                data_centre=request.data_centre,
                is_begun=request.is_begun,
                revision=revision,
            )
        await self.wait_until_installed(evacuation_revision=revision)
        return make_answer(Applied(revision))

    def _find_voter_fault(self):
        """Return why no change can be accepted, or an empty text.

        A change stored on too few disks could be lost with one of them.
        """
        members = self.replica.membership.members
        if sum(member.is_voter for member in members) >= self._min_voters:
            return ''
        return f'fewer than {self._min_voters} voters'

    def _log_applied(self, change_id, outcome):
        is_accepted = outcome.kind is documents.OutcomeKind.ACCEPTED
        # A resent change gets the outcome of the first and is not logged.
        if is_accepted and outcome.version > self._applied_version:
            self._applied_version = outcome.version
            self._log.record(
                _V.DOCUMENT_APPLIED,
                version=outcome.version,
                change_id=change_id,
            )

    def _refuse_change(self, request, kind, detail):
        is_decided = kind is not _E.CONTROL_UNAVAILABLE
        self._log.record(
            _V.DOCUMENT_REFUSED if is_decided else _V.CHANGE_UNDECIDED,
            change_id=request.change_id,
            base_version=request.base_version,
            fault=detail,
        )
        return refuse(errors.CallError(kind, detail))

    def _log_failure(self, reason):
        self._log.record(_V.REPLICA_FAILED, reason=reason)

    def _send(self, envelope):
        member = self.replica.find_member(envelope.target)
        text = member.address if member else None
        # A new replica knows no members before its first snapshot, and
        # replies to the address that came with the message.
        text = text or self._sender_addresses.get(envelope.target)
        if text is None:
            return
        message = _messages.ReplicaMessage(
            self._own_address, consensus_messages.encode_message(envelope)
        )
        peer = self._node.connect(ReplicaAddress.parse(text).peer)
        self._node.spawn(peer.request(message, SEND_TIMEOUT_S))

    async def _receive(self, message, _age_s):
        envelope = consensus_messages.decode_message(message.content)
        self._sender_addresses[envelope.sender] = message.address
        self.replica.receive(envelope)
        return _messages.MessageAck()


async def _wait_for_none(_version=0, evacuation_revision=0):
    """Acknowledge a change at once."""


def make_answer(content):
    """Return a :class:`ControlReply` with ``content`` as JSON."""
    return _messages.ControlReply(None, msgspec.json.encode(content))


def refuse(error):
    """Return a :class:`ControlReply` for a :class:`CallError`."""
    refusal = _messages.Refusal(error.kind, error.detail, error.not_run, 0.0)
    return _messages.ControlReply(refusal, b'')


def refuse_unavailable(detail):
    """Return the reply for an operator when no leader can be reached."""
    return refuse(_calls.fail(_E.CONTROL_UNAVAILABLE, detail).failure())
