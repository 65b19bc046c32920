"""A worker leaves just after the daemon beside it was restarted."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

ORDER_WORK_S = 0.25
TIMEOUT_MS = 3000
CLIENT_COUNT = 4
RESTART_DELAY_S = 0.3
# From the kill to the arrival of the heartbeat that was sent before it.
HEARTBEAT_DELAY_S = 2.5
# From the acknowledged departure to the exit of the worker.
EXIT_AFTER_S = 7.0


def respond(worker, request):
    """Answer after a short time."""
    time.sleep(ORDER_WORK_S)
    return worker.make_answer(request, 200, b'done ' + request.id.encode())


def play(has_trouble):
    """Tell whether the worker got no request after its departure."""
    configuration = standins.make_configuration(
        1,
        [
            ('/order/', 'unsafe', 'stock', TIMEOUT_MS, 1500, False),
            ('/read/', 'safe', 'stock', TIMEOUT_MS, 1500, False),
        ],
        ['front', 'stock'],
    )
    services = ['front', 'stock', 'stock']
    with standins.Deployment(FOLDER, services, respond) as world:
        world.start(configuration)
        entry = world.sidecars[0]
        world.wait_until_served(entry, '/read/0')
        time.sleep(standins.CONTACT_S)
        stop = threading.Event()
        clients = [
            threading.Thread(target=send_orders, args=(world, entry, stop))
            for _ in range(CLIENT_COUNT)
        ]
        for client in clients:
            client.start()
        time.sleep(1.0)
        try:
            return leave(world, has_trouble)
        finally:
            stop.set()
            for client in clients:
                client.join()


def send_orders(world, entry, stop):
    """Send orders one after the other."""
    while not stop.is_set():
        request_id, answer = world.ask(entry, 'POST', '/order/1', TIMEOUT_MS)
        if not standins.is_success(answer):
            world.record.write(
                f'client: order {request_id}: {standins.describe(answer)}'
            )
        time.sleep(0.02)


def leave(world, has_trouble):
    """Let the second worker of the service leave; judge the rule."""
    record, daemon, worker = world.record, world.sidecars[1], world.workers[1]
    worker.is_beating = False
    late_heartbeat = worker.make_heartbeat()
    record.write(f'worker {worker.instance} sends a heartbeat; it is delayed')
    sent_at = time.monotonic()
    if has_trouble:
        daemon.send_signal(signal.SIGKILL)
        daemon.wait(5.0)
        time.sleep(RESTART_DELAY_S)
        daemon.start()
    standins.wait_for(lambda: worker.deregister() == 200)
    left_at = time.monotonic()
    record.write(f'worker {worker.instance} has deregistered, acknowledged')
    time.sleep(max(0.0, sent_at + HEARTBEAT_DELAY_S - time.monotonic()))
    status = worker.send_heartbeat(late_heartbeat)
    record.write(f'the delayed heartbeat arrives, answer {status}')
    time.sleep(max(0.0, left_at + EXIT_AFTER_S - time.monotonic()))
    worker.end()
    record.write(f'worker {worker.instance} exits')
    in_touch_at = standins.CONTACT_S + (
        daemon.started_at if has_trouble else 0.0
    )
    judged_from = max(left_at + standins.DRAIN_S, in_touch_at)
    late = [run for run in worker.runs if run.arrived_at > judged_from]
    after_s = [f'{run.arrived_at - left_at:.2f}' for run in late]
    record.write(
        f'{len(late)} requests reached it later than drain after the '
        f'acknowledgement, with {daemon.name} in touch; seconds after it: '
        + ' '.join(after_s)
    )
    time.sleep(1.0)
    return not late


standins.run_case(play)
