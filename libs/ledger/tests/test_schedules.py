"""Random schedules of entries and members under message and disk faults."""

import random

import attrs
import pytest

from cactusloft_ledger import _claim
from cactusloft_ledger import _member
from cactusloft_ledger import _messages

KEY = ('account', 'key')
STEPS = 400


class Replica:
    """A member core with the part of its state that is synced."""

    def __init__(self, name, active_epoch=0):
        self.core = _member.LedgerMember(name, active_epoch)
        self.synced = None
        self.positions = {}

    def handle(self, message):
        decision = self.core.handle(message, 0.0)
        # The reply leaves after the sync, so both belong to one step.
        self.synced = decision.state or self.synced
        return decision.reply

    def restart(self):
        """Keep what was synced; a copy under way starts again."""
        fresh = Replica(self.core.replica_id, self.core.active_epoch)
        fresh.synced = self.synced
        if self.synced is not None:
            fresh.core.load(self.synced, 0.0)
        return fresh


class Schedule:
    """One group, some entries that claim one key, and random steps."""

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
        self.pool = []
        self.ran = []
        self.next_name = size

    def run(self):
        for _ in range(STEPS):
            self.rng.choices(
                [self.deliver, self.start, self.change, self.restart],
                [40, 4, 1, 2],
            )[0]()
            self.copy()
            assert len(set(self.ran)) <= 1, self.ran

    def start(self):
        """Begin a call, or another attempt of one."""
        ended = (_claim.Verdict.BACK_OFF, _claim.Verdict.OTHER_EPOCH)
        open_claims = [c for c in self.claims if c.verdict in ended]
        if open_claims and self.rng.random() < 0.7:
            claim = self.rng.choice(open_claims)
            if claim.should_release:
                self.send_all(claim, claim.make_release())
        else:
            call_id = f'{self.rng.getrandbits(32):08x}'
            ticket = _claim.Ticket(*KEY, call_id, 'print')
            claim = _claim.Claim(ticket)
            claim.call_id = call_id
            self.claims.append(claim)
        # An entry may know an older group.
        epoch, names = self.rng.choice(self.groups[-2:])
        self.send_all(claim, claim.start_attempt(epoch, names, 1000))

    def send_all(self, claim, requests):
        self.pool.extend((claim, request, None) for request in requests)

    def deliver(self):
        """Deliver, drop, duplicate or delay one message or reply."""
        if not self.pool:
            return
        item = self.pool.pop(self.rng.randrange(len(self.pool)))
        claim, request, reply = item
        fate = self.rng.random()
        if fate < 0.1:
            self.pool.append(item)
        if fate > 0.9:
            self.react(claim, request, None)
        elif reply is not None:
            self.react(claim, request, reply)
        elif request.member in self.replicas:
            answer = self.replicas[request.member].handle(request.message)
            self.pool.append((claim, request, answer))

    def react(self, claim, request, reply):
        before = claim.verdict
        self.send_all(claim, claim.handle_reply(request, reply))
        if before is claim.verdict:
            return
        if claim.verdict is _claim.Verdict.WON:
            self.win(claim)
        elif claim.verdict is _claim.Verdict.REPEAT:
            self.send_all(claim, claim.make_release())

    def win(self, claim):
        fate = self.rng.random()
        if fate < 0.5:
            self.ran.append(claim.call_id)
        elif fate < 0.9:
            # Certainly not run, for example refused by the owner.
            self.send_all(claim, claim.make_release())

    def change(self):
        """Replace a member that lost its disk, when the others allow it."""
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
        """Let some members learn of the epoch or copy one page."""
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
    """Guards against two calls that both run under one idempotency key."""
    ran = 0
    for seed in range(300):
        schedule = Schedule(seed, size)
        schedule.run()
        ran += bool(schedule.ran)
    # Schedules in which nothing wins would show nothing.
    assert ran > 100


def ask_all(claim, group, members, silent=()):
    """Run one attempt to its verdict."""
    requests = claim.start_attempt(1, list(group), 1000)
    while requests:
        request = requests.pop(0)
        reply = None
        if request.member not in silent:
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
def test_split_vote_of_dead_entries_is_resolved(call_id):
    """Guards against a key that is lost because dead entries split it."""
    group = make_group('x', 'y', 'z')
    vote(group['x'], 'dead1')
    vote(group['y'], 'dead2')
    claim = _claim.Claim(_claim.Ticket(*KEY, call_id, 'print'))
    for _ in range(_claim.MAX_RIVAL_ROUNDS + 4):
        if ask_all(claim, group, 1) is _claim.Verdict.WON:
            break
    assert claim.verdict is _claim.Verdict.WON


def test_possible_winner_is_not_fenced():
    """Guards against fencing a call whose second vote is out of sight."""
    group = make_group('x', 'y', 'z')
    vote(group['x'], 'first')
    vote(group['y'], 'first')
    for _ in range(_claim.MAX_RIVAL_ROUNDS + 4):
        claim = _claim.Claim(_claim.Ticket(*KEY, 'a', 'print'))
        verdict = ask_all(claim, group, 1, silent={'y'})
        assert verdict is not _claim.Verdict.WON


def test_late_vote_request_after_release_is_barred():
    """Guards against a key lost to a delayed message of a released call."""
    group = make_group('x', 'y', 'z')
    release = _messages.Release(*KEY, 1, 'first', 1)
    group['x'].handle(release, 0.0)
    assert vote(group['x'], 'first') is _messages.Status.BARRED
    assert vote(group['x'], 'second') is _messages.Status.GRANTED


def test_new_member_waits_for_a_majority_of_the_others():
    """Guards against a vote of a repaired member that lacks reservations."""
    member = _member.LedgerMember('new')
    member.enter_epoch(7, ['a', 'b', 'c', 'd', 'new'])
    for source in ('a', 'b'):
        member.record_copied_member(source, 7)
        assert not member.is_copy_complete
    assert vote(member, 'first') is _messages.Status.REFUSED
    member.record_copied_member('c', 7)
    assert member.is_copy_complete


def test_contested_copy_votes_for_nobody():
    """Guards against a copy that completes the majority of a loser."""
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
    """Guards against a vote after a promise, or for another epoch's round."""
    member = make_group('x', 'y', 'z')['x']
    member.handle(_messages.Deny(*KEY, 1, 'first', 1), 0.0)
    assert vote(member, 'first') is _messages.Status.BARRED
    member.enter_epoch(2, ['x', 'y', 'z'])
    member.activate()
    assert vote(member, 'second') is _messages.Status.REFUSED
