"""The commands ``replica bootstrap``, ``add`` and ``remove``."""

import asyncio
import time

from returns import pipeline

POLL_INTERVAL_S = 0.2
DEFAULT_CATCH_UP_TIMEOUT_S = 60.0


def add_parsers(commands):
    """Add the commands to the parser."""
    parser = commands.add_parser('replica', help='control replicas')
    actions = parser.add_subparsers(required=True, metavar='ACTION')
    bootstrap = actions.add_parser(
        'bootstrap',
        help='form a group that has only the replica of the daemon',
    )
    bootstrap.set_defaults(run=_bootstrap)
    add = actions.add_parser(
        'add', help='add the replica of the daemon to the group'
    )
    add.add_argument(
        '--wait',
        type=float,
        default=DEFAULT_CATCH_UP_TIMEOUT_S,
        metavar='SECONDS',
        help='maximum wait for the replica to catch up and become a voter',
    )
    add.set_defaults(run=_add)
    remove = actions.add_parser('remove', help='remove a replica')
    remove.add_argument('replica_id')
    remove.set_defaults(run=_remove)


async def _bootstrap(context, _options):
    return _write_replicas(
        context, await context.make_client().bootstrap_replica()
    )


async def _remove(context, options):
    admin = context.make_client()
    return _write_replicas(
        context, await admin.remove_replica(options.replica_id)
    )


async def _add(context, options):
    admin = context.make_client()
    added = await admin.add_replica()
    if not pipeline.is_successful(added):
        return context.output.report_problem(added.failure())
    deadline = time.monotonic() + options.wait
    while time.monotonic() < deadline:
        status = await admin.read_status()
        if not pipeline.is_successful(status):
            return context.output.report_problem(status.failure())
        view = status.unwrap()
        if any(
            replica.is_voter
            for replica in view.replicas
            if replica.replica_id == view.replica_id
        ):
            return context.output.write_result(
                view.replicas, [f'replica {view.replica_id} is a voter']
            )
        await asyncio.sleep(POLL_INTERVAL_S)
    context.output.warn('the replica is still catching up')
    return _write_replicas(context, added)


def _write_replicas(context, response):
    if not pipeline.is_successful(response):
        return context.output.report_problem(response.failure())
    replicas = response.unwrap()
    lines = (f'{replica.replica_id}  {replica.daemon}' for replica in replicas)
    return context.output.write_result(replicas, lines)
