"""Command line of the ``cactusloft`` tool.

Exit codes: 0 done, 1 internal error, 2 wrong usage, 3 invalid document, 4 the
document has changed since the base version, 5 no daemon or no control leader
answers, 6 refused by the daemon. ``timeline`` exits with 5 as well when a
daemon could not be asked.
"""

import argparse
import asyncio
import os
import pathlib
import sys

from cactusloft import client
from cactusloft.ui import _output
from cactusloft.ui.commands import config
from cactusloft.ui.commands import evacuation
from cactusloft.ui.commands import key
from cactusloft.ui.commands import log
from cactusloft.ui.commands import members
from cactusloft.ui.commands import replica
from cactusloft.ui.commands import timeline
from cactusloft_model import errors

DEFAULT_ADMIN_ENDPOINT = '127.0.0.1:9903'
_COMMANDS = (config, evacuation, key, log, members, replica, timeline)


def main(arguments=None):
    """Run one command; return the exit code."""
    options = _make_parser().parse_args(arguments)
    output = _output.Output(options.json)
    try:
        context = _CommandContext(options, output)
        return asyncio.run(options.run(context, options))
    except errors.UserError as error:
        print(f'cactusloft: {error}', file=sys.stderr)
        return _output.EXIT_USAGE
    except KeyboardInterrupt:
        return _output.EXIT_INTERNAL
    except BrokenPipeError:
        # The process that reads the output has exited, as with "| head".
        sys.stderr.close()
        return _output.EXIT_OK


class _CommandContext:
    """Output and client factory that each command receives."""

    def __init__(self, options, output):
        self.output = output
        self._options = options

    def make_client(self):
        """Return an :class:`AdminClient` for ``--admin`` and the token.

        :raises errors.UserError: when there is no readable token.
        """
        endpoints = self._options.admin.split(',')
        return client.AdminClient(endpoints, _read_token(self._options))


def _read_token(options):
    """Return the operator token from the file or the environment.

    No option takes the token itself, since other users of the host can read
    command lines.
    """
    if options.token_file:
        try:
            return pathlib.Path(options.token_file).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            raise errors.UserError(str(error))
    token = os.environ.get('CACTUSLOFT_TOKEN', '')
    if not token:
        raise errors.UserError(
            'no operator token: give --token-file or set CACTUSLOFT_TOKEN'
        )
    return token


def _make_parser():
    parser = argparse.ArgumentParser(
        prog='cactusloft',
        description='Operate cactusloft daemons.',
        epilog=__doc__.partition('\n\n')[2],
    )
    parser.add_argument(
        '--admin',
        default=os.environ.get('CACTUSLOFT_ADMIN', DEFAULT_ADMIN_ENDPOINT),
        help='operator listeners IP:PORT, separated by commas, tried in turn'
        ' ($CACTUSLOFT_ADMIN)',
    )
    parser.add_argument(
        '--token-file',
        default=os.environ.get('CACTUSLOFT_TOKEN_FILE', ''),
        help='file with the operator token ($CACTUSLOFT_TOKEN_FILE;'
        ' $CACTUSLOFT_TOKEN may hold the token itself)',
    )
    parser.add_argument(
        '--json', action='store_true', help='write one JSON document'
    )
    commands = parser.add_subparsers(
        required=True, metavar='COMMAND', title='commands'
    )
    for module in _COMMANDS:
        module.add_parsers(commands)
    return parser
