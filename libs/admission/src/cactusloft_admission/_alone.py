"""Queue of calls that must run alone on a backend server.

A crash suspect, a call that may have crashed a backend server, runs with no
other call in flight. After each suspect, ordinary calls are served for a fixed
time, so that a series of suspects slows a backend server but cannot block it.
"""

import collections

MAX_WAITING_SUSPECTS = 16
ORDINARY_TURN_S = 0.5


class AloneQueue:
    """Crash suspects that wait for an idle backend server."""

    def __init__(self):
        self._waiting = collections.deque()
        self._running = None
        self._ordinary_until = 0.0

    def __len__(self):
        return len(self._waiting)

    @property
    def is_unused(self):
        """Tell whether no suspect waits or runs."""
        return self._running is None and not self._waiting

    @property
    def is_full(self):
        """Tell whether no further suspect may be queued."""
        return len(self._waiting) >= MAX_WAITING_SUSPECTS

    def push(self, ticket):
        """Queue a suspect."""
        self._waiting.append(ticket)

    def remove(self, ticket):
        """Remove a suspect if it is queued."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def is_server_reserved(self, has_others, now):
        """Tell whether a suspect runs or is next, so ordinary calls must wait.

        :param has_others: whether ordinary calls are queued.
        """
        if self._running is not None:
            return True
        is_ordinary_turn = has_others and now < self._ordinary_until
        return bool(self._waiting) and not is_ordinary_turn

    def start_next(self):
        """Remove the next suspect from the queue and mark it as running."""
        self._running = self._waiting.popleft()
        return self._running

    def finish(self, ticket, now):
        """Record the end of a suspect and start the turn of ordinary calls."""
        if ticket is self._running:
            self._running = None
            self._ordinary_until = now + ORDINARY_TURN_S
