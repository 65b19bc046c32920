"""Compute the costs of each role at the planned size from the slopes."""

import attrs

DAY_S = 86_400
UNCHANGED_REPLY_BYTES = 150  # reply to a watch without changed tables
LEASE_REQUESTS_PER_S = 5  # of one daemon for one active account
HOLDERS_PER_ACCOUNT = 1000


@attrs.frozen
class PlannedSize:
    """Quantities of the planned size.

    The fields of the second group are assumptions.

    :ivar services_used: services that one backend server calls.
    :ivar accounts: client accounts in the document.
    :ivar active_accounts: accounts whose calls one entry takes at a time.
    :ivar calls_per_root: mean number of calls for each root call.
    :ivar reserved_share: share of root calls with a reserved idempotency key.
    :ivar stored_response_bytes: mean size of a response stored in the ledger.
    :ivar message_overhead_bytes: headers of TCP/IP, ZMTP and CURVE for each
        message.
    """

    daemons: int = 18_000
    services: int = 2_800
    calls_per_second: float = 6.6e6
    changes_per_day: int = 18_000
    control_hosts: int = 31
    control_hosts_per_data_centre: int = 3
    voters: int = 5
    restarts_per_day: int = 1_900
    failures_per_day: int = 86

    services_used: int = 6
    subset_size: int = 12
    accounts: int = 2_800
    active_accounts: int = 5
    calls_per_root: float = 4.0
    reserved_share: float = 0.01
    stored_response_bytes: int = 1_000
    message_overhead_bytes: int = 130

    @property
    def changes_per_second(self):
        """Return the number of document changes per second."""
        return self.changes_per_day / DAY_S

    @property
    def daemons_per_control_host(self):
        """Return the mean number of daemons that watch one control host."""
        return self.daemons / self.control_hosts

    @property
    def reservations_per_second(self):
        """Return the reservations of idempotency keys per second."""
        roots = self.calls_per_second / self.calls_per_root
        return roots * self.reserved_share


@attrs.frozen
class Figure:
    """A cost of one role at the planned size.

    :ivar what: the cost that is computed.
    :ivar formula: how the value follows from the slopes and the plan.
    :ivar limit: limit with its unit, empty if there is none.
    :ivar mechanism: part of the design that causes or bounds the cost.
    """

    role: str
    what: str
    value: float
    unit: str
    formula: str
    limit: str
    mechanism: str


def compute_figures(slopes, imports, plan=PlannedSize()):
    """Yield a :class:`Figure` for each role and cost.

    :param slopes: mapping from name to :class:`_fits.Slope`.
    :param imports: resident megabytes by name of a process that only imports
        modules.
    :param plan: size to compute the figures for.
    """
    yield from _compute_daemon(slopes, imports, plan)
    yield from _compute_data_path(slopes, plan)
    yield from _compute_control_host(slopes, plan)
    yield from _compute_allocator(slopes, plan)
    yield from _compute_ledger(slopes, plan)
    yield from _compute_changes(slopes, plan)


def _compute_core_percent(cost_ms, rate):
    """Return the processor time of operations in percent of a core.

    :param cost_ms: processor time of one operation in milliseconds.
    :param rate: operations per second.
    """
    return cost_ms * rate / 10


def _compute_daemon(slopes, imports, plan):
    members = plan.services_used * plan.subset_size
    watch_bytes = slopes['watch with report'].compute(plan.services_used)
    members_bytes = slopes['members in a watch answer'].compute(members)
    change_ms = slopes['document change by section'].compute(plan.services)
    lease_bytes = (
        slopes['lease request and grant'].slope
        + 2 * plan.message_overhead_bytes
    )
    idle_percent = slopes['processor time of an idle daemon'].fixed
    document_mb = slopes['document memory'].compute(plan.services) / 1024
    links_mb = slopes['memory of a link'].slope * members / 1024
    watch_bytes_per_s = (
        watch_bytes + 2 * plan.message_overhead_bytes + UNCHANGED_REPLY_BYTES
    )
    change_percent = _compute_core_percent(change_ms, plan.changes_per_second)
    yield Figure(
        'daemon',
        'watch, unchanged',
        watch_bytes_per_s / 1000,
        'KB/s',
        'watch + 150 B answer + 2 x wire, each second',
        '5 KB/s',
        'long poll of one control host',
    )
    yield Figure(
        'daemon',
        'rate leases',
        plan.active_accounts * LEASE_REQUESTS_PER_S * lease_bytes / 1000,
        'KB/s',
        'active accounts x 5 a second x (request + grant + wire)',
        '5 KB/s together',
        'lease reports; one message for each account',
    )
    yield Figure(
        'daemon',
        'members after a change of one service',
        members_bytes / 1000,
        'KB each',
        'answer with all members in use',
        '',
        'table sent only when it changed',
    )
    yield Figure(
        'daemon',
        'idle processor time',
        idle_percent,
        '% of a core',
        'fixed part',
        '3.4%',
        'watch, lease renewals, timers',
    )
    yield Figure(
        'daemon',
        'document changes, processor time',
        change_percent,
        '% of a core',
        'change by section at 2,800 services x 0.21/s',
        '3.4% together',
        'patch by section',
    )
    yield Figure(
        'daemon',
        'interpreter and libraries',
        imports['all of the daemon'],
        'MB',
        'process that only imports',
        '32 MB',
        '',
    )
    yield Figure(
        'daemon',
        'document',
        document_mb,
        'MB',
        'document memory at 2,800 services and accounts',
        '32 MB together',
        'whole document on each daemon',
    )
    yield Figure(
        'daemon',
        'links to members',
        links_mb,
        'MB',
        'services used x subset x memory of a link',
        '32 MB together',
        'subset of 12 for each service',
    )


def _compute_data_path(slopes, plan):
    calls_per_s = plan.calls_per_second / plan.daemons
    for role, name in (
        ('entry', 'call at its entry'),
        ('owner', 'call at its owner'),
        ('entry and owner in one', 'call at entry and owner in one'),
    ):
        yield Figure(
            role,
            'calls of one worker, processor time',
            _compute_core_percent(slopes[name].slope, calls_per_s),
            '% of a core',
            '367 calls/s x ms for each call',
            '',
            'one event loop for each daemon',
        )


def _compute_control_host(slopes, plan):
    daemons = plan.daemons_per_control_host
    remaining_hosts = plan.control_hosts - plan.control_hosts_per_data_centre
    daemons_after_loss = plan.daemons / remaining_hosts
    registry_mb = slopes['registry memory'].compute(plan.daemons) / 1024
    yield Figure(
        'control host',
        'processor time for its daemons',
        slopes['processor time of a control host'].compute(daemons),
        '% of a core',
        'fixed + slope x 581 daemons',
        '100% (one core)',
        'long poll, answers only when something changed',
    )
    yield Figure(
        'control host',
        'the same with one data centre lost',
        slopes['processor time of a control host'].compute(daemons_after_loss),
        '% of a core',
        'fixed + slope x 643 daemons',
        '100% (one core)',
        'daemons move to the next control host',
    )
    yield Figure(
        'control host',
        'memory for its daemons',
        slopes['memory of a control host'].compute(daemons),
        'MB private',
        'fixed + slope x 581 daemons',
        '',
        'one link for each daemon',
    )
    yield Figure(
        'control host',
        'registrations of the fleet',
        registry_mb,
        'MB',
        'registry memory at 18,000',
        '',
        'copies of the other homes by differences',
    )
    yield Figure(
        'control voter',
        'document changes at the leader',
        _compute_core_percent(
            slopes['document change at the leader'].slope,
            plan.changes_per_second,
        ),
        '% of a core',
        'ms for each change x 0.21/s, small document',
        '100% (one core)',
        'replicated log, group commit',
    )


def _compute_allocator(slopes, plan):
    requests_per_s = (
        plan.daemons
        * plan.active_accounts
        * LEASE_REQUESTS_PER_S
        / plan.control_hosts
    )
    request_us = slopes['lease request at the allocator'].compute(
        HOLDERS_PER_ACCOUNT
    )
    yield Figure(
        'allocator',
        'lease requests, spread over the control hosts',
        requests_per_s * request_us / 1e4,
        '% of a core',
        '14,516 requests/s x cost at 1,000 holders, without messages',
        '100% (one core)',
        'today one leader for all accounts; spreading is not built',
    )


def _compute_ledger(slopes, plan):
    reservations_per_s = plan.reservations_per_second
    vote_ms = slopes['ledger votes'].slope
    key_kib = slopes['ledger memory'].slope
    yield Figure(
        'ledger',
        'reservations at 1% guarded roots',
        reservations_per_s,
        '1/s',
        'calls / 4 x share',
        '',
        '',
    )
    yield Figure(
        'ledger',
        'votes, processor time of one group',
        _compute_core_percent(vote_ms, reservations_per_s),
        '% of a core',
        'reservations x ms for each vote, without messages and syncs',
        '100% for each group',
        'groups by rendezvous hashing are not built',
    )
    yield Figure(
        'ledger',
        'index for 24 h, all members of one copy',
        reservations_per_s * DAY_S * key_kib / 1024 / 1024,
        'GB',
        'reservations x 86,400 x memory of a key',
        'memory of a host',
        'index in memory; needs an index on disk or shorter retention',
    )
    yield Figure(
        'ledger',
        'kept answers for 24 h, one copy',
        reservations_per_s * DAY_S * plan.stored_response_bytes / 1e12,
        'TB',
        'reservations x 86,400 x 1,000 B',
        '',
        'hourly segments on disk',
    )


def _compute_changes(slopes, plan):
    parse_s = slopes['document parsing'].compute(plan.services) / 1000
    yield Figure(
        'restart',
        'first document, processor time',
        parse_s,
        's each',
        'document parsing at 2,800 services',
        '',
        'whole document once after a start',
    )
    yield Figure(
        'restart',
        'restarts and failures',
        (plan.restarts_per_day + plan.failures_per_day) / 24,
        'an hour',
        '(1,900 + 86) / 24',
        '',
        '',
    )
