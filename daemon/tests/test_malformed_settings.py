"""Tests that no settings file raises an unexpected error."""

import hypothesis
from hypothesis import strategies
from returns import result

from cactusloftd import _settings

from . import test_watch as watch_tests

LINES = tuple(
    watch_tests.SETTINGS.format(name='near', key='k' * 40).splitlines()
)
VALUES = ('', '127.0.0.1', '127.0.0.1:x', f':{"9" * 5000}', '²', '%(a)s', '[')


@hypothesis.given(strategies.data())
def test_settings_raise_an_unexpected_error(data):
    """The tool names the faults of a file instead of a traceback."""
    lines = list(LINES)
    index = data.draw(strategies.integers(0, len(lines) - 1))
    key, separator, _ = lines[index].partition('=')
    value = data.draw(strategies.sampled_from(VALUES) | strategies.text())
    lines[index] = f'{key}{separator}{value}'
    parsed = _settings.parse_settings('\n'.join(lines))
    assert isinstance(parsed, (result.Success, result.Failure))
