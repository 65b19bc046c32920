"""Connections of all clients of a process, and the memory that they share."""

import asyncio

from cactusloft_admission import memory

# Share of the connections that is dropped at a time, so that the search for
# the slowest one is rare.
DROPPED_SHARE = 1 / 16
# After a search that found none, the next one waits for this time.
SEARCH_INTERVAL_S = 0.1


class Clients:
    """Connections at all listeners of a process.

    :param limits: :class:`memory.ClientLimits`.
    :param read_time: function that returns the time of the event loop in
        seconds.
    :ivar budget: :class:`memory.MemoryBudget` of all of them.
    :ivar dropped: connections that were closed to make room for others.
    """

    def __init__(self, limits, read_time):
        self._max_connections = limits.connections
        self._read_time = read_time
        self._connections = set()
        self._searched_at = float('-inf')
        self.budget = memory.MemoryBudget(limits.memory_bytes)
        self.budget.make_room = self._drop_receiving
        self.dropped = 0

    @property
    def count(self):
        """Return the number of connections."""
        return len(self._connections)

    def add(self, connection):
        """Register a connection; tell whether the limit allows it.

        Others that are idle or stalled make room for it.
        """
        if len(self._connections) >= self._max_connections:
            self._drop(self._connections)
        if len(self._connections) >= self._max_connections:
            return False
        self._connections.add(connection)
        return True

    def discard(self, connection):
        """Forget a closed connection."""
        self._connections.discard(connection)

    def _drop_receiving(self):
        """Drop connections that hold memory; tell whether there were any."""
        return self._drop(
            connection
            for connection in self._connections
            if connection.progress.is_receiving
        )

    def _drop(self, connections):
        now = self._read_time()
        if now - self._searched_at < SEARCH_INTERVAL_S:
            return False
        senders = (
            (connection, connection.progress)
            for connection in connections
            if connection.may_be_dropped
        )
        count = 1 + int(DROPPED_SHARE * len(self._connections))
        dropped = memory.select_slowest(senders, count, now)
        for connection in dropped:
            self._connections.discard(connection)
            connection.drop()
        self.dropped += len(dropped)
        if not dropped:
            self._searched_at = now
        return bool(dropped)


def make_clients(limits):
    """Return :class:`Clients` on the clock of the running event loop.

    :param limits: :class:`memory.ClientLimits`.
    """
    return Clients(limits, lambda: asyncio.get_running_loop().time())
