"""Turn-taking between ordinary calls and calls that must run alone.

A crash suspect runs with no other call in flight. After each one ordinary
calls have a turn, so that many suspects slow a backend server down but do not
stop it.
"""

import collections

LONGEST_LINE = 16
ORDINARY_TURN_S = 0.5


class AloneLine:
    """Crash suspects that wait for an idle backend server."""

    def __init__(self):
        self._line = collections.deque()
        self._running = None
        self._ordinary_until = 0.0

    def __len__(self):
        return len(self._line)

    @property
    def is_full(self):
        """Tell whether no further suspect may wait."""
        return len(self._line) >= LONGEST_LINE

    def push(self, ticket):
        """Add a suspect."""
        self._line.append(ticket)

    def remove(self, ticket):
        """Take out a suspect if it is waiting."""
        if ticket in self._line:
            self._line.remove(ticket)

    def claims_server(self, has_others, now):
        """Tell whether ordinary calls must not start.

        :param has_others: whether ordinary calls are queued.
        """
        if self._running is not None:
            return True
        is_ordinary_turn = has_others and now < self._ordinary_until
        return bool(self._line) and not is_ordinary_turn

    def take(self):
        """Take the next suspect and note that it runs."""
        self._running = self._line.popleft()
        return self._running

    def finish(self, ticket, now):
        """Take note that a suspect ended."""
        if ticket is self._running:
            self._running = None
            self._ordinary_until = now + ORDINARY_TURN_S
