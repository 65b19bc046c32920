"""Tests that no text of an operator raises an unexpected error."""

import pathlib

import hypothesis
from hypothesis import strategies
from returns import result

from cactusloft_model import document

EXAMPLES_PATH = pathlib.Path(__file__).parents[3] / 'examples'
LINES = tuple(
    line
    for path in sorted(EXAMPLES_PATH.glob('*.ini'))
    for line in path.read_text().splitlines()
)
VALUES = (
    '',
    '=',
    '[',
    '[]',
    '[DEFAULT]',
    '[route]',
    'rate = nan',
    'rate = inf',
    'rate = 1e400',
    'burst = -0',
    f'deadline_ms = {"9" * 5000}',
    'deadline_ms = ²',
    'key_hashes = \x00',
    'split = \n a 1\n a 1',
    'split = a nan',
    '%(a)s = %(b)s',
    'rate = %(rate)s',
)


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(LINES + VALUES) | strategies.text(max_size=10)
    ).map('\n'.join)
    | strategies.text()
)
def test_document_raises_an_unexpected_error(text):
    """A document that cannot be read is refused with the faults in it."""
    parsed = document.parse_document(text)
    assert isinstance(parsed, (result.Success, result.Failure))


@hypothesis.given(strategies.data())
def test_changed_value_of_an_example_raises_an_unexpected_error(data):
    """Each value may be of another form than its key has."""
    lines = list(LINES)
    index = data.draw(strategies.integers(0, len(lines) - 1))
    key, separator, _ = lines[index].partition('=')
    value = data.draw(
        strategies.sampled_from([v.partition('=')[2] for v in VALUES])
        | strategies.text()
    )
    lines[index] = f'{key}{separator}{value}'
    parsed = document.parse_document('\n'.join(lines))
    assert isinstance(parsed, (result.Success, result.Failure))
