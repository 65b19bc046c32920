"""Responses of the operator API."""

import attrs

from cactusloft_model import clock


@attrs.frozen
class DocumentView:
    """Configuration document in force."""

    version: int
    text: str


@attrs.frozen
class Applied:
    """Response to an accepted change.

    :ivar version: version that the change created.
    """

    version: int


@attrs.frozen
class EvacuationsView:
    """Evacuated data centres.

    :ivar revision: number of orders so far that changed them.
    """

    revision: int
    data_centres: tuple[str, ...]


@attrs.frozen
class RevisionView:
    """Accepted version of the document.

    :ivar wall_ms: Unix time of the change by the clock of its proposer.
    :ivar digest: SHA-256 of the text.
    """

    version: int
    change_id: str
    wall_ms: int
    digest: str


@attrs.frozen
class MemberView:
    """Daemon of the fleet.

    :ivar admin: endpoint of its operator listener, ``IP:port``.
    :ivar service: service of its backend server, or empty.
    """

    name: str
    host: str
    data_centre: str
    admin: str
    service: str
    is_serving: bool


@attrs.frozen
class ReplicaView:
    """Control replica.

    :ivar match: highest log index that the replica is known to have synced;
        only the leader knows it, other replicas report None.
    """

    replica_id: str
    daemon: str
    is_voter: bool
    is_leader: bool
    match: int | None


@attrs.frozen
class StatusView:
    """State of a daemon.

    :ivar version: version of the document that it uses.
    :ivar is_fresh: whether the version is confirmed as current.
    :ivar confirmation_age_s: time since the last confirmation, or None if
        there was none.
    :ivar replica_failure: why its control replica stopped, or empty.
    """

    name: str
    version: int
    is_fresh: bool
    confirmation_age_s: float | None
    is_serving: bool
    in_flight: int
    replica_id: str
    replica_role: str
    replica_failure: str
    replicas: tuple[ReplicaView, ...]


@attrs.frozen
class EventView:
    """Event that a daemon logged.

    :ivar stamp: timestamp that orders events of all daemons causally.
    :ivar event: value of :class:`events.Event`; a newer daemon may send one
        that this version does not define.
    """

    stamp: clock.Stamp
    daemon: str
    event: int
    fields: dict[str, object]
