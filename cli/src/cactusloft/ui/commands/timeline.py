"""``timeline``."""

import asyncio

from returns import pipeline

from cactusloft import timeline
from cactusloft.ui import _output
from cactusloft_model import events

# Bounds the connections that the tool holds at once.
PARALLEL_DAEMONS = 32


def add_parsers(commands):
    """Add the command to the parser."""
    parser = commands.add_parser(
        'timeline', help='events of all daemons in causal order'
    )
    parser.add_argument('--call', default='', help='only this call id')
    parser.add_argument('--account', default='', help='only this account')
    parser.add_argument('--change', default='', help='only this change id')
    parser.set_defaults(run=_show)


async def _show(context, options):
    admin = context.open_client()
    listed = await admin.list_members()
    if not pipeline.is_successful(listed):
        return context.output.report(listed.failure())
    limiter = asyncio.Semaphore(PARALLEL_DAEMONS)

    async def read(member):
        async with limiter:
            return await admin.at(member.admin).list_events()

    members = listed.unwrap()
    histories = await asyncio.gather(*map(read, members))
    wanted = timeline.Filter(options.call, options.account, options.change)
    known = (history.value_or(()) for history in histories)
    merged = tuple(timeline.merge_events(known, wanted))
    context.output.show(merged, map(_describe, merged))
    return _report_missing(context, members, histories)


def _report_missing(context, members, histories):
    """Name the daemons whose events are missing; return the exit code."""
    code = _output.EXIT_OK
    for member, history in zip(members, histories):
        if not pipeline.is_successful(history):
            context.output.warn(
                f'no events of {member.name}: {history.failure().detail}'
            )
            code = _output.EXIT_UNAVAILABLE
    return code


def _describe(event):
    stamp = f'{event.stamp.wall_ms}.{event.stamp.counter}'
    try:
        name = events.Event(event.event).name.lower()
    except ValueError:
        # A newer daemon may log events that this tool does not know.
        name = 'unknown'
    fields = ' '.join(
        f'{name}={value}' for name, value in event.fields.items() if value
    )
    return f'{stamp} {event.daemon} {event.event} {name} {fields}'.rstrip()
