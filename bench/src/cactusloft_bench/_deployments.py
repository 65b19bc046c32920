"""Two deployments scaled to one machine, with and without daemons."""

import contextlib
import json
import pathlib
import sys
import tempfile

import attrs

from cactusloft_bench import _hosts
from cactusloft_bench import _processes
from cactusloft_bench import fleet
from cactusloft_bench import load

WORKERS_PER_SERVICE = 2
ACCOUNTS = 8
CLASSES = ('low', 'normal', 'high', 'critical')
START_TIMEOUT_S = 20.0


@attrs.frozen
class Deployment:
    """A chain of services with the proportions of a real deployment.

    :ivar services: services in calling order, from the entry to the last.
    :ivar slots: slots per worker of each service, scaled down from the
        deployment to a number that one machine can fill.
    :ivar work_ms: service time of each service in milliseconds.
    """

    name: str
    data_centres: tuple[str, ...]
    services: tuple[str, ...]
    slots: tuple[int, ...]
    work_ms: tuple[float, ...]

    @property
    def capacity(self):
        """Return the requests per second that the chain can complete."""
        return min(
            WORKERS_PER_SERVICE * slots * 1000 / work_ms
            for slots, work_ms in zip(self.slots, self.work_ms, strict=True)
        )

    def make_plan(self):
        """Return the plan of a request that calls the whole chain."""
        plan = load.Plan()
        for service in reversed(self.services[1:]):
            nested = load.NestedCall(service, f'/{service}', plan)
            plan = load.Plan(calls=(nested,))
        return plan

    def make_routes(self):
        """Yield an entry route per priority and a route per nested service."""
        first, *rest = self.services
        yield from (
            fleet.Route(f'{first}-{name}', first, f'/{name}', priority=name)
            for name in CLASSES
        )
        yield from (fleet.Route(name, name, f'/{name}') for name in rest)

    def make_hosts(self):
        """Yield one control host and the hosts of the workers."""
        yield fleet.Host('control', self.data_centres[0], is_control=True)
        chain = zip(self.services, self.slots, self.work_ms, strict=True)
        for service, slots, work_ms in chain:
            for number in range(WORKERS_PER_SERVICE):
                yield fleet.Host(
                    f'{service}-{number}',
                    self.data_centres[number % len(self.data_centres)],
                    service,
                    slots,
                    work_ms,
                    stand_in_options=('--connections=200',),
                )


SIAM = Deployment(
    'siam-slurry-haul',
    ('bangkok', 'rayong', 'ayutthaya', 'saraburi'),
    ('booking', 'availability', 'permits'),
    (10, 10, 3),
    (20.0, 20.0, 100.0),
)
HOOGHLY = Deployment(
    'hooghly-breeze',
    ('kolkata', 'howrah', 'asansol', 'siliguri'),
    ('orders', 'stock', 'tracking'),
    (13, 13, 3),
    (20.0, 20.0, 80.0),
)


@attrs.frozen
class Target:
    """A running deployment that is measured.

    :ivar entries: base URLs that clients call.
    :ivar slow_down: function(factor) that slows the last service down.
    """

    entries: tuple[str, ...]
    slow_down: object


@contextlib.contextmanager
def start_layered(deployment, accounts):
    """Run a deployment with daemons and yield its :class:`Target`."""
    document = fleet.render_document(accounts, tuple(deployment.make_routes()))
    hosts = tuple(deployment.make_hosts())
    first, deepest = deployment.services[0], deployment.services[-1]
    with fleet.Fleet(hosts, document) as running:
        request = load.Request(
            accounts[0].name,
            accounts[0].key,
            'POST',
            '/critical',
            deployment.make_plan(),
        )
        running.wait_until_whole(request)

        def slow_down(factor):
            for number in range(WORKERS_PER_SERVICE):
                running.change_behaviour(
                    f'{deepest}-{number}', slowdown=factor
                )

        names = (f'{first}-{number}' for number in range(WORKERS_PER_SERVICE))
        yield Target(tuple(map(running.get_callers_url, names)), slow_down)


@contextlib.contextmanager
def start_plain(deployment, accounts):
    """Run a deployment behind plain proxies and yield its :class:`Target`."""
    del accounts
    deepest = deployment.services[-1]
    with tempfile.TemporaryDirectory(prefix='cactusloft-') as name:
        folder = pathlib.Path(name)
        with contextlib.ExitStack() as stack:
            hosts = [h for h in deployment.make_hosts() if h.service]
            placed = [
                _hosts.place_host(host, number, folder)
                for number, host in enumerate(hosts)
            ]
            routes = json.dumps({f'/{c}': hosts[0].service for c in CLASSES})
            servers = {
                p.host.name: _start_pair(stack, p, folder, routes)
                for p in placed
            }

            def slow_down(factor):
                for number in range(WORKERS_PER_SERVICE):
                    url = servers[f'{deepest}-{number}']
                    fields = {'slowdown': factor}
                    fleet.command_stand_in(url, 'PATCH', 'behaviour', fields)

            entries = tuple(
                f'http://{p.endpoints["callers"]}'
                for p in placed
                if p.host.service == hosts[0].service
            )
            yield Target(entries, slow_down)


def _start_pair(stack, placed, folder, routes):
    """Start the proxy and stub server of a host; return the stub's URL."""
    command = [
        sys.executable,
        '-m',
        'cactusloft_bench.plain_proxy',
        f'--folder={folder}',
        f'--routes={routes}',
        f'--callers={placed.endpoints["callers"]}',
        f'--backend={placed.endpoints["backend"]}',
    ]
    name = placed.host.name
    proxy = _processes.ManagedProcess(f'{name}-proxy', command, folder)
    stack.callback(proxy.kill)
    proxy.read_first_line(START_TIMEOUT_S)
    server = _processes.ManagedProcess(
        f'{name}-server', placed.build_stand_in_command(), folder
    )
    stack.callback(server.kill)
    return json.loads(server.read_first_line(START_TIMEOUT_S))['url']
