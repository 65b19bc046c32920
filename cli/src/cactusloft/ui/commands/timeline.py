"""The command ``timeline``."""

import asyncio

from returns import pipeline

from cactusloft import timeline
from cactusloft.ui import _output
from cactusloft_model import events

# Limits the connections that the tool has open at a time.
MAX_PARALLEL_REQUESTS = 32


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
    admin = context.make_client()
    listed = await admin.list_members()
    if not pipeline.is_successful(listed):
        return context.output.report_problem(listed.failure())
    semaphore = asyncio.Semaphore(MAX_PARALLEL_REQUESTS)

    async def request_events(member):
        async with semaphore:
            return await admin.for_endpoint(member.admin).list_events()

    members = listed.unwrap()
    histories = await asyncio.gather(*map(request_events, members))
    event_filter = timeline.EventFilter(
        options.call, options.account, options.change
    )
    available = (history.value_or(()) for history in histories)
    merged = tuple(timeline.merge_events(available, event_filter))
    context.output.write_result(merged, map(_format_event, merged))
    return _report_missing(context, members, histories)


def _report_missing(context, members, histories):
    """Warn of each daemon whose events are missing; return the exit code."""
    code = _output.EXIT_OK
    for member, history in zip(members, histories):
        if not pipeline.is_successful(history):
            context.output.warn(
                f'no events of {member.name}: {history.failure().detail}'
            )
            code = _output.EXIT_UNAVAILABLE
    return code


def _format_event(event):
    stamp = f'{event.stamp.wall_ms}.{event.stamp.counter}'
    try:
        name = events.Event(event.event).name.lower()
    except ValueError:
        # A newer daemon may log events that this tool does not define.
        name = 'unknown'
    fields = ' '.join(
        f'{name}={value}' for name, value in event.fields.items() if value
    )
    return f'{stamp} {event.daemon} {event.event} {name} {fields}'.rstrip()
