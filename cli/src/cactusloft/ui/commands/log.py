"""The command ``log``."""

import itertools

from cactusloft import log_lines
from cactusloft.ui import _output
from cactusloft_model import errors


def add_parsers(commands):
    """Add the command to the parser."""
    parser = commands.add_parser(
        'log', help='merge and filter the lines of collected log files'
    )
    parser.add_argument('files', nargs='+', help='log files of residents')
    parser.add_argument(
        '--id', default='', help='only this request, change or fingerprint'
    )
    parser.add_argument('--event', default='', help='only this event')
    parser.add_argument('--since', default='', help='earliest timestamp')
    parser.add_argument('--until', default='', help='latest timestamp')
    parser.set_defaults(run=_show)


async def _show(context, options):
    line_filter = log_lines.LineFilter(
        options.id, options.event, options.since, options.until
    )
    lines = itertools.chain.from_iterable(map(_read_file, options.files))
    merged = log_lines.merge_lines(lines, line_filter)
    context.output.write_result(merged, map(_format_line, merged))
    return _output.EXIT_OK


def _read_file(path):
    try:
        with open(path, errors='replace') as file:
            yield from log_lines.read_lines(path, file)
    except OSError as error:
        raise errors.UserError(str(error)) from error


def _format_line(line):
    fields = ' '.join(f'{k}={v}' for k, v in line.fields.items())
    return f'{line.timestamp} {line.source} {line.event} {fields}'
