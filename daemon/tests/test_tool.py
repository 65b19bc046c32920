"""Tests of the operators' command line tool with real daemon processes."""

import json
import os
import subprocess
import sys

import pytest

TOKEN = 'operator-token'
DOCUMENT = '[service booking]\n'


class _Tool:
    """The tool, configured with the admin listeners of some daemons."""

    def __init__(self, processes, token=TOKEN):
        endpoints = (f'127.0.0.1:{p.ports["admin"]}' for p in processes)
        self._admin = ','.join(endpoints)
        self._environment = {**os.environ, 'CACTUSLOFT_TOKEN': token}

    def run(self, *arguments):
        """Return the exit code and the decoded JSON output."""
        command = [sys.executable, '-m', 'cactusloft.ui', '--json']
        command += ['--admin', self._admin, *arguments]
        finished = subprocess.run(
            command, env=self._environment, capture_output=True, text=True
        )
        assert 'Traceback' not in finished.stderr
        return finished.returncode, json.loads(finished.stdout or 'null')


@pytest.fixture
def document(tmp_path):
    path = tmp_path / 'document.ini'
    path.write_text(DOCUMENT)
    return path


def test_commands_of_the_tool(make_fleet, wait, document):
    """Each command must work with the admin listener of a real daemon."""
    fleet = make_fleet(('c1', 'c2'), plain=['d1'])
    tool = _Tool(fleet.plain)
    apply = ('config', 'apply', str(document))
    change = ('--change-id', 'first')
    assert tool.run(*apply, '--base', '0', *change) == (0, {'version': 1})
    assert tool.run(*apply, '--base', '0', *change) == (0, {'version': 1})
    assert tool.run(*apply, '--base', '0')[0] == 4
    wait(lambda: tool.run('config', 'show')[1]['version'] == 1)
    code, history = tool.run('config', 'history')
    assert (code, history[0]['change_id']) == (0, 'first')
    wait(lambda: len(tool.run('members')[1]) == 3)
    code, events = tool.run('timeline', '--change', 'first')
    assert code == 0 and events[0]['event'] == 401
    assert {event['daemon'] for event in events} == {'c1', 'c2', 'd1'}
    assert tool.run('drain', 'c1')[0] == 0
    assert tool.run('drain', 'unknown')[0] == 2
    document.write_text('[service Bad]\n')
    assert tool.run(*apply, '--base', '1')[0] == 3
    assert _Tool(fleet.plain, 'wrong').run('status')[0] == 6


def test_replica_is_replaced(make_fleet, wait, document):
    """The tool must be enough to replace a replica that lost its data."""
    fleet = make_fleet(('c1', 'c2', 'c3'))
    apply = ('config', 'apply', str(document), '--base')
    assert _Tool(fleet.replicas[:1]).run(*apply, '0')[0] == 0
    lost, others = fleet.replicas[2], fleet.replicas[:2]
    lost_id = lost.read_status()['replica_id']
    lost.kill()
    lost.lose_data()
    lost.start()
    wait(lambda: lost.read_status())
    assert lost.read_status()['replica_id'] != lost_id
    assert _Tool(others).run('replica', 'remove', lost_id)[0] == 0
    assert _Tool([lost]).run('replica', 'add')[0] == 0
    others[0].kill()
    tool = _Tool([lost])
    assert tool.run(*apply, '1') == (0, {'version': 2})
    roles = [r['is_voter'] for r in tool.run('status')[1]['replicas']]
    assert roles == [True, True, True]
    assert tool.run('replica', 'bootstrap')[0] == 6


def test_evacuation_is_ordered_by_the_tool(make_fleet, wait):
    """A wrong name must be refused, since the order would have no effect."""
    fleet = make_fleet(('c1', 'c2'), plain=['d1'])
    tool = _Tool(fleet.plain)
    wait(lambda: len(tool.run('members')[1]) == 3)
    name = tool.run('members')[1][0]['data_centre']
    assert tool.run('evacuation', 'begin', name) == (0, {'version': 1})
    assert tool.run('evacuation', 'begin', name) == (0, {'version': 1})
    code, listed = tool.run('evacuation', 'list')
    assert (code, listed) == (0, {'revision': 1, 'data_centres': [name]})
    assert tool.run('evacuation', 'begin', 'elsewhere')[0] == 6
    assert tool.run('evacuation', 'end', name) == (0, {'version': 2})
