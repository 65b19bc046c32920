"""Tests of the merging and filtering of collected log lines."""

import json

from cactusloft import log_lines
from cactusloft import ui


def make_line(timestamp, event='call_refused', prefix='', **fields):
    """Return the text of a log line."""
    content = {'event': event, 'timestamp': timestamp, **fields}
    return f'{prefix}{json.dumps(content)}\n'


TEXTS = [
    make_line('t3', call_id='a1.b2', kind='overloaded'),
    make_line('t1', prefix='  8.5 host-1 ', call_id='a1'),
    make_line('t2', call_id='a10'),
    make_line('t4', event='document_installed', version=7),
    'not a log line\n',
    '{"half": \n',
    '[1, 2]\n',
]


def merge(**conditions):
    """Return the lines of ``TEXTS`` that match the conditions."""
    lines = log_lines.read_lines('f.log', TEXTS)
    return log_lines.merge_lines(lines, log_lines.LineFilter(**conditions))


def test_request_is_found_with_its_nested_calls():
    """An id selects its nested ids, but not ids that it is a prefix of."""
    lines = merge(id='a1')
    assert [line.timestamp for line in lines] == ['t1', 't3']
    assert lines[0].source == '8.5 host-1'
    assert lines[1].source == 'f.log'


def test_other_lines_are_ignored():
    """Collected files contain lines that are not events."""
    assert [line.timestamp for line in merge()] == ['t1', 't2', 't3', 't4']


def test_lines_are_filtered_by_event_and_time():
    """Lines around a failure are found by event name and time."""
    assert [x.event for x in merge(event='document_installed')] == [
        'document_installed'
    ]
    assert [x.timestamp for x in merge(since='t2', until='t3')] == ['t2', 't3']


def test_command_prints_the_lines(tmp_path, capsys):
    """The command needs no daemon and no token."""
    path = tmp_path / 'side.log'
    path.write_text(''.join(TEXTS))
    assert ui.main(['log', '--id', 'a1', str(path)]) == 0
    shown = capsys.readouterr().out.splitlines()
    assert len(shown) == 2
    assert 'kind=overloaded' in shown[1]


def test_missing_file_is_named(tmp_path, capsys):
    """The message for a missing file has its path."""
    assert ui.main(['log', str(tmp_path / 'none.log')]) == 2
    assert 'none.log' in capsys.readouterr().err
