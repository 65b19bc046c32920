"""Member and claim logic in random schedules with message and disk faults."""

import random

import attrs
import pytest

from cactusloft_ledger import _claim
from cactusloft_ledger import _member
from cactusloft_ledger import _messages

KEY = ('account', 'key')
STEPS_PER_SCHEDULE = 400


class Replica:
    """A ledger member with its synced state.

    :ivar synced: latest :class:`KeyState` that was stored.
    """

    def __init__(self, name, active_epoch=0):
        self.core = _member.LedgerMember(name, active_epoch)
        self.synced = None
        self.positions = {}

    def handle(self, message):
        decision = self.core.handle(message, 0.0)
        # A reply is sent after the sync, so the two form one step.
        self.synced = decision.state or self.synced
        return decision.reply

    def restart(self):
        """Return a replica with the synced state; its copying starts again."""
        restarted = Replica(self.core.replica_id, self.core.active_epoch)
        restarted.synced = self.synced
        if self.synced is not None:
            restarted.core.load(self.synced, 0.0)
        return restarted


class Schedule:
    """Random steps of one ledger group and of calls that claim one key.

    :ivar groups: (epoch, names) of each group so far.
    :ivar in_transit: (claim, request, reply) of each message in transit;
        the reply is None for a message to a member.
    :ivar ran: ids of the calls that ran.
    """

    def __init__(self, seed, size):
        self.rng = random.Random(seed)
        self.epoch = size
        self.names = [f'm{number}' for number in range(size)]
        self.replicas = {}
        for name in self.names:
            self.replicas[name] = Replica(name, size)
            self.replicas[name].core.enter_epoch(size, self.names)
        self.groups = [(self.epoch, list(self.names))]
        self.claims = []
        self.in_transit = []
        self.ran = []
        self.next_name = size

    def run(self):
        for _ in range(STEPS_PER_SCHEDULE):
            self.rng.choices(
                [self.deliver, self.start, self.change, self.restart],
                [40, 4, 1, 2],
            )[0]()
            self.copy()
            assert len(set(self.ran)) <= 1, self.ran

    def start(self):
        """Start a call, or the next attempt of one."""
        retryable = (_claim.Verdict.BACK_OFF, _claim.Verdict.OTHER_EPOCH)
        retryable_claims = [c for c in self.claims if c.verdict in retryable]
        if retryable_claims and self.rng.random() < 0.7:
            claim = self.rng.choice(retryable_claims)
            if claim.should_release:
                self.send_all(claim, claim.make_release())
        else:
            call_id = f'{self.rng.getrandbits(32):08x}'
            ticket = _claim.Ticket(*KEY, call_id, 'print')
            claim = _claim.Claim(ticket)
            claim.call_id = call_id
            self.claims.append(claim)
        # An entry may still know the previous group.
        epoch, names = self.rng.choice(self.groups[-2:])
        self.send_all(claim, claim.start_attempt(epoch, names, 1000))

    def send_all(self, claim, requests):
        self.in_transit.extend((claim, request, None) for request in requests)

    def deliver(self):
        """Deliver, lose or duplicate a random message or reply in transit.

        The random order delays the others.
        """
        if not self.in_transit:
            return
        item = self.in_transit.pop(self.rng.randrange(len(self.in_transit)))
        claim, request, reply = item
        draw = self.rng.random()
        if draw < 0.1:
            self.in_transit.append(item)
        if draw > 0.9:
            self.handle_reply(claim, request, None)
        elif reply is not None:
            self.handle_reply(claim, request, reply)
        elif request.member in self.replicas:
            reply = self.replicas[request.member].handle(request.message)
            self.in_transit.append((claim, request, reply))

    def handle_reply(self, claim, request, reply):
        previous_verdict = claim.verdict
        self.send_all(claim, claim.handle_reply(request, reply))
        if previous_verdict is claim.verdict:
            return
        if claim.verdict is _claim.Verdict.WON:
            self.win(claim)
        elif claim.verdict is _claim.Verdict.REPEAT:
            self.send_all(claim, claim.make_release())

    def win(self, claim):
        draw = self.rng.random()
        if draw < 0.5:
            self.ran.append(claim.call_id)
        elif draw < 0.9:
            # The call certainly did not run, for example the owner refused it.
            self.send_all(claim, claim.make_release())

    def change(self):
        """Replace a member that lost its disk, if all members vote."""
        cores = [self.replicas[name].core for name in self.names]
        if not all(core.is_active for core in cores):
            return
        lost = self.rng.choice(self.names)
        del self.replicas[lost]
        self.names = [name for name in self.names if name != lost]
        self.enter()
        name = f'm{self.next_name}'
        self.next_name += 1
        self.replicas[name] = Replica(name)
        self.names = self.names + [name]
        self.enter()

    def enter(self):
        self.epoch += 1
        self.groups.append((self.epoch, list(self.names)))

    def restart(self):
        name = self.rng.choice(list(self.replicas))
        self.replicas[name] = self.replicas[name].restart()

    def copy(self):
        """Let a random member enter the epoch or copy from another member."""
        name = self.rng.choice(self.names)
        replica = self.replicas[name]
        if self.rng.random() < 0.3:
            replica.core.enter_epoch(self.epoch, self.names)
        source_name = self.rng.choice(self.names)
        core, source = replica.core, self.replicas[source_name].core
        if source_name == name or core.is_active:
            return
        if not source.is_source or core.epoch != source.epoch:
            return
        for _, key in source.table.list_after(0, 1):
            merged = core.merge(source.export(key, 0.0), 0.0)
            replica.synced = merged or replica.synced
        core.record_copied_member(source_name, core.epoch)
        if core.is_copy_complete:
            core.activate()


@pytest.mark.parametrize('size', [3, 5])
def test_at_most_one_call_wins(size):
    """No schedule lets two calls run under one idempotency key."""
    ran = 0
    for seed in range(300):
        schedule = Schedule(seed, size)
        schedule.run()
        ran += bool(schedule.ran)
    # The test is void if hardly any call wins.
    assert ran > 100


def run_attempt(claim, group, members, unresponsive=()):
    """Run one attempt and return its verdict."""
    requests = claim.start_attempt(1, list(group), 1000)
    while requests:
        request = requests.pop(0)
        reply = None
        if request.member not in unresponsive:
            reply = group[request.member].handle(request.message, 0.0).reply
        requests.extend(claim.handle_reply(request, reply))
    return claim.verdict


def make_group(*names):
    group = {name: _member.LedgerMember(name, 1) for name in names}
    for member in group.values():
        member.enter_epoch(1, names)
    return group


def vote(member, call_id):
    message = _messages.Reserve(*KEY, 1, call_id, 1, 'print', 1000)
    return member.handle(message, 0.0).reply.status


@pytest.mark.parametrize('call_id', ['a', 'z'])
def test_split_vote_of_crashed_entries_is_resolved(call_id):
    """A vote split between crashed entries does not block the key for good."""
    group = make_group('x', 'y', 'z')
    vote(group['x'], 'dead1')
    vote(group['y'], 'dead2')
    claim = _claim.Claim(_claim.Ticket(*KEY, call_id, 'print'))
    for _ in range(_claim.MAX_RIVAL_ROUNDS + 4):
        if run_attempt(claim, group, 1) is _claim.Verdict.WON:
            break
    assert claim.verdict is _claim.Verdict.WON


def test_possible_winner_is_not_fenced():
    """A call that may have won by an unresponsive member is not fenced."""
    group = make_group('x', 'y', 'z')
    vote(group['x'], 'first')
    vote(group['y'], 'first')
    for _ in range(_claim.MAX_RIVAL_ROUNDS + 4):
        claim = _claim.Claim(_claim.Ticket(*KEY, 'a', 'print'))
        verdict = run_attempt(claim, group, 1, unresponsive={'y'})
        assert verdict is not _claim.Verdict.WON


def test_late_vote_request_after_release_is_barred():
    """A delayed vote request of a released call gets no vote.

    The vote would block the key, as the release was already handled.
    """
    group = make_group('x', 'y', 'z')
    release = _messages.Release(*KEY, 1, 'first', 1)
    group['x'].handle(release, 0.0)
    assert vote(group['x'], 'first') is _messages.Status.BARRED
    assert vote(group['x'], 'second') is _messages.Status.GRANTED


def test_new_member_waits_for_a_majority_of_the_others():
    """A new member votes only after it copied from a majority of the others.

    Otherwise it might lack reservations and vote for a second call.
    """
    member = _member.LedgerMember('new')
    member.enter_epoch(7, ['a', 'b', 'c', 'd', 'new'])
    for source in ('a', 'b'):
        member.record_copied_member(source, 7)
        assert not member.is_copy_complete
    assert vote(member, 'first') is _messages.Status.REFUSED
    member.record_copied_member('c', 7)
    assert member.is_copy_complete


def test_contested_copy_votes_for_nobody():
    """A member with contradicting copies of a key votes for no call.

    Its vote could complete the majority of a call that did not win.
    """
    member = _member.LedgerMember('new')
    member.enter_epoch(2, ['a', 'b', 'new'])
    for call_id in ('one', 'two'):
        holder = _messages.Holder(call_id, 1, 'print', 1000)
        member.merge(_messages.KeyState(*KEY, [holder]), 0.0)
    member.activate()
    message = _messages.Reserve(*KEY, 2, 'one', 2, 'print', 1000)
    reply = member.handle(message, 0.0).reply
    assert reply.status is _messages.Status.HELD
    member.handle(_messages.Release(*KEY, 2, 'two', 1), 0.0)
    reply = member.handle(attrs.evolve(message, attempt=3), 0.0).reply
    assert reply.status is _messages.Status.GRANTED


def test_promise_and_epoch_bar_votes():
    """A member votes neither against its promise nor for another epoch."""
    member = make_group('x', 'y', 'z')['x']
    member.handle(_messages.Deny(*KEY, 1, 'first', 1), 0.0)
    assert vote(member, 'first') is _messages.Status.BARRED
    member.enter_epoch(2, ['x', 'y', 'z'])
    member.activate()
    assert vote(member, 'second') is _messages.Status.REFUSED
