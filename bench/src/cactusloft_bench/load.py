"""Load generator: open-loop clients of several accounts.

Run it as ``python -m cactusloft_bench.load --target URL --client
NAME:KEY:RATE --path /maps``. Requests start at random times that do not
depend on the answers, as those of many independent callers do.
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
    """Run a load and print its figures as JSON."""
    given = _build_parser().parse_args(arguments)
    settings = LoadSettings(
        targets=tuple(given.target),
        clients=tuple(
            attrs.evolve(client, retries=given.retries)
            for client in given.client
        ),
        path=given.path,
        method=given.method,
        deadline_ms=given.deadline_ms,
        duration_s=given.duration_s,
        max_requests=given.max_requests,
        seed=given.seed,
        has_idempotency_keys=given.idempotency_keys,
    )
    report = asyncio.run(run_load(settings))
    print(json.dumps(report.to_json(), indent=2))


if __name__ == '__main__':
    main()
