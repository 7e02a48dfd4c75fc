"""A bound on the memory that buffered requests and responses use, over all connections of the process."""

from __future__ import annotations

# The part of the memory limit that buffers may use at most: a process should stay well below its limit.
MAX_BUFFER_FRACTION = 0.25
MIN_BUFFER_BYTES = 1_000_000  # for a limit that leaves next to nothing: requests must still be served
PROCESS_BYTES = 27_000_000  # memory of a process without clients
RESERVED_FRACTION = 0.06  # part of the limit that is kept free
MAX_LIMITER_FRACTION = 0.08  # part of the limit for the state of customers
LIMITER_BYTES = 1_300  # memory of one customer's rate limiter, with its timer and its names
CONNECTION_BYTES = 5_000  # memory of an idle connection
# Bytes that a connection may always buffer, so that ordinary requests are served while memory is short.
SMALL_BUFFER_BYTES = 2 * 1024


def buffer_limit(memory_limit: int, connections: int) -> int:
    """Return how many bytes buffers may use in a process with `memory_limit` bytes and so many clients."""
    base = PROCESS_BYTES + connections * CONNECTION_BYTES + int(memory_limit * RESERVED_FRACTION)
    most = int(memory_limit * MAX_BUFFER_FRACTION)
    return max(min(memory_limit - base, most), MIN_BUFFER_BYTES)


def max_limiters(memory_limit: int) -> int:
    """Return for how many customers a process with `memory_limit` bytes keeps a rate limiter."""
    return int(memory_limit * MAX_LIMITER_FRACTION / LIMITER_BYTES)


class MemoryBudget:
    """Counts the bytes in the buffers of all connections against a limit."""

    __slots__ = ("exhausted_count", "limit", "used")

    def __init__(self, limit: int) -> None:
        """Initialize with no bytes used; `limit` is in bytes."""
        self.limit = limit
        self.used = 0
        self.exhausted_count = 0  # how many times the limit was reached

    @property
    def is_exhausted(self) -> bool:
        """Whether connections may not buffer more than SMALL_BUFFER_BYTES each."""
        return self.used >= self.limit

    def change(self, byte_count: int) -> None:
        """Count bytes that were added to buffers; fewer than 0 were taken from them."""
        was_exhausted = self.is_exhausted
        self.used += byte_count
        self.exhausted_count += self.is_exhausted and not was_exhausted

    def readable_part(self, read_buffer: bytearray) -> bytearray | memoryview:
        """Return as much of a read buffer as may be read from a connection at a time."""
        left = self.limit - self.used
        if left >= len(read_buffer):
            return read_buffer
        return memoryview(read_buffer)[: max(left, SMALL_BUFFER_BYTES)]

    def share(self, least: int, most: int, parts: int) -> int:
        """Return the bytes for each of so many parts of the budget, from `least` to `most`."""
        return min(max(self.limit // parts, least), most)


class BufferAccount:
    """The bytes that one connection holds of the budget."""

    __slots__ = ("_budget", "held")

    def __init__(self, budget: MemoryBudget) -> None:
        """Initialize with no bytes held."""
        self._budget = budget
        self.held = 0

    def update(self, byte_count: int) -> None:
        """Record how many bytes the connection holds now."""
        if byte_count != self.held:
            self._budget.change(byte_count - self.held)
            self.held = byte_count

    @property
    def may_grow(self) -> bool:
        """Whether the connection may buffer more: it holds little, or others leave enough."""
        return self.held < SMALL_BUFFER_BYTES or not self._budget.is_exhausted
