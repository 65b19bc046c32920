"""Numbered events, logged through structlog and kept for the timeline.

``docs/events.md`` lists each number with its cause and remedy. The number of
a removed event is never reused.
"""

import collections
import enum

import attrs

from cactusloft_model import clock

MAX_KEPT_RECORDS = 5000


class Event(enum.IntEnum):
    """Every event that a daemon logs."""

    DAEMON_STARTED = 100
    DAEMON_STOPPING = 101
    DAEMON_STOPPED = 102
    SETTINGS_RELOADED = 103
    LINES_DROPPED = 104
    LOOP_BLOCKED = 105
    CALL_ACCEPTED = 200
    CALL_ANSWERED = 201
    CALL_REFUSED = 202
    CALL_DISPATCHED = 203
    CALL_DELIVERED = 204
    CALL_RETRIED = 205
    CALL_CUT = 206
    CALL_SHED = 207
    RETRY_DENIED = 208
    CALL_DELIVERY_FAILED = 209
    REQUEST_MALFORMED = 210
    INTERNAL_ERROR = 290
    BACKEND_SERVER_ANNOUNCED = 300
    BACKEND_SERVER_DRAINING = 301
    BACKEND_SERVER_LEFT = 302
    BACKEND_SERVER_LOST = 303
    BACKEND_SERVER_STATE = 304
    HEARTBEAT_REFUSED = 305
    BACKEND_SERVER_LIMITED = 306
    BACKEND_SERVER_COLD = 307
    CRASH_MARKED = 310
    CRASH_MARK_CLEARED = 311
    REQUEST_QUARANTINED = 312
    DOCUMENT_INSTALLED = 400
    DOCUMENT_APPLIED = 401
    DOCUMENT_REFUSED = 402
    CONFIRMATION_STALE = 403
    CONFIRMATION_RENEWED = 404
    CHANGE_UNDECIDED = 405
    READ_REFUSED = 406
    ROLLOUT_INCOMPLETE = 407
    EVACUATION_ORDERED = 408
    EVACUATIONS_INSTALLED = 409
    OPERATOR_REFUSED = 410
    REPLICA_STARTED = 420
    REPLICA_FAILED = 421
    REPLICAS_CHANGED = 422
    GROUP_FOUNDED = 423
    GROUP_JOINED = 424
    ROLE_CHANGED = 425
    SYNC_SLOW = 426
    CONTROL_HOST_SILENT = 430
    CONTROL_HOST_LEFT = 431
    LEDGER_MEMBER_ACTIVE = 440
    LEDGER_STORAGE_FULL = 441
    LEDGER_STORAGE_FAILED = 442
    ALLOCATOR_STARTED = 450
    PEER_REFUSED = 500
    PEER_LOST = 501
    PEER_CONNECTED = 502


@attrs.frozen
class Record:
    """One logged event.

    :ivar stamp: orders the record causally among those of all daemons.
    :ivar daemon: name of the daemon that logged it.
    :ivar fields: details; must not contain secrets.
    """

    stamp: clock.Stamp
    daemon: str
    event: Event
    fields: dict[str, object]


class EventLog:
    """Log events of one daemon and keep the latest ones for the timeline.

    :param daemon: name of the daemon.
    :param hybrid_clock: :class:`clock.HybridClock` that stamps events.
    :param logger: structlog logger.
    :param max_records: maximum number of records kept in memory.

    Callback: ``on_record(event, fields)`` is called for each event.
    """

    def __init__(
        self, daemon, hybrid_clock, logger, max_records=MAX_KEPT_RECORDS
    ):
        self._daemon = daemon
        self._clock = hybrid_clock
        self._logger = logger
        self._records = collections.deque(maxlen=max_records)
        self.on_record = lambda event, fields: None

    def record(self, event, **fields):
        """Log ``event`` with its details and keep it in memory."""
        stamp = self._clock.tick()
        self._records.append(Record(stamp, self._daemon, event, fields))
        self.on_record(event, fields)
        # Events of single calls are logged at debug level and kept in memory
        # for the timeline: writing each one out would cost more than the rest
        # of the daemon's bookkeeping for the call.
        is_call = Event.CALL_ACCEPTED <= event < Event.REQUEST_MALFORMED
        log = self._logger.debug if is_call else self._logger.info
        log(event.name.lower(), event_id=int(event), **fields)

    def list_records(self, since=clock.Stamp(0, 0)):
        """Return the kept records with a stamp above ``since``, in order."""
        return [r for r in self._records if r.stamp > since]
