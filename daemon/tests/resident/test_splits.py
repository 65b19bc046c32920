"""Tests of traffic splits."""

import collections
import random

import attrs
import pytest

from cactusloft_model import document
from cactusloftd.resident import _splits

TEXT = """
[service a]
[service b]
[service c]
[route r]
host = h.example
method = ANY
path = /x/*
idempotent = yes
split = a 90
    b 10
"""


def make_route(*weights):
    """Return a route with these weights."""
    route = document.parse_document(TEXT).unwrap().routes['r']
    shares = (document.TrafficShare(n, w) for n, w in zip('abc', weights))
    return attrs.evolve(route, split=tuple(shares))


def make_chooser(seed=0):
    """Return the chooser of one entry."""
    return _splits.SplitChooser(random.Random(seed))


@pytest.mark.parametrize('weights', [(90, 10), (1, 1, 1), (50, 0, 50)])
def test_services_get_calls_by_weight(weights):
    """Over 300 calls each share is met within one call; weight 0 gets none."""
    chooser = make_chooser()
    route = make_route(*weights)
    counts = collections.Counter(chooser.choose(route) for _ in range(300))
    for name, weight in zip('abc', weights):
        assert abs(counts[name] - 300 * weight / sum(weights)) <= 1


def test_changed_weights_reset_the_credits():
    """Credits from old weights must not send calls to a removed service."""
    chooser = make_chooser()
    for _ in range(7):
        chooser.choose(make_route(1, 99))
    chosen = {chooser.choose(make_route(100, 0)) for _ in range(50)}
    assert chosen == {'a'}


def test_sum_of_large_weights_gives_all_calls_to_one_service():
    """The sum of the weights exceeds the largest float."""
    chooser = make_chooser()
    route = make_route(1e308, 1e308)
    counts = collections.Counter(chooser.choose(route) for _ in range(100))
    assert counts == {'a': 50, 'b': 50}


# Largest deviation of a share from its weight that the operators tolerate, in
# a time of 200 calls or more.
MAX_DEVIATION = 0.2


@pytest.mark.parametrize('calls_of_an_entry', [1, 2, 3])
@pytest.mark.parametrize('weights', [(75, 25), (1, 1), (60, 40), (90, 10)])
def test_many_entries_start_with_the_same_service(weights, calls_of_an_entry):
    """Few calls at each of many entries must be split by the weights too."""
    counts = collections.Counter()
    for seed in range(-(-200 // calls_of_an_entry)):
        chooser = make_chooser(seed)
        route = make_route(*weights)
        counts.update(chooser.choose(route) for _ in range(calls_of_an_entry))
    for name, weight in zip('abc', weights):
        share = counts[name] / counts.total()
        assert abs(share - weight / sum(weights)) < MAX_DEVIATION
