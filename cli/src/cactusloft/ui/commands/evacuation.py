"""The commands ``evacuation begin``, ``end`` and ``list``."""

from returns import pipeline


def add_parsers(commands):
    """Add the commands to the parser."""
    parser = commands.add_parser(
        'evacuation', help='data centres that get no new calls'
    )
    actions = parser.add_subparsers(required=True, metavar='ACTION')
    begin = actions.add_parser(
        'begin', help='send no new calls to the backend servers there'
    )
    begin.add_argument('data_centre')
    begin.set_defaults(run=_order, is_begun=True)
    end = actions.add_parser('end', help='send calls there again')
    end.add_argument('data_centre')
    end.set_defaults(run=_order, is_begun=False)
    listing = actions.add_parser('list', help='list the evacuations in force')
    listing.set_defaults(run=_list)


async def _order(context, options):
    admin = context.make_client()
    ordered = await admin.evacuate(options.data_centre, options.is_begun)
    if not pipeline.is_successful(ordered):
        return context.output.report_problem(ordered.failure())
    state = 'evacuated' if options.is_begun else 'no longer evacuated'
    lines = [f'{options.data_centre} is {state}']
    return context.output.write_result(ordered.unwrap(), lines)


async def _list(context, _options):
    listed = await context.make_client().list_evacuations()
    if not pipeline.is_successful(listed):
        return context.output.report_problem(listed.failure())
    view = listed.unwrap()
    return context.output.write_result(view, view.data_centres)
