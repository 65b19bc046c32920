"""``replica bootstrap``, ``add`` and ``remove``."""

import asyncio
import time

from returns import pipeline

POLL_S = 0.2
DEFAULT_WAIT_S = 60.0


def add_parsers(commands):
    """Add the commands to the parser."""
    parser = commands.add_parser('replica', help='control replicas')
    actions = parser.add_subparsers(required=True, metavar='ACTION')
    bootstrap = actions.add_parser(
        'bootstrap', help='make the replica of the daemon a group of one'
    )
    bootstrap.set_defaults(run=_bootstrap)
    add = actions.add_parser(
        'add', help='add the replica of the daemon to the group'
    )
    add.add_argument(
        '--wait',
        type=float,
        default=DEFAULT_WAIT_S,
        metavar='SECONDS',
        help='longest wait until it has caught up and votes',
    )
    add.set_defaults(run=_add)
    remove = actions.add_parser('remove', help='remove a replica')
    remove.add_argument('replica_id')
    remove.set_defaults(run=_remove)


async def _bootstrap(context, _options):
    return _show(context, await context.open_client().bootstrap_replica())


async def _remove(context, options):
    admin = context.open_client()
    return _show(context, await admin.remove_replica(options.replica_id))


async def _add(context, options):
    admin = context.open_client()
    added = await admin.add_replica()
    if not pipeline.is_successful(added):
        return context.output.report(added.failure())
    limit = time.monotonic() + options.wait
    while time.monotonic() < limit:
        status = await admin.read_status()
        if not pipeline.is_successful(status):
            return context.output.report(status.failure())
        view = status.unwrap()
        if any(
            replica.is_voter
            for replica in view.replicas
            if replica.replica_id == view.replica_id
        ):
            return context.output.show(
                view.replicas, [f'replica {view.replica_id} votes']
            )
        await asyncio.sleep(POLL_S)
    context.output.warn('the replica is still catching up')
    return _show(context, added)


def _show(context, changed):
    if not pipeline.is_successful(changed):
        return context.output.report(changed.failure())
    replicas = changed.unwrap()
    lines = (f'{replica.replica_id}  {replica.daemon}' for replica in replicas)
    return context.output.show(replicas, lines)
