"""Tests of the refusal of calls whose nested calls would be refused."""

from cactusloftd.resident import _waste


class Clock:
    """Time that a test moves."""

    now = 100.0

    def __call__(self):
        return self.now


def run_windows(guard, clock, count, failed, refused, routes=(('r', 2),)):
    """Let each route end ten runs in each window."""
    for _ in range(count):
        for route, priority in routes:
            for index in range(10):
                guard.note_run(route, priority, index < 10 * failed)
        for _ in range(refused):
            guard.note_refused_nested()
        clock.now += _waste.WINDOW_S
        for route, priority in routes:
            guard.admits(route, priority)


def test_calls_that_would_fail_are_refused():
    """Work for calls that fail below must not take all of the capacity."""
    clock = Clock()
    guard = _waste.WasteGuard(clock)
    run_windows(guard, clock, 8, failed=0.9, refused=5)
    assert guard.read_share('r') < 0.1
    admitted = sum(guard.admits('r', 2) for _ in range(200))
    assert 5 <= admitted <= 20


def test_admission_comes_back():
    """A service that is well again must not be spared for long."""
    clock = Clock()
    guard = _waste.WasteGuard(clock)
    run_windows(guard, clock, 8, failed=0.9, refused=5)
    run_windows(guard, clock, 12, failed=0.0, refused=0)
    assert guard.read_share('r') == 1.0


def test_failures_of_the_backend_server_refuse_nothing():
    """A backend server that fails some calls still serves the others."""
    clock = Clock()
    guard = _waste.WasteGuard(clock)
    run_windows(guard, clock, 8, failed=0.5, refused=0)
    assert guard.read_share('r') == 1.0


def test_route_without_nested_calls_is_not_cut():
    """A download must not pay for the nested calls of another route."""
    clock = Clock()
    guard = _waste.WasteGuard(clock)
    for _ in range(8):
        for index in range(10):
            guard.note_run('deep', 2, index < 9)
            guard.note_run('flat', 2, False)
        guard.note_refused_nested()
        clock.now += _waste.WINDOW_S
        guard.admits('deep', 2)
    assert guard.read_share('flat') == 1.0
    assert guard.read_share('deep') < 0.1


def test_less_urgent_calls_go_first():
    """A booking must not be refused while look-ups are admitted."""
    clock = Clock()
    guard = _waste.WasteGuard(clock)
    routes = (('look-up', 1), ('booking', 3))
    run_windows(guard, clock, 2, 0.9, 5, routes)
    assert guard.read_share('booking') == 1.0
    assert guard.read_share('look-up') < 0.5
    run_windows(guard, clock, 4, 0.9, 5, routes)
    assert guard.read_share('booking') < 1.0
