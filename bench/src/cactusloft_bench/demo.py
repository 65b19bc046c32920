"""Demonstration of a small fleet that takes under a minute.

Run it with ``make demo``. It starts daemons, control replicas and stub servers
on loopback addresses, applies a document, calls a chain of services, revokes
a key, prints the merged timeline of one call, and stops all processes.
"""

import asyncio
import sys
import time

from cactusloft_bench import fleet
from cactusloft_bench import load
from cactusloft_model import events

HAULAGE = fleet.Account('isan-haulage', rate=200, burst=200)
DREDGING = fleet.Account('andaman-dredging', rate=200, burst=200, weight=3)
ROUTES = (
    fleet.Route(
        'confirm-booking', 'booking', '/bookings', priority='critical'
    ),
    fleet.Route('hold-capacity', 'availability', '/holds', priority='high'),
    fleet.Route('check-permit', 'permits', '/permits', priority='high'),
    fleet.Route('plan-route', 'maps', '/routes'),
)
HOSTS = (
    fleet.Host('control-1', 'bangkok', is_control=True),
    fleet.Host('control-2', 'laem-chabang', is_control=True),
    fleet.Host('control-3', 'rayong', is_control=True),
    fleet.Host('booking-1', 'bangkok', 'booking', slots=50),
    fleet.Host('booking-2', 'rayong', 'booking', slots=50),
    fleet.Host('availability-1', 'bangkok', 'availability', slots=50),
    fleet.Host('permits-1', 'laem-chabang', 'permits', slots=15),
    fleet.Host('maps-1', 'rayong', 'maps', slots=50),
)
ENTRIES = ('control-1', 'control-2', 'booking-1')
REVOCATION_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02


class DemoError(Exception):
    """A step of the demonstration had an unexpected result."""


def _build_chain(*steps):
    """Return a plan in which each step calls the next one.

    :param steps: service and path of each call.
    """
    plan = load.Plan()
    for service, path in reversed(steps):
        plan = load.Plan(calls=(load.NestedCall(service, path, plan),))
    return plan


CHAIN = _build_chain(
    ('availability', '/holds'), ('permits', '/permits'), ('maps', '/routes')
)


def _build_request(account):
    return load.Request(account.name, account.key, 'POST', '/bookings', CHAIN)


def _show(text):
    print(text, flush=True)


def _call_once(running):
    attempt = running.send('booking-1', _build_request(HAULAGE))
    if not attempt.is_whole:
        raise DemoError(f'the call got no complete response: {attempt}')
    services = [attempt.head.instance]
    services += [nested.instance for nested in attempt.head.nested]
    _show(f'One call ran at {" -> ".join(services)}.')


def _send_load(running):
    settings = load.LoadSettings(
        targets=tuple(running.get_callers_url(name) for name in ENTRIES),
        clients=(
            load.Client(HAULAGE.name, HAULAGE.key, 15),
            load.Client(DREDGING.name, DREDGING.key, 30),
        ),
        path='/bookings',
        plan=CHAIN,
        duration_s=4,
    )
    report = asyncio.run(load.run_load(settings))
    for figures in report.accounts:
        _show(
            f'  {figures.account}: {figures.whole} of {figures.requests} '
            f'requests whole, {figures.goodput:.0f}/s, '
            f'p50 {figures.latency.p50:.0f} ms, refused {figures.failures}'
        )
    if report.total.failures.get('not_own_answer'):
        raise DemoError('a client got the response to another request')


def _revoke_key(running):
    """Apply a document without an account; wait until its key is refused."""
    text = fleet.render_document([HAULAGE], ROUTES)
    operator = running.get_operator('control-2')
    response = operator.apply(1, 'withdraw-dredging', text)
    if not response.is_accepted:
        raise DemoError(f'the document was refused: {response}')
    started = time.monotonic()
    for name in ENTRIES:
        _wait_for_refusal(running, name, started)
    elapsed_s = time.monotonic() - started
    _show(f'The key was refused at every entry after {elapsed_s:.1f} s.')
    attempt = running.send('booking-1', _build_request(HAULAGE))
    if not attempt.is_whole:
        raise DemoError(f'the other account was refused too: {attempt}')
    _show(f'{HAULAGE.name} is served as before.')


def _wait_for_refusal(running, name, started):
    attempt = running.send(name, _build_request(DREDGING))
    while attempt.kind != 'unauthenticated':
        if time.monotonic() - started > REVOCATION_TIMEOUT_S:
            raise DemoError(f'{name} still accepts the revoked key: {attempt}')
        time.sleep(POLL_INTERVAL_S)
        attempt = running.send(name, _build_request(DREDGING))
    _show(f'  {name}: {attempt.status} {attempt.kind}')


def _show_timeline(running):
    """Print the events of the last complete chain on all daemons."""
    timeline = running.merge_timeline()
    root = next(
        entry.fields['root_call_id']
        for entry in reversed(timeline)
        if entry.fields.get('service') == 'maps'
    )
    entries = [entry for entry in timeline if entry.mentions(root)]
    _show(f'Time line of call {root} over all daemons:')
    first_ms = entries[0].wall_ms
    for entry in entries:
        name = events.Event(entry.number).name
        shown = {
            key: value
            for key, value in entry.fields.items()
            if key in ('service', 'owner', 'status', 'kind') and value != ''
        }
        place = f'+{entry.wall_ms - first_ms} ms/{entry.counter}'
        _show(f'  {place:>12} {entry.daemon:16} {name:18} {shown}')
    if len({entry.daemon for entry in entries}) < 3:
        raise DemoError('the timeline lacks daemons of the chain')


def run_demo():
    """Run the demonstration.

    :raises DemoError: if a step has an unexpected result.
    """
    started = time.monotonic()
    document = fleet.render_document([HAULAGE, DREDGING], ROUTES)
    _show(f'Starting {len(HOSTS)} hosts in 3 data centres.')
    with fleet.Fleet(HOSTS, document) as running:
        running.wait_until_whole(_build_request(HAULAGE), ENTRIES)
        elapsed_s = time.monotonic() - started
        _show(f'Document applied, fleet serves after {elapsed_s:.1f} s.')
        _call_once(running)
        _show('Load of two accounts through three entries:')
        _send_load(running)
        _show(f'Withdrawing the key of {DREDGING.name}:')
        _revoke_key(running)
        _show_timeline(running)
        _show('Stopping everything.')
    _show(f'Done in {time.monotonic() - started:.1f} s.')


def main():
    """Run the demonstration and return the exit code."""
    try:
        run_demo()
    except (DemoError, fleet.FleetError) as error:
        print(f'demo failed: {error}', file=sys.stderr)
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
