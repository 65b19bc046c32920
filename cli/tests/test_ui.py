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
    """An operator must see all faults before a daemon is involved."""
    assert ui.main(['config', 'check', _write(tmp_path, FAULTY)]) == 3
    shown = capsys.readouterr().err.splitlines()
    assert '[client_account a] rate:' in shown[0]
    assert any('[route r] service: required' in line for line in shown)
    assert ui.main(['config', 'check', _write(tmp_path, '')]) == 0


def test_new_key_is_shown_once_with_its_hash(capsys):
    """A hash that does not belong to the key would lock the client out."""
    assert ui.main(['--json', 'key', 'new']) == 0
    shown = capsys.readouterr()
    made = json.loads(shown.out)
    assert made['key_hash'] == keys.hash_key(made['key'])
    assert (shown.out + shown.err).count(made['key']) == 1


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
    """A traceback hides from a person what there is to correct."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.delenv('CACTUSLOFT_TOKEN', raising=False)
    if code == 5:
        monkeypatch.setenv('CACTUSLOFT_TOKEN', 'token')
    assert ui.main(arguments) == code
    shown = capsys.readouterr().err
    assert shown.startswith('cactusloft: ') and 'Traceback' not in shown


def test_wrong_usage_exits_with_its_own_code(capsys):
    """Scripts tell wrong usage from a failure by the exit code."""
    with pytest.raises(SystemExit) as raised:
        ui.main(['config', 'apply', 'file'])
    assert raised.value.code == 2
    assert '--base' in capsys.readouterr().err


def test_unreadable_token_file(tmp_path, capsys):
    """Bytes that are no text must be reported like a missing file."""
    path = tmp_path / 'token'
    path.write_bytes(b'\xff')
    path.chmod(stat.S_IRUSR)
    assert ui.main(['--token-file', str(path), 'status']) == 2
    assert 'decode' in capsys.readouterr().err


def _event(wall_ms, counter, daemon, event, **fields):
    stamp = clock.Stamp(wall_ms, counter)
    return client.EventView(stamp, daemon, int(event), fields)


def test_timeline_is_in_causal_order():
    """An effect must not be listed before its cause on another host."""
    kinds = events.Event
    entry = [
        _event(5, 0, 'a', kinds.CALL_ACCEPTED, call_id='1', root_call_id='1'),
        _event(9, 1, 'a', kinds.CALL_ANSWERED, call_id='1'),
    ]
    owner = [
        _event(5, 3, 'b', kinds.CALL_DELIVERED, call_id='2', root_call_id='1'),
        _event(9, 0, 'b', kinds.CALL_DELIVERED, call_id='3'),
    ]
    merged = timeline.merge_events([entry, owner], timeline.Filter(call='1'))
    assert [(e.daemon, e.event) for e in merged] == [
        ('a', 200),
        ('b', 204),
        ('a', 201),
    ]


def test_timeline_of_a_change_has_its_installations():
    """The way of a change ends where daemons install its version."""
    kinds = events.Event
    leader = [
        _event(1, 0, 'a', kinds.DOCUMENT_APPLIED, change_id='x', version=7)
    ]
    daemon = [
        _event(2, 0, 'b', kinds.DOCUMENT_INSTALLED, version=6),
        _event(3, 0, 'b', kinds.DOCUMENT_INSTALLED, version=7),
    ]
    wanted = timeline.Filter(change='x')
    merged = timeline.merge_events([daemon, leader], wanted)
    assert [e.fields['version'] for e in merged] == [7, 7]
