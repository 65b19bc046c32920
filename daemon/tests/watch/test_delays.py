"""Tests of how late a daemon learns of a change."""

import asyncio
import itertools

import pytest

from . import fleets

# Bound of the system from the acknowledgement of a change to its installation.
CONFIG_APPLY_S = 2.0


def _find_longest_delay(size, minority, break_hosts):
    """Return the longest delay over times of the fault and the change.

    :param break_hosts: function(fleet, fault_at).
    """

    async def run(fault_at, changed_at):
        fleet = fleets.Fleet(size, minority, changed_at)
        break_hosts(fleet, fault_at)
        return await fleet.measure_delay()

    # The fault meets each phase of a poll, the change each time around it.
    phases = [fleets.FAULT_AT + step * 0.13 for step in range(8)]
    offsets = [step * 0.15 - 0.3 for step in range(8)]
    return max(
        fleets.run_simulated(run(fault_at, fault_at + offset))
        for fault_at, offset in itertools.product(phases, offsets)
    )


def _silence_and_disconnect(fleet, fault_at):
    for host in fleet.faulty:
        host.silent_at, host.is_up = fault_at, False


def _cut_off_then_silence(fleet, fault_at):
    for host in fleet.faulty:
        host.installed.cut_off_at = fault_at
        # Their confirmations are then just under 1.2 s old.
        host.silent_at = fault_at + 1.19 - fleets.CONFIRMATION_AGE_S


def _silence_half_and_cut_off_half(fleet, fault_at):
    for host in fleet.faulty[::2]:
        host.silent_at = fault_at
    for host in fleet.faulty[1::2]:
        host.installed.cut_off_at = fault_at


def _stall_daemon(_fleet, fault_at):
    loop = asyncio.get_running_loop()

    def stall():
        loop._virtual_selector.now += 1.0

    loop.call_at(fault_at, stall)


def _slow_down(fleet, fault_at):
    # Reached, and slower than a poll that is answered at once may be.
    for host in fleet.faulty:
        host.delay_s = 0.7


@pytest.mark.parametrize('size, minority', [(3, 1), (5, 2), (11, 5)])
@pytest.mark.parametrize(
    'break_hosts',
    [
        fleets.silence,
        _silence_and_disconnect,
        fleets.cut_off,
        _cut_off_then_silence,
        _silence_half_and_cut_off_half,
        _slow_down,
        _stall_daemon,
    ],
)
def test_change_is_late_while_a_minority_fails(size, minority, break_hosts):
    """A daemon once asked one control host after another."""
    delay_s = _find_longest_delay(size, minority, break_hosts)
    print(f'{break_hosts.__name__} {size}: {delay_s:.2f} s')
    assert delay_s <= CONFIG_APPLY_S


def test_new_reports_hide_a_silent_home():
    """Reports that supersede a poll once restarted its timeout each time."""

    async def run(interval_s):
        fleet = fleets.Fleet(5, 2, fleets.FAULT_AT + 0.1)
        fleets.silence(fleet, fleets.FAULT_AT)
        loop = asyncio.get_running_loop()
        for step in range(int(10 / interval_s)):
            loop.call_at(step * interval_s, fleet.watcher.wake)
        return await fleet.measure_delay()

    for interval_s in (0.25, 0.45, 0.9):
        assert fleets.run_simulated(run(interval_s)) <= CONFIG_APPLY_S
