"""Budget of the memory that clients may make a process hold.

The load pattern: clients that keep to no limit send many large bodies or heads
at once, most of which never end. Each of them is within the limits of a single
request, but together they exceed the memory of the machine. A part of the
budget is kept for small requests, so that ordinary callers find room beside
any crowd of large ones.
"""

import attrs

MIB = 1024 * 1024
# Memory of a process without clients, with room for its links and its own
# responses in transit.
BASE_BYTES = 60 * MIB
# Share of the remaining memory that clients may fill. Allocations are larger
# than what they hold, and freed memory is reused only in part.
CLIENT_SHARE = 0.6
# A request that holds more than this is a large one.
SMALL_REQUEST_BYTES = 64 * 1024
# Shares of the budget that large requests and heads with many lines may fill.
LARGE_SHARE = 0.9
LONG_HEAD_SHARE = 0.2
# A decoded header line: its name, its value, and the pair of them.
HEADER_LINE_BYTES = 200
# A head with more lines is a long one.
MAX_ORDINARY_LINES = 100
# Share of the descriptors of a process that clients may use. The others are
# for links, files and connections to the backend server.
DESCRIPTOR_SHARE = 0.73
# The smallest machines that the defaults are made for.
DEFAULT_MEMORY_BYTES = 200 * 1000 * 1000
DEFAULT_DESCRIPTORS = 4100


class BudgetError(ValueError):
    """The limits of a machine leave no room for clients."""


@attrs.frozen
class ClientLimits:
    """Limits on what all clients of a process may hold together.

    :ivar memory_bytes: memory for connections and requests.
    :ivar connections: open connections of clients.
    """

    memory_bytes: int
    connections: int


def make_limits(memory_bytes=0, descriptors=0):
    """Return the :class:`ClientLimits` of a machine.

    :param memory_bytes: memory of a process, 0 for the default.
    :param descriptors: open descriptors of a process, 0 for the default.
    :raises BudgetError: when they leave no room for one small request.
    """
    memory_bytes = memory_bytes or DEFAULT_MEMORY_BYTES
    descriptors = descriptors or DEFAULT_DESCRIPTORS
    room = int(CLIENT_SHARE * (memory_bytes - BASE_BYTES))
    if room * (1.0 - LARGE_SHARE) < SMALL_REQUEST_BYTES:
        raise BudgetError(f'{memory_bytes} bytes of memory are too few')
    connections = int(DESCRIPTOR_SHARE * descriptors)
    if connections < 1:
        raise BudgetError(f'{descriptors} descriptors are too few')
    return ClientLimits(room, connections)


class MemoryBudget:
    """Memory that the clients of a process hold at present.

    :param total_bytes: the whole budget.
    :ivar held_bytes: bytes in use.
    :ivar refused: number of times that there was no room.
    :ivar make_room: function called when there is no room; it returns whether
        it has released some.
    """

    def __init__(self, total_bytes):
        self._total_bytes = total_bytes
        self._large_limit = LARGE_SHARE * total_bytes
        self._long_head_bytes = 0
        self.held_bytes = 0
        self.refused = 0
        self.make_room = lambda: False

    def make_hold(self):
        """Return a :class:`Hold` of this budget that is still empty."""
        return Hold(self)

    def take(self, size, is_large):
        """Reserve bytes; tell whether there is room."""
        limit = self._large_limit if is_large else self._total_bytes
        while self.held_bytes + size > limit:
            if not self.make_room():
                self.refused += 1
                return False
        self.held_bytes += size
        return True

    def take_long_head(self, size):
        """Reserve bytes of a decoded long head; tell whether there is room."""
        limit = LONG_HEAD_SHARE * self._total_bytes
        if self._long_head_bytes + size > limit:
            self.refused += 1
            return False
        if not self.take(size, is_large=False):
            return False
        self._long_head_bytes += size
        return True

    def release(self, size, long_head_bytes):
        """Give back bytes.

        :param size: all bytes, with those of long heads.
        """
        self.held_bytes -= size
        self._long_head_bytes -= long_head_bytes


class Hold:
    """Bytes of a budget that one request holds.

    :param budget: :class:`MemoryBudget`.
    :ivar size: bytes held.
    """

    __slots__ = '_budget', '_lines', '_long_head_bytes', 'size'

    def __init__(self, budget):
        self._budget = budget
        self._long_head_bytes = 0
        self._lines = 0
        self.size = 0

    def grow(self, size):
        """Hold more bytes; tell whether there is room."""
        new_size = self.size + size
        if not self._budget.take(size, new_size > SMALL_REQUEST_BYTES):
            return False
        self.size = new_size
        return True

    def add_head(self, lines, head_bytes):
        """Hold a head, or a part of it, that is about to be decoded.

        :param lines: number of its lines.
        :param head_bytes: its size as received.
        :returns: whether there is room.
        """
        size = lines * HEADER_LINE_BYTES + head_bytes
        self._lines += lines
        if self._lines <= MAX_ORDINARY_LINES:
            return self.grow(size)
        if not self._budget.take_long_head(size):
            return False
        self._long_head_bytes += size
        self.size += size
        return True

    def shrink(self, size):
        """Give back bytes that :meth:`grow` has taken."""
        self._budget.release(size, 0)
        self.size -= size

    def release(self):
        """Give back all bytes."""
        self._budget.release(self.size, self._long_head_bytes)
        self.size = self._long_head_bytes = 0
