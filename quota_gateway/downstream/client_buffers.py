"""The buffers of client connections, and their sizes for the memory that the process has."""

from __future__ import annotations

from quota_gateway.body_streaming import MAX_BUFFERED_BYTES, READ_BUFFER_BYTES
from quota_gateway.memory_budget import MemoryBudget

MIN_STREAM_CAPACITY = 8 * 1024  # bytes of a streamed body that are buffered, however little memory there is
EXPECTED_STREAMS = 64  # streamed bodies at a time for which buffers of full size should fit


class ClientBuffers:
    """What all client connections share to buffer their input and output."""

    __slots__ = ("memory", "read_buffer", "stream_capacity", "write_limit")

    def __init__(self, memory: MemoryBudget, max_connections: int) -> None:
        """Initialize for at most so many connections, whose buffers count in `memory`."""
        self.memory = memory
        self.read_buffer = bytearray(READ_BUFFER_BYTES)  # data is copied out of it before the next read
        # Bytes that a transport may hold before its source is paused.
        self.write_limit = memory.share(0, READ_BUFFER_BYTES, max(max_connections, 1))
        # Bytes of a streamed body at which reading pauses.
        self.stream_capacity = memory.share(MIN_STREAM_CAPACITY, MAX_BUFFERED_BYTES, EXPECTED_STREAMS)
