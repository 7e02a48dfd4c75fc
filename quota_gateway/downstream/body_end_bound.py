"""Bounds on when a client may have written the last byte of a body that is still being read.

A request's time starts with its last byte. While an endpoint takes nothing of a streamed body, the gateway
does not read the rest, so that the last byte may wait in the kernel or in the client's send buffer.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Most bytes that a client may have written and its kernel not sent: the largest send buffer that Linux gives
# a connection by default.
CLIENT_SEND_BUFFER_BYTES = 4 * 1024 * 1024
# Most bytes that the gateway's kernel may hold unread, for one that does not tell: the largest receive buffer
# that Linux gives a connection by default.
RECEIVE_BUFFER_BYTES = 6 * 1024 * 1024


class ArrivalRecord(NamedTuple):
    """A number of bytes of the body, and a time before which fewer bytes had arrived."""

    since: float  # seconds
    byte_count: int


class BodyEndBound:
    """The earliest time at which the client may have written the last byte of one body.

    When the last byte is written, all but the bytes in the client's send buffer have arrived. So it was not
    written before the time at which this many bytes less than the whole body had arrived. The size of a
    chunked body is unknown, but not smaller than what has arrived by now.
    """

    __slots__ = ("_checked_at", "_length", "_records")

    def __init__(self, length: int | None, started_at: float) -> None:
        """Initialize for a body of `length` bytes, None if chunked, that starts at `started_at` seconds."""
        self._length = length
        self._checked_at = started_at
        self._records: deque[ArrivalRecord] = deque()  # of the time in which input has been waiting

    @property
    def earliest(self) -> float:
        """The earliest time, in seconds, at which the last byte may have been written."""
        return self._records[0].since if self._records else self._checked_at

    def end_of_body(self, size: int, arrived_at: float) -> float:
        """Return the earliest time at which the last of `size` bytes, all read now, may have been written.

        `arrived_at` is when the last of them reached this machine. They may have waited in the client's send
        buffer before, while earlier ones were unread. All times are seconds.
        """
        if not self._records:
            return arrived_at
        size_before = size - CLIENT_SEND_BUFFER_BYTES
        reached = (record.since for record in self._records if record.byte_count >= size_before)
        return min(next(reached, self._checked_at), arrived_at)

    def record_all_read(self, now: float) -> None:
        """Record that all bytes of the client have been read, and the last one is not among them."""
        self._records.clear()
        self._checked_at = now

    def record_arrival(self, byte_count: int, unseen_bytes: int, now: float) -> None:
        """Record that `byte_count` bytes have arrived, of which some are unread.

        The client may have written up to `unseen_bytes` more.
        """
        self._records.append(ArrivalRecord(self._checked_at, byte_count))
        self._checked_at = now
        size = byte_count if self._length is None else self._length
        while self._records and self._records[0].byte_count < size - unseen_bytes:
            self._records.popleft()
