"""The commands ``status``, ``members`` and ``drain``."""

from returns import pipeline

from cactusloft.ui import _output
from cactusloft_model import errors


def add_parsers(commands):
    """Add the commands to the parser."""
    status = commands.add_parser('status', help='state of one daemon')
    status.set_defaults(run=_show_status)
    members = commands.add_parser('members', help='daemons of the fleet')
    members.set_defaults(run=_list_members)
    drain = commands.add_parser(
        'drain', help='stop sending calls to a backend server'
    )
    drain.add_argument(
        'daemon',
        nargs='?',
        help='daemon of the backend server; default: that of --admin',
    )
    drain.set_defaults(run=_drain)


async def _show_status(context, _options):
    response = await context.make_client().read_status()
    if not pipeline.is_successful(response):
        return context.output.report_problem(response.failure())
    status = response.unwrap()
    return context.output.write_result(status, _format_status(status))


def _format_status(status):
    age = 'none'
    if status.confirmation_age_s is not None:
        age = f'{status.confirmation_age_s:.1f} s ago'
    freshness = 'current' if status.is_fresh else 'cannot be confirmed'
    yield f'daemon          {status.name}'
    yield f'document        version {status.version}, {freshness}'
    yield f'confirmation    {age}'
    yield f'serving         {"yes" if status.is_serving else "no"}'
    yield f'in flight       {status.in_flight}'
    if status.replica_id:
        yield f'replica         {status.replica_id}, {status.replica_role}'
    if status.replica_failure:
        yield f'replica failure {status.replica_failure}'
    if status.replicas:
        headings = ('REPLICA', 'DAEMON', 'ROLE', 'INDEX')
        rows = [
            (r.replica_id, r.daemon, _get_role(r), _format_index(r.match))
            for r in status.replicas
        ]
        yield from _output.format_table(headings, rows)


def _get_role(replica):
    if replica.is_leader:
        return 'leader'
    return 'voter' if replica.is_voter else 'learner'


def _format_index(index):
    return '' if index is None else index


async def _list_members(context, _options):
    listed = await context.make_client().list_members()
    if not pipeline.is_successful(listed):
        return context.output.report_problem(listed.failure())
    members = listed.unwrap()
    headings = ('DAEMON', 'HOST', 'DATA CENTRE', 'ADMIN', 'SERVICE', 'SERVING')
    rows = (
        (
            member.name,
            member.host,
            member.data_centre,
            member.admin,
            member.service or '-',
            'yes' if member.is_serving else 'no',
        )
        for member in members
    )
    return context.output.write_result(
        members, _output.format_table(headings, rows)
    )


async def _drain(context, options):
    admin = context.make_client()
    if options.daemon:
        listed = await admin.list_members()
        if not pipeline.is_successful(listed):
            return context.output.report_problem(listed.failure())
        endpoints = {m.name: m.admin for m in listed.unwrap()}
        if options.daemon not in endpoints:
            raise errors.UserError(f'unknown daemon: {options.daemon}')
        admin = admin.for_endpoint(endpoints[options.daemon])
    drained = await admin.drain()
    if not pipeline.is_successful(drained):
        return context.output.report_problem(drained.failure())
    return context.output.write_result(None, ['draining'])
