"""Answers of the operator listener."""

import attrs

from cactusloft_model import clock


@attrs.frozen
class DocumentView:
    """Document in force."""

    version: int
    text: str


@attrs.frozen
class Applied:
    """Answer to an accepted change."""

    version: int


@attrs.frozen
class RevisionView:
    """One accepted version of the document."""

    version: int
    change_id: str
    wall_ms: int
    digest: str


@attrs.frozen
class MemberView:
    """A daemon.

    :ivar admin: endpoint of its operator listener, ``IP:port``.
    """

    name: str
    host: str
    data_centre: str
    admin: str
    service: str
    is_serving: bool


@attrs.frozen
class ReplicaView:
    """A control replica.

    :ivar match: synced index as the leader knows it, or None elsewhere.
    """

    replica_id: str
    daemon: str
    is_voter: bool
    is_leader: bool
    match: int | None


@attrs.frozen
class StatusView:
    """State of a daemon.

    :ivar confirmation_age_s: None without a confirmation.
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
    """An event that a daemon logged.

    :ivar stamp: place in the causal order over all daemons.
    """

    stamp: clock.Stamp
    daemon: str
    event: int
    fields: dict[str, object]
