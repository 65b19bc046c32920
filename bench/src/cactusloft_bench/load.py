"""Load generator: open-loop clients of one or more accounts.

Run it as ``python -m cactusloft_bench.load --target URL --client
NAME:KEY:RATE --path /maps``. Requests start at random times that are
independent of the responses, as with many independent callers.
"""

import argparse
import asyncio
import json

import attrs

from cactusloft_bench._load_run import run_load
from cactusloft_bench._load_settings import Client
from cactusloft_bench._load_settings import LoadSettings
from cactusloft_bench._plans import NestedCall
from cactusloft_bench._plans import Plan
from cactusloft_bench._report import Figures
from cactusloft_bench._report import Report
from cactusloft_bench._report import summarize
from cactusloft_bench._requests import Attempt
from cactusloft_bench._requests import Outcome
from cactusloft_bench._requests import Request
from cactusloft_bench._requests import send_attempt

__all__ = [
    'Attempt',
    'Client',
    'Figures',
    'LoadSettings',
    'NestedCall',
    'Outcome',
    'Plan',
    'Report',
    'Request',
    'run_load',
    'send_attempt',
    'summarize',
]


def _parse_client(text):
    account, key, rate = text.split(':')
    return Client(account, key, float(rate))


def _build_parser():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--target', action='append', required=True)
    parser.add_argument(
        '--client',
        action='append',
        required=True,
        type=_parse_client,
        help='ACCOUNT:KEY:REQUESTS_PER_SECOND',
    )
    parser.add_argument('--path', required=True)
    parser.add_argument('--method', default='POST')
    parser.add_argument('--duration-s', type=float, default=5.0)
    parser.add_argument('--max-requests', type=int, default=10_000)
    parser.add_argument('--deadline-ms', type=int, default=2000)
    parser.add_argument('--retries', type=int, default=0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--idempotency-keys', action='store_true')
    return parser


def main(arguments=None):
    """Run a load and print its statistics as JSON."""
    options = _build_parser().parse_args(arguments)
    settings = LoadSettings(
        targets=tuple(options.target),
        clients=tuple(
            attrs.evolve(client, retries=options.retries)
            for client in options.client
        ),
        path=options.path,
        method=options.method,
        deadline_ms=options.deadline_ms,
        duration_s=options.duration_s,
        max_requests=options.max_requests,
        seed=options.seed,
        has_idempotency_keys=options.idempotency_keys,
    )
    report = asyncio.run(run_load(settings))
    print(json.dumps(report.to_json(), indent=2))


if __name__ == '__main__':
    main()
