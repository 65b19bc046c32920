"""Tests of the entry: attempts to run a call on several owners."""

import asyncio

from cactusloft_model import calls
from cactusloft_model import errors
from cactusloftd import _calls
from cactusloftd import _entry

_E = errors.ErrorKind
_TRUE, _UNKNOWN = errors.NotRun.TRUE, errors.NotRun.UNKNOWN


class StubRunner:
    """An owner that fails each call with the given error."""

    def __init__(self, error):
        self._error = error

    async def run(self, call):
        return _calls.result.Failure(self._error)

    def read_pressure(self, call):
        return None


class StubParts:
    """Stub of all collaborators of an entry; allows every retry."""

    announcement = None

    def __init__(self, failures):
        self._runners = [StubRunner(error) for error in failures]
        self.flow = self.marks = self.retries = self
        self.events = []

    async def prepare(self, service):
        pass

    def choose(self, service, excluded):
        position = len(excluded) - 1
        if position < len(self._runners):
            return _StubMember(f'owner-{position}', self._runners[position])
        return None

    def make_runner(self, member):
        return member.runner

    async def may_resend(self, call, error):
        return True

    def receive(self, *args):
        pass

    def record(self, event, **fields):
        self.events.append(event)


class _StubMember:
    def __init__(self, name, runner):
        self.name, self.runner = name, runner


def _run(failures):
    parts = StubParts(failures)
    entry = _entry.Entry(
        'entry', None, parts, parts, parts, None, parts, lambda: 0.0
    )
    context = calls.CallContext(
        'c', 'c', '', 'entry', 'a', 's', calls.Priority.LOW, 9.0, 0, True, 'f'
    )
    call = _calls.Call(context, 'GET', '/', (), b'', 'r')
    return asyncio.run(entry._run_on_owners(call)).failure()


def test_not_run_is_not_claimed_after_an_attempt_that_may_have_run():
    """A shed retry must not hide that an earlier attempt may have run."""
    failed = errors.CallError(_E.BACKEND_SERVER_FAILED)
    shed = errors.CallError(_E.OVERLOADED)
    assert _run([failed, shed]).response.not_run is _UNKNOWN
    assert _run([shed, failed]).response.not_run is _UNKNOWN


def test_not_run_is_claimed_when_every_attempt_was_refused():
    """The caller may repeat a request when no owner has run it."""
    shed = errors.CallError(_E.OVERLOADED)
    unreachable = errors.CallError(_E.NO_BACKEND_SERVER)
    assert _run([unreachable, shed]).response.not_run is _TRUE
