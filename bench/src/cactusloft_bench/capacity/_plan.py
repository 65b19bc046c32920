"""The planned size, and what the slopes give for each role at that size."""

import attrs

DAY_S = 86_400


@attrs.frozen
class Plan:
    """Quantities of the planned size; the second group is assumed.

    :ivar services_used: services that one backend server calls.
    :ivar accounts: client accounts in the document.
    :ivar active_accounts: accounts whose calls one entry takes at a time.
    :ivar calls_a_root: calls that one root call makes on average.
    :ivar guarded_share: share of root calls with a reserved idempotency key.
    :ivar kept_bytes: mean size of a kept answer.
    :ivar wire_bytes: headers of TCP/IP, ZMTP and CURVE for each message.
    """

    daemons: int = 18_000
    services: int = 2_800
    calls_a_second: float = 6.6e6
    changes_a_day: int = 18_000
    control_hosts: int = 31
    hosts_a_data_centre: int = 3
    voters: int = 5
    restarts_a_day: int = 1_900
    failures_a_day: int = 86

    services_used: int = 6
    subset_size: int = 12
    accounts: int = 2_800
    active_accounts: int = 5
    calls_a_root: float = 4.0
    guarded_share: float = 0.01
    kept_bytes: int = 1_000
    wire_bytes: int = 130

    @property
    def changes_a_second(self):
        """Return document changes a second."""
        return self.changes_a_day / DAY_S

    @property
    def daemons_a_host(self):
        """Return daemons that watch one control host."""
        return self.daemons / self.control_hosts

    @property
    def reservations_a_second(self):
        """Return reservations of idempotency keys a second."""
        roots = self.calls_a_second / self.calls_a_root
        return roots * self.guarded_share


@attrs.frozen
class Figure:
    """One computed figure.

    :ivar formula: how it follows from slopes and plan.
    :ivar limit: limit with its unit, empty where there is none.
    """

    role: str
    what: str
    value: float
    unit: str
    formula: str
    limit: str
    mechanism: str


def compute_figures(slopes, imports, plan=Plan()):
    """Yield a :class:`Figure` for each role and cost.

    :param slopes: mapping from name to :class:`_fits.Slope`.
    :param imports: resident megabytes of processes that only import.
    """
    yield from _compute_daemon(slopes, imports, plan)
    yield from _compute_data_path(slopes, plan)
    yield from _compute_control_host(slopes, plan)
    yield from _compute_allocator(slopes, plan)
    yield from _compute_ledger(slopes, plan)
    yield from _compute_changes(slopes, plan)


def _compute_daemon(slopes, imports, plan):
    members = plan.services_used * plan.subset_size
    watch = slopes['watch with report'].compute(plan.services_used)
    answer = slopes['members in a watch answer'].compute(members)
    change = slopes['document change by section'].compute(plan.services)
    lease = slopes['lease request and grant'].slope + 2 * plan.wire_bytes
    idle = slopes['processor time of an idle daemon'].fixed
    document = slopes['document memory'].compute(plan.services) / 1024
    links = slopes['memory of a link'].slope * members / 1024
    watch_rate = watch + 2 * plan.wire_bytes + 150
    change_share = change * plan.changes_a_second / 10
    yield Figure(
        'daemon',
        'watch, unchanged',
        watch_rate / 1000,
        'KB/s',
        'watch + 150 B answer + 2 x wire, each second',
        '5 KB/s',
        'long poll of one control host',
    )
    yield Figure(
        'daemon',
        'rate leases',
        plan.active_accounts * 5 * lease / 1000,
        'KB/s',
        'active accounts x 5 a second x (request + grant + wire)',
        '5 KB/s together',
        'lease reports; one message for each account',
    )
    yield Figure(
        'daemon',
        'members after a change of one service',
        answer / 1000,
        'KB each',
        'answer with all members in use',
        '',
        'table sent only when it changed',
    )
    yield Figure(
        'daemon',
        'idle processor time',
        idle,
        '% of a core',
        'fixed part',
        '3.4%',
        'watch, lease renewals, timers',
    )
    yield Figure(
        'daemon',
        'document changes, processor time',
        change_share,
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
        document,
        'MB',
        'document memory at 2,800 services and accounts',
        '32 MB together',
        'whole document on each daemon',
    )
    yield Figure(
        'daemon',
        'links to members',
        links,
        'MB',
        'services used x subset x memory of a link',
        '32 MB together',
        'subset of 12 for each service',
    )


def _compute_data_path(slopes, plan):
    rate = plan.calls_a_second / plan.daemons
    for role, name in (
        ('entry', 'call at its entry'),
        ('owner', 'call at its owner'),
        ('entry and owner in one', 'call at entry and owner in one'),
    ):
        yield Figure(
            role,
            'calls of one worker, processor time',
            slopes[name].slope * rate / 10,
            '% of a core',
            '367 calls/s x ms for each call',
            '',
            'one event loop for each daemon',
        )


def _compute_control_host(slopes, plan):
    count = plan.daemons_a_host
    reduced = plan.daemons / (plan.control_hosts - plan.hosts_a_data_centre)
    registry = slopes['registry memory'].compute(plan.daemons) / 1024
    yield Figure(
        'control host',
        'processor time for its daemons',
        slopes['processor time of a control host'].compute(count),
        '% of a core',
        'fixed + slope x 581 daemons',
        '100% (one core)',
        'long poll, answers only when something changed',
    )
    yield Figure(
        'control host',
        'the same with one data centre lost',
        slopes['processor time of a control host'].compute(reduced),
        '% of a core',
        'fixed + slope x 643 daemons',
        '100% (one core)',
        'daemons move to the next control host',
    )
    yield Figure(
        'control host',
        'memory for its daemons',
        slopes['memory of a control host'].compute(count),
        'MB private',
        'fixed + slope x 581 daemons',
        '',
        'one link for each daemon',
    )
    yield Figure(
        'control host',
        'registrations of the fleet',
        registry,
        'MB',
        'registry memory at 18,000',
        '',
        'copies of the other homes by differences',
    )
    yield Figure(
        'control voter',
        'document changes at the leader',
        slopes['document change at the leader'].slope
        * plan.changes_a_second
        / 10,
        '% of a core',
        'ms for each change x 0.21/s, small document',
        '100% (one core)',
        'replicated log, group commit',
    )


def _compute_allocator(slopes, plan):
    requests = plan.daemons * plan.active_accounts * 5 / plan.control_hosts
    cost = slopes['lease request at the allocator'].compute(1000)
    yield Figure(
        'allocator',
        'lease requests, spread over the control hosts',
        requests * cost / 1e4,
        '% of a core',
        '14,516 requests/s x cost at 1,000 holders, without messages',
        '100% (one core)',
        'today one leader for all accounts; spreading is not built',
    )


def _compute_ledger(slopes, plan):
    rate = plan.reservations_a_second
    votes = slopes['ledger votes'].slope
    memory = slopes['ledger memory'].slope
    yield Figure(
        'ledger',
        'reservations at 1% guarded roots',
        rate,
        '1/s',
        'calls / 4 x share',
        '',
        '',
    )
    yield Figure(
        'ledger',
        'votes, processor time of one group',
        rate * votes / 10,
        '% of a core',
        'reservations x ms for each vote, without messages and syncs',
        '100% for each group',
        'groups by rendezvous hashing are not built',
    )
    yield Figure(
        'ledger',
        'index for 24 h, all members of one copy',
        rate * DAY_S * memory / 1024 / 1024,
        'GB',
        'reservations x 86,400 x memory of a key',
        'memory of a host',
        'index in memory; needs an index on disk or shorter retention',
    )
    yield Figure(
        'ledger',
        'kept answers for 24 h, one copy',
        rate * DAY_S * plan.kept_bytes / 1e12,
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
        (plan.restarts_a_day + plan.failures_a_day) / 24,
        'an hour',
        '(1,900 + 86) / 24',
        '',
        '',
    )
