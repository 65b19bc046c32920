"""The commands ``config check``, ``apply``, ``show`` and ``history``."""

import datetime
import pathlib
import secrets

from returns import pipeline

from cactusloft import client
from cactusloft.ui import _output
from cactusloft_model import document
from cactusloft_model import errors

SHOWN_DIGEST_CHARACTERS = 12


def add_parsers(commands):
    """Add the commands to the parser."""
    parser = commands.add_parser('config', help='configuration document')
    actions = parser.add_subparsers(required=True, metavar='ACTION')
    check = actions.add_parser('check', help='check a file, without a daemon')
    check.add_argument('file')
    check.set_defaults(run=_check)
    apply = actions.add_parser('apply', help='put a file in force')
    apply.add_argument('file')
    apply.add_argument(
        '--base',
        type=int,
        required=True,
        help='version on which the file is based, as "config show" gives it',
    )
    apply.add_argument(
        '--change-id',
        default='',
        help='give the id of an earlier attempt to get its outcome',
    )
    apply.set_defaults(run=_apply)
    show = actions.add_parser('show', help='write the document in force')
    show.set_defaults(run=_show)
    history = actions.add_parser('history', help='list accepted versions')
    history.set_defaults(run=_show_history)


async def _check(context, options):
    parsed = document.parse_document(_read_file(options.file))
    if not pipeline.is_successful(parsed):
        kind = errors.ErrorKind.DOCUMENT_INVALID
        title = errors.ERROR_RESPONSES[kind].title
        problem = client.Problem(kind, title, faults=parsed.failure())
        return context.output.report_problem(problem)
    return context.output.write_result(None, [f'{options.file}: valid'])


async def _apply(context, options):
    text = _read_file(options.file)
    change_id = options.change_id or secrets.token_hex(8)
    admin = context.make_client()
    applied = await admin.apply(options.base, change_id, text)
    if not pipeline.is_successful(applied):
        problem = applied.failure()
        if problem.kind is errors.ErrorKind.CONTROL_UNAVAILABLE:
            context.output.warn(
                'the outcome is not known; to get it, repeat the command with '
                f'--change-id {change_id}'
            )
        return context.output.report_problem(problem)
    version = applied.unwrap().version
    lines = [f'version {version} is in force (change {change_id})']
    return context.output.write_result(applied.unwrap(), lines)


async def _show(context, _options):
    shown = await context.make_client().show()
    if not pipeline.is_successful(shown):
        return context.output.report_problem(shown.failure())
    view = shown.unwrap()
    context.output.warn(f'version {view.version}')
    return context.output.write_result(view, view.text.splitlines())


async def _show_history(context, _options):
    listed = await context.make_client().list_revisions()
    if not pipeline.is_successful(listed):
        return context.output.report_problem(listed.failure())
    revisions = listed.unwrap()
    rows = (
        (
            revision.version,
            _format_time(revision.wall_ms),
            revision.change_id,
            revision.digest[:SHOWN_DIGEST_CHARACTERS],
        )
        for revision in revisions
    )
    headings = ('VERSION', 'TIME', 'CHANGE', 'SHA-256')
    return context.output.write_result(
        revisions, _output.format_table(headings, rows)
    )


def _format_time(wall_ms):
    time = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return time.isoformat(timespec='seconds')


def _read_file(path):
    try:
        return pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UserError(f'{path}: {error}')
