"""Tests of the command line without a daemon."""

import json
import stat

import pytest

from cactusloft import client
from cactusloft import timeline
from cactusloft import ui
from cactusloft_model import clock
from cactusloft_model import events
from cactusloft_model import keys

FAULTY = '[client_account a]\nrate = x\nburst = 1\n[route r]\npath = /a\n'


def _write(tmp_path, text):
    path = tmp_path / 'document.ini'
    path.write_text(text)
    return str(path)


def test_check_names_every_fault_without_a_daemon(tmp_path, capsys):
    """``config check`` reports all faults at once and needs no daemon."""
    assert ui.main(['config', 'check', _write(tmp_path, FAULTY)]) == 3
    error_lines = capsys.readouterr().err.splitlines()
    assert '[client_account a] rate:' in error_lines[0]
    assert any('[route r] service: required' in line for line in error_lines)
    assert ui.main(['config', 'check', _write(tmp_path, '')]) == 0


def test_new_key_is_shown_once_with_its_hash(capsys):
    """A wrong hash would lock the client out; the key is printed only once."""
    assert ui.main(['--json', 'key', 'new']) == 0
    shown = capsys.readouterr()
    new_key = json.loads(shown.out)
    assert new_key['key_hash'] == keys.hash_key(new_key['key'])
    assert (shown.out + shown.err).count(new_key['key']) == 1


@pytest.mark.parametrize(
    'arguments,code',
    [
        (['config', 'check', 'missing.ini'], 2),
        (['--token-file', 'missing', 'status'], 2),
        (['--admin', '127.0.0.1:1', 'status'], 5),
        (['--admin', 'no endpoint', 'status'], 5),
        (['status'], 2),
    ],
)
def test_user_errors_have_no_traceback(
    arguments, code, tmp_path, monkeypatch, capsys
):
    """User errors print one message, since a traceback would obscure it."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.delenv('CACTUSLOFT_TOKEN', raising=False)
    if code == 5:
        monkeypatch.setenv('CACTUSLOFT_TOKEN', 'token')
    assert ui.main(arguments) == code
    shown = capsys.readouterr().err
    assert shown.startswith('cactusloft: ') and 'Traceback' not in shown


def test_wrong_usage_exits_with_its_own_code(capsys):
    """Scripts distinguish wrong usage from other failures by exit code."""
    with pytest.raises(SystemExit) as raised:
        ui.main(['config', 'apply', 'file'])
    assert raised.value.code == 2
    assert '--base' in capsys.readouterr().err


def test_unreadable_token_file(tmp_path, capsys):
    """A file that is not valid UTF-8 is reported like a missing file."""
    path = tmp_path / 'token'
    path.write_bytes(b'\xff')
    path.chmod(stat.S_IRUSR)
    assert ui.main(['--token-file', str(path), 'status']) == 2
    assert 'decode' in capsys.readouterr().err


def _event(wall_ms, counter, daemon, event, **fields):
    stamp = clock.Stamp(wall_ms, counter)
    return client.EventView(stamp, daemon, int(event), fields)


def test_timeline_is_in_causal_order():
    """An effect must not precede its cause on another host.

    Wall clocks alone cannot order events of one millisecond.
    """
    kinds = events.Event
    entry = [
        _event(5, 0, 'a', kinds.CALL_ACCEPTED, call_id='1', root_call_id='1'),
        _event(9, 1, 'a', kinds.CALL_ANSWERED, call_id='1'),
    ]
    owner = [
        _event(5, 3, 'b', kinds.CALL_DELIVERED, call_id='2', root_call_id='1'),
        _event(9, 0, 'b', kinds.CALL_DELIVERED, call_id='3'),
    ]
    merged = timeline.merge_events(
        [entry, owner], timeline.EventFilter(call='1')
    )
    assert [(e.daemon, e.event) for e in merged] == [
        ('a', 200),
        ('b', 204),
        ('a', 201),
    ]


def test_timeline_of_a_change_has_its_installations():
    """A change id also selects the installations of its version.

    Installation events have the version but not the change id.
    """
    kinds = events.Event
    leader = [
        _event(1, 0, 'a', kinds.DOCUMENT_APPLIED, change_id='x', version=7)
    ]
    daemon = [
        _event(2, 0, 'b', kinds.DOCUMENT_INSTALLED, version=6),
        _event(3, 0, 'b', kinds.DOCUMENT_INSTALLED, version=7),
    ]
    event_filter = timeline.EventFilter(change='x')
    merged = timeline.merge_events([daemon, leader], event_filter)
    assert [e.fields['version'] for e in merged] == [7, 7]
