"""Search for a control host that confirms the document.

A daemon whose home is late, lost or not confirmed itself asks the other
control hosts in waves. The probes of earlier waves stay open.
"""

import asyncio
import enum

WAVE_INTERVAL_S = 0.1
# While no control host confirms, as during an election, a daemon asks one at
# a time; hundreds of daemons search then.
SLOW_INTERVAL_S = 0.2
# A slow search is this long at most, because the home must be polled again
# before the registrations there lapse.
MAX_SLOW_PROBES = 4


class Pace(enum.Enum):
    """How many control hosts a search asks at a time.

    URGENT: the waves double, so that with a minority of control hosts that
    don't confirm, a sound one is asked in the third wave at the latest.

    SPARING: one, and one more for each that has not answered. Many daemons
    search at the same time when the control leader is lost, and all control
    hosts answer without a recent confirmation.

    SLOW: one, at longer intervals, after a search that found none.
    """

    URGENT = enum.auto()
    SPARING = enum.auto()
    SLOW = enum.auto()


async def find_confirming(rotation, probe, pace):
    """Ask the control hosts behind the current one of a rotation.

    :param rotation: :class:`_control_hosts.Rotation`, in which a host that is
        asked becomes the last, and the one that confirms the next.
    :param probe: coroutine function(host) that tells whether the control host
        confirms the document.
    :param pace: :class:`Pace`.
    :returns: the first :class:`_control_hosts.ControlHost` that confirms, or
        None.
    """
    hosts = rotation.list_backups()
    found = asyncio.get_running_loop().create_future()
    probes = []
    interval_s = WAVE_INTERVAL_S
    if pace is Pace.SLOW:
        interval_s, hosts = SLOW_INTERVAL_S, hosts[:MAX_SLOW_PROBES]

    async def ask(host):
        rotation.put_last(host)
        if await probe(host) and not found.done():
            found.set_result(host)

    try:
        while hosts and not found.done():
            size = _count_next(probes, pace)
            probes += [asyncio.ensure_future(ask(h)) for h in hosts[:size]]
            hosts = hosts[size:]
            await asyncio.wait({found}, timeout=interval_s)
        if pace is not Pace.SLOW and not found.done():
            await _wait_for_probes(found, probes)
    finally:
        for task in probes:
            task.cancel()
    if not found.done():
        return None
    rotation.put_next(found.result())
    return found.result()


async def _wait_for_probes(found, probes):
    """Wait until a control host is found or all probes have ended."""
    pending = {task for task in probes if not task.done()}
    while pending and not found.done():
        await asyncio.wait(
            {found, *pending}, return_when=asyncio.FIRST_COMPLETED
        )
        pending = {task for task in pending if not task.done()}


def _count_next(probes, pace):
    """Return the number of control hosts to ask next."""
    if pace is Pace.SLOW:
        return 1
    if pace is Pace.URGENT:
        return len(probes) + 1
    return 1 + sum(not task.done() for task in probes)
