"""A request that is in flight at two crashes is refused for ten minutes.

It crashed nothing: two workers crash one after the other by themselves, and
many callers send the same request.
"""

import collections
import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness2 as harness  # noqa: E402

# One of them is less than the share of .15 that may be down.
HOSTS = 7
SLOTS = 55
WORK_S = 0.16
CLIENTS = 84
DOWN_S = 5.0
CALM_S = 8.0
CHECK_S = 20.0


def play(record, has_trouble):
    """Return whether the later route is starved after the crashes."""
    services = [('avail-svc', SLOTS)] * HOSTS + [('maps-svc', SLOTS)]
    deployment = harness.Deployment(record, services)
    rules = [
        harness.make_rule('r-maps', 'download', '/maps/', 'maps-svc'),
        harness.make_rule('r-avail', 'safe', '/avail/', 'avail-svc'),
    ]
    try:
        names = ('avail-svc', 'maps-svc')
        # The route to avail-svc is added later.
        deployment.start(harness.make_configuration(5, rules[:1], names))
        deployment.change(5, harness.make_configuration(7, rules, names))
        for worker in deployment.workers:
            worker.answer = lambda request: (200, WORK_S)
        time.sleep(4.0)
        stop = threading.Event()
        counts = collections.Counter()
        threads = [
            threading.Thread(
                target=_send, args=(deployment, number, counts, stop)
            )
            for number in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(3.0)
        for worker in deployment.workers[:2]:
            if has_trouble:
                worker.crash()
            time.sleep(DOWN_S)
            if has_trouble:
                worker.restart()
            time.sleep(CALM_S)
        before = collections.Counter(counts)
        time.sleep(CHECK_S)
        after = collections.Counter(counts)
        stop.set()
        for thread in threads:
            thread.join()
        record.say(f'until then: {dict(before)}')
        return _is_starved(record, after - before)
    finally:
        deployment.close()


def _send(deployment, number, counts, stop):
    """Send the same request of one kind again and again."""
    kind = ('avail', 'maps')[number % 2]
    host = number // 2 % HOSTS
    while not stop.is_set():
        status, _ = deployment.call(host, f'/{kind}/today')
        counts[kind, 'sent'] += 1
        counts[kind, 'served'] += status == 200
        time.sleep(0.05)


def _is_starved(record, counts):
    shares = {
        kind: counts[kind, 'served'] / counts[kind, 'sent']
        for kind in ('avail', 'maps')
    }
    sent = sum(counts[kind, 'sent'] for kind in shares)
    total = sum(counts[kind, 'served'] for kind in shares) / sent
    record.say(f'8 s after the last restart: {dict(counts)}')
    record.say(f'shares: {shares}, of all: {total:.3f}')
    return shares['avail'] < shares['maps'] / 4


if __name__ == '__main__':
    harness.run_case(
        pathlib.Path(__file__).with_name('record.txt'),
        os.environ.get('TROUBLE') != '0',
        play,
    )
