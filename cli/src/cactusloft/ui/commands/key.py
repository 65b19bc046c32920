"""The command ``key new``."""

import secrets

import attrs

from cactusloft_model import keys


@attrs.frozen
class NewKey:
    """New key, which is not stored, and its hash for the document."""

    key: str
    key_hash: str


def add_parsers(commands):
    """Add the command to the parser."""
    parser = commands.add_parser('key', help='keys of client accounts')
    actions = parser.add_subparsers(required=True, metavar='ACTION')
    new = actions.add_parser('new', help='make a key, without a daemon')
    new.set_defaults(run=_make_key)


async def _make_key(context, _options):
    key = keys.make_key(secrets.token_bytes)
    new_key = NewKey(key, keys.hash_key(key))
    lines = (
        f'key, shown only once: {new_key.key}',
        f'line for key_hashes: {new_key.key_hash}',
    )
    return context.output.write_result(new_key, lines)
