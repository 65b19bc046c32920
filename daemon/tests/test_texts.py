"""Tests of the incremental parsing of document texts."""

import pytest

from cactusloft_model import document
from cactusloftd import _texts

BASE = """# the fleet
[service a]
[service b]
retry_share = 0.2
[route x]
service = a
method = GET
path = /x
idempotent = yes
"""

TEXTS = [
    BASE,
    BASE + '[service c]\n',
    BASE.replace('0.2', '0.3'),
    BASE.replace('[service b]\nretry_share = 0.2\n', ''),
    BASE.replace('[service a]\n', ''),
    BASE.replace('[service b]', '  [service b]'),
    BASE.replace('retry_share = 0.2', 'retry_share =\n  0.2\n  [route y]'),
    BASE.replace('\n', '\r\n'),
    BASE + '[service a]\n',
    BASE + '[service a]\nretry_share = 0.5\n',
    BASE + '[service',
    BASE + '[client_account k]\nrate = x\n[service B]',
    'x = 1\n' + BASE,
    '',
    '[service a]' + ' ' * document.MAX_DOCUMENT_BYTES,
]


@pytest.mark.parametrize('text', TEXTS)
def test_result_equals_that_of_a_whole_parse(text):
    """Incremental and full parsing must give the same document.

    Otherwise replicas would install a different document than the one that
    was checked.
    """
    parser = _texts.TextParser()
    parser.parse(BASE).unwrap()
    for _ in range(2):
        parsed = parser.parse(text).map(lambda d: d.sections)
        expected = document.parse_document(text).map(lambda d: d.sections)
        assert parsed == expected
    assert parser.parse(BASE).unwrap().find_route('GET', '/x') is not None
