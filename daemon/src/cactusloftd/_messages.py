"""Messages between daemons, and their type numbers.

The number of a removed message is never reused.
"""

import attrs

from cactusloft_consensus import evacuations as evacuation_sets
from cactusloft_membership import exchange
from cactusloft_membership import registry
from cactusloft_model import calls
from cactusloft_model import document
from cactusloft_model import errors
from cactusloft_placement import work as placement_work
import cactusloft_quota as quota
from cactusloft_retry import marks as retry_marks
from cactusloftd import _evacuation_messages
from cactusloftd import _rate_messages
from cactusloftd import _rollout_messages


# Without slots, a frozen class takes half the time to create.
@attrs.frozen(slots=False)
class CallStart:
    """Open the stream of a call; the payload is the start of the body.

    :ivar remaining_ms: milliseconds until the deadline when it was sent.
    :ivar body_bytes: size of the whole body.
    :ivar patience_ms: milliseconds left until the caller has little use for
        the response, 0 if unknown.
    :ivar is_repeat: whether the call or one of its parents was sent before.
    :ivar rank: rank of the call tree, above 0 and at most 1.
    :ivar needs_free_slot: whether to refuse the call unless it can start now.
    :ivar urgency: order inside the priority class, 0 if it has none.
    :ivar is_return: whether the root call came back after a refusal.
    """

    call_id: str
    root_call_id: str
    parent_call_id: str
    root_entry: str
    client_account: str
    service: str
    priority: calls.Priority
    remaining_ms: int
    depth: int
    idempotent: bool
    fingerprint: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body_bytes: int
    route: str
    host: str = ''
    caller_service: str = ''
    patience_ms: int = 0
    is_repeat: bool = False
    rank: float = 1.0
    needs_free_slot: bool = False
    urgency: int = 0
    is_return: bool = False


@attrs.frozen
class BodyChunk:
    """Continue a body with the payload.

    :ivar is_last: whether the body ends with this payload.
    """

    is_last: bool


@attrs.frozen(slots=False)
class ResponseStart:
    """Head of a response; the payload is the start of its body.

    :ivar length: bytes of the body, or None when not known beforehand.
    :ivar is_complete: whether the payload is the whole body.
    :ivar pressure: level of the pressure on this call's route, 0 for none.
    :ivar load: running and queued calls per slot of the owner.
    :ivar is_caused_below: whether a nested call of this run failed.
    :ivar leaving_process: process of the backend server that responded, if it
        is about to leave.
    :ivar work: what the backend server still has to do, if it reports how
        long work takes.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int | None
    is_complete: bool
    pressure: float
    load: float = 0.0
    is_caused_below: bool = False
    leaving_process: registry.BackendProcess | None = None
    work: placement_work.WorkReport | None = None


@attrs.frozen
class Refusal:
    """Report that the owner has no response, and why.

    :ivar pressure: level of the pressure on this call's route, 0 for none.
    :ivar load: running and queued calls per slot of the owner.
    :ivar retry_after_s: seconds after which to retry, or None for the default
        of the error kind.
    :ivar work: what the backend server still has to do, if it reports how
        long work takes.
    """

    kind: errors.ErrorKind
    detail: str
    not_run: errors.NotRun | None
    pressure: float
    load: float = 0.0
    retry_after_s: float | None = None
    work: placement_work.WorkReport | None = None


@attrs.frozen
class RetryCreditRequest:
    """Ask the entry of a root call for one retry credit."""

    root_call_id: str


@attrs.frozen
class RetryCredit:
    """Reply to :class:`RetryCreditRequest`."""

    is_given: bool


@attrs.frozen
class CrashMarkUpdate:
    """Crash marks that another daemon made or cleared.

    :ivar is_for_all: whether the receiver, a control host, forwards them to
        the other control hosts.
    """

    marks: tuple[retry_marks.CrashMark, ...]
    is_for_all: bool


@attrs.frozen
class CrashMarkAck:
    """Acknowledgement of :class:`CrashMarkUpdate`."""


@attrs.frozen
class PermitRequest:
    """Ask the origin of a crash mark for a permit to run, or return it."""

    fingerprint: str
    is_return: bool


@attrs.frozen
class Permit:
    """Reply to :class:`PermitRequest`."""

    is_given: bool


@attrs.frozen
class MembersReport:
    """Report of a daemon for the table of members.

    :ivar services: services whose members the daemon asks for.
    :ivar takes_part: whether the daemon accepts an incomplete list of members,
        as it does right after its start.
    :ivar departures: processes of backend servers that the daemon lately knew
        to leave.
    :ivar incomplete_services: services of which the daemon never got a
        complete list of members.
    """

    registration: registry.Registration
    services: tuple[str, ...]
    takes_part: bool = False
    departures: tuple[registry.BackendProcess, ...] = ()
    incomplete_services: tuple[str, ...] = ()


@attrs.frozen
class MembersTable:
    """Content of the table of members.

    :ivar sequence: sequence of the last registration accepted.
    :ivar services: services that were asked for, or those of them whose list
        may be incomplete.
    :ivar members: all members, or those that changed since the version that
        the daemon has.
    :ivar is_settled: whether all daemons have had time to register.
    :ivar is_difference: whether ``members`` and ``removed`` are changes.
    :ivar removed: names of daemons that are no longer members.
    :ivar leaving_process: process of the daemon's own backend server, if it is
        known to have announced its departure.
    """

    sequence: int
    services: tuple[str, ...]
    members: tuple[registry.Registration, ...]
    is_settled: bool = True
    is_difference: bool = False
    removed: tuple[str, ...] = ()
    leaving_process: registry.BackendProcess | None = None


@attrs.frozen
class Registrations:
    """Reply to :class:`Lookup`."""

    members: tuple[registry.Registration, ...]


@attrs.frozen
class Lookup:
    """Ask a control host for the registration of one daemon.

    :ivar name: name of the daemon; an empty one asks for all.
    """

    name: str


@attrs.frozen
class ReplicaMessage:
    """A message of the replicated log, which has no direct reply.

    :ivar address: address of the sender, see ``_control``.
    :ivar content: encoded envelope of the consensus library.
    """

    address: str
    content: bytes


@attrs.frozen
class MessageAck:
    """Acknowledgement of a message whose reply, if any, is sent separately."""


@attrs.frozen
class TableRequest:
    """Report and known version of a daemon for one relayed table.

    :ivar known: version that it has from this control host, or 0.
    :ivar content: opaque report to the owner of the table.
    """

    name: str
    known: int
    content: bytes


@attrs.frozen
class Table:
    """Relayed table, whose content only its owner decodes."""

    name: str
    version: int
    content: bytes


@attrs.frozen
class ControlMember:
    """A control replica and the address of its daemon.

    :ivar peers: endpoint of the peer listener, ``IP:port``.
    :ivar data_centre: empty when unknown.
    """

    replica_id: str
    daemon: str
    peers: str
    public_key: str
    is_voter: bool
    data_centre: str = ''


@attrs.frozen
class ControlGroup:
    """The control replicas.

    :ivar epoch: number that increases with each change of the members.
    :ivar leader: replica id of the leader, empty while none is known.
    """

    epoch: int
    leader: str
    members: tuple[ControlMember, ...]


NO_GROUP = ControlGroup(0, '', ())


@attrs.frozen
class Watch:
    """A long poll of a daemon at a control host.

    :ivar version: installed version of the document.
    :ivar change_id: change that created this version; distinguishes versions
        of a former group of replicas from those of its successor.
    :ivar epoch: epoch of the control group that the daemon knows.
    :ivar leader: leader of the control group that the daemon knows.
    :ivar hold_ms: maximum time to wait for a change.
    :ivar evacuation_revision: installed revision of the evacuations.
    """

    daemon: str
    version: int
    change_id: str
    epoch: int
    leader: str
    hold_ms: int
    tables: tuple[TableRequest, ...]
    evacuation_revision: int = 0


@attrs.frozen
class WatchReply:
    """Reply to :class:`Watch`: the state of a control host.

    :ivar version: version of the document in force there.
    :ivar age_s: seconds from its confirmation to the receipt of the watch,
        negative if it was confirmed later, or None if it was not.
    :ivar relays: number of control hosts between this one and a replica.
    :ivar group: the control group, or None if the daemon knows it.
    :ivar base_version: version that ``changes`` apply to, 0 for none.
    :ivar changes: difference to ``version``, or None unless ``version`` is
        higher than that of the daemon.
    :ivar evacuations: the evacuated data centres, or None unless their
        revision is higher than that of the daemon.
    """

    version: int
    change_id: str
    age_s: float | None
    relays: int
    group: ControlGroup | None
    base_version: int
    changes: document.Changes | None
    tables: tuple[Table, ...]
    evacuations: evacuation_sets.Evacuations | None = None


@attrs.frozen
class ApplyRequest:
    """An operator's change of the document.

    :ivar is_forwarded: whether another control host has forwarded it.
    :ivar version: version that the operator chose, 0 for the next one.
    """

    base_version: int
    change_id: str
    text: str
    is_forwarded: bool
    version: int = 0


@attrs.frozen
class ShowRequest:
    """Ask for the text of the document, including its comments."""

    is_forwarded: bool


@attrs.frozen
class HistoryRequest:
    """Ask for the history of the document."""

    is_forwarded: bool


@attrs.frozen
class ReplicaChange:
    """Add or remove a control replica.

    :ivar address: address of a new replica, empty to remove one.
    """

    replica_id: str
    address: str
    is_forwarded: bool


@attrs.frozen
class ControlReply:
    """Reply to a request of an operator.

    :ivar refusal: reason for the failure, or None.
    :ivar content: JSON document for the operator.
    """

    refusal: Refusal | None
    content: bytes


# Numbers 40 to 47 belong to the messages of the call ledger, which resident
# daemons do not use; see ``_ledger_messages``.
MESSAGES = {
    1: CallStart,
    2: BodyChunk,
    3: ResponseStart,
    4: Refusal,
    11: Registrations,
    20: ReplicaMessage,
    21: MessageAck,
    22: Watch,
    23: WatchReply,
    24: ApplyRequest,
    25: HistoryRequest,
    26: ReplicaChange,
    27: ControlReply,
    28: ShowRequest,
    29: _rollout_messages.RolloutQuery,
    36: _rollout_messages.RolloutReply,
    12: Lookup,
    13: exchange.HomeUpdate,
    14: exchange.HomeAck,
    30: RetryCreditRequest,
    31: RetryCredit,
    32: CrashMarkUpdate,
    33: CrashMarkAck,
    34: PermitRequest,
    35: Permit,
    50: quota.LeaseRequest,
    51: _rate_messages.LeaseReply,
    52: quota.DebitRequest,
    53: _rate_messages.DebitReply,
    58: _evacuation_messages.EvacuationRequest,
    59: _evacuation_messages.EvacuationsRequest,
}
