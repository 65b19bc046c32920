"""Tests of the daemon's settings."""

import pytest

from cactusloftd import _settings
from cactusloftd import main

VALID = f"""
[daemon]
name = d1
host = h1
data_centre = dc1
[listen]
callers = 127.0.0.1:21001
backend = 127.0.0.1:21002
admin = 127.0.0.1:21003
peers = 127.0.0.1:21004
[security]
operator_token_hash = sha256:{'0' * 64}
curve_public_key = {'p' * 40}
curve_secret_key = {'s' * 40}
allowed_keys = allowed
[control_hosts]
c1 = dc1 127.0.0.1:21004 {'p' * 40}
"""

FAULTY = [
    ('name = d1', 'name = D 1', 'daemon', 'name'),
    ('name = d1', '', 'daemon', 'name'),
    ('host = h1', 'host = h1\ncolour = red', 'daemon', 'colour'),
    ('127.0.0.1:21001', 'localhost:21001', 'listen', 'callers'),
    ('127.0.0.1:21001', '127.0.0.1:0', 'listen', 'callers'),
    ('p' * 40 + '\ncurve', 'p' * 39 + '\ncurve', 'security', None),
    ('[control_hosts]', '[contrl_hosts]', 'contrl_hosts', ''),
    ('c1 = dc1 ', 'c1 = ', 'control_hosts', 'c1'),
]


def test_valid_settings_are_accepted():
    """The settings must be valid before the cases below break them."""
    assert _settings.parse_settings(VALID).unwrap().name == 'd1'


@pytest.mark.parametrize('old,new,section,key', FAULTY)
def test_fault_is_named(old, new, section, key):
    """A daemon must not start with invalid settings."""
    assert old in VALID
    faults = _settings.parse_settings(VALID.replace(old, new)).failure()
    places = {(f.section, f.key) for f in faults}
    if key is None:
        assert section in {place[0] for place in places}
    else:
        assert (section, key) in places


def test_faulty_settings_exit_with_usage_code(tmp_path, capsys):
    """Service managers distinguish a usage error from a crash by exit code."""
    path = tmp_path / 'daemon.ini'
    path.write_text(VALID.replace('name = d1', 'name ='))
    assert main.main([str(path)]) == main.EXIT_USAGE
    assert '[daemon] name: required' in capsys.readouterr().err


def test_secret_key_is_not_shown():
    """A secret in a log or traceback would let others join the fleet."""
    settings = _settings.parse_settings(VALID).unwrap()
    assert 's' * 40 not in repr(settings)
