"""Tests of placing calls on backend servers with few slots."""

import random

from cactusloftd.resident import _placing

from . import entry_stubs as stubs


def make_owners(*loads):
    """Return remote owners with these loads that serve what they take."""
    return [
        stubs.Member(f'm{i}', stubs.succeed(), load)
        for i, load in enumerate(loads)
    ]


def test_call_goes_to_a_free_slot():
    """A call must not wait at a busy server while another is idle."""
    members = make_owners(1.5, 0.2, 0.1)
    outcome, _ = stubs.serve(members)
    assert outcome.unwrap().status == 200
    assert [len(member.calls) for member in members] == [1, 1, 0]


def test_call_waits_at_the_least_loaded_owner():
    """When all that were asked are busy, the shortest queue is best."""
    members = make_owners(3.0, 1.25, 1.0)
    outcome, _ = stubs.serve(members)
    assert outcome.unwrap().status == 200
    assert [len(member.calls) for member in members] == [1, 2, 0]
    assert not members[1].calls[-1].needs_free_slot


def test_single_busy_owner_still_queues_the_call():
    """A service with one server must not refuse calls that could wait."""
    (member,) = make_owners(2.0)
    outcome, _ = stubs.serve([member])
    assert outcome.unwrap().status == 200
    assert len(member.calls) == 2


def test_busy_service_is_asked_less():
    """At a saturated service, asking would multiply the messages."""
    placing = _placing.Placing()
    for _ in range(100):
        placing.record('stock', True)
    assert placing.count_offers('stock') == 0
    assert placing.count_offers('track') == _placing.MAX_OFFERS
    for _ in range(100):
        placing.record('stock', False)
    assert placing.count_offers('stock') == _placing.MAX_OFFERS


def replay_few_slots(has_offers, seed=20261204):
    """Return the share of calls that wait while a slot is free elsewhere.

    Replays calls to 43 backend servers with 4 slots each at 70% load, the
    pattern of a route service: an entry knows no loads that are recent.
    """
    source = random.Random(seed)
    servers, slots, service_s, load = 43, 4, 0.84, 0.7
    ends = [[] for _ in range(servers)]
    now, waited, calls_made = 0.0, 0, 4000
    for _ in range(calls_made):
        now += source.expovariate(servers * slots * load / service_s)
        asked = source.sample(range(servers), _placing.MAX_OFFERS)
        if not has_offers:
            asked = asked[:1]
        held = {s: sum(end > now for end in ends[s]) for s in asked}
        chosen = min(asked, key=held.get)
        waited += held[chosen] >= slots
        free_at = sorted(ends[chosen])[-slots:]
        begins = now if held[chosen] < slots else max(now, free_at[0])
        ends[chosen] = [end for end in ends[chosen] if end > now]
        ends[chosen].append(begins + source.expovariate(1 / service_s))
    return waited / calls_made


def test_offers_replace_most_waiting():
    """Random placing makes a third of the calls wait at 70% load."""
    assert replay_few_slots(True) < replay_few_slots(False) / 2
