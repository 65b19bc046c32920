"""Stub backend server as a separate process.

Run it as ``python -m cactusloft_bench.backend_server --service NAME
--instance NAME --daemon-url URL``. It prints one line of JSON with its URL
once it is ready, and shuts down on SIGTERM.
"""

import argparse
import asyncio
import json
import os
import signal

from cactusloft_bench._behaviour import Behaviour
from cactusloft_bench._behaviour import ServerSettings
from cactusloft_bench._plans import check_answer
from cactusloft_bench._plans import CheckedAnswer
from cactusloft_bench._plans import compute_digest
from cactusloft_bench._plans import encode_plan
from cactusloft_bench._plans import NestedCall
from cactusloft_bench._plans import Plan
from cactusloft_bench._records import Snapshot
from cactusloft_bench._stand_in import StubBackendServer

__all__ = [
    'Behaviour',
    'CheckedAnswer',
    'NestedCall',
    'Plan',
    'ServerSettings',
    'Snapshot',
    'StubBackendServer',
    'check_answer',
    'compute_digest',
    'encode_plan',
]


def _build_parser():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--service', required=True)
    parser.add_argument('--instance', required=True)
    parser.add_argument('--daemon-url', default='')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--connections', type=int, default=100)
    parser.add_argument('--renewal-s', type=float, default=1.0)
    parser.add_argument('--work-ms', type=float, default=10.0)
    parser.add_argument('--cold-s', type=float, default=0.0)
    parser.add_argument('--reported-load', type=float)
    return parser


async def _serve(arguments):
    settings = ServerSettings(
        service=arguments.service,
        # The daemon treats a restarted process as a new instance.
        instance=f'{arguments.instance}.{os.getpid()}',
        daemon_url=arguments.daemon_url,
        host=arguments.host,
        port=arguments.port,
        slots=arguments.slots,
        connections=arguments.connections,
        renewal_s=arguments.renewal_s,
    )
    behaviour = Behaviour(
        work_ms=arguments.work_ms,
        cold_s=arguments.cold_s,
        reported_load=arguments.reported_load,
    )
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    server = StubBackendServer(settings, behaviour)
    await server.start()
    print(json.dumps({'url': server.url}), flush=True)
    await stopped.wait()
    await server.stop()


def main(arguments=None):
    """Run a stub server until SIGTERM or SIGINT."""
    asyncio.run(_serve(_build_parser().parse_args(arguments)))


if __name__ == '__main__':
    main()
