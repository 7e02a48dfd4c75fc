"""Flow control and closing of an accepted connection, whatever protocol it carries."""

from __future__ import annotations

import asyncio
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Protocol, cast

from quota_gateway.body_streaming import READ_BUFFER_BYTES
from quota_gateway.downstream.arrival_bound import ArrivalBound, EventLoopMonitor
from quota_gateway.downstream.connection_limits import UnreadResponseTimer
from quota_gateway.downstream.disconnect_monitor import DisconnectMonitor
from quota_gateway.sockets.kernel_state import has_unread_input, seconds_since_last_data

# Seconds up to which input may have waited unread and still counts as having come when it is read. The
# protocol allows 0.1 for an attempt after its client's close, and 0.15 for the time that an endpoint is told.
ARRIVAL_TOLERANCE = 0.06
HEAD_END = b"\r\n\r\n"


class Listener(Protocol):
    """What a connection shares with the others of its listener."""

    clock: Callable[[], float]  # the time in seconds
    read_buffer: bytearray  # what is read is copied out before the next read
    disconnect_monitor: DisconnectMonitor
    loop_monitor: EventLoopMonitor


class FlowControlledConnection(asyncio.BufferedProtocol, ABC):
    """A connection with flow control in both directions, which is closed in an orderly way."""

    def __init__(self, listener: Listener, waiting_since: float) -> None:
        """Start without a transport; what the client sent may wait in the kernel since `waiting_since`."""
        self.listener = listener
        self.transport: asyncio.Transport | None = None  # set while the connection is open
        self.socket: socket.socket | None = None
        self.descriptor = -1
        self.unread = b""  # bytes that have been received and not processed
        self.last_read_at = (
            listener.clock()
        )  # seconds: when something was last received, or reading was resumed
        self.arrival_bound = ArrivalBound(listener.loop_monitor, waiting_since, self.last_read_at)
        self.last_read_bound = waiting_since  # seconds: the earliest time at which the latest bytes came
        self.unread_response_timer = UnreadResponseTimer()
        self.closing_since = 0.0  # seconds
        self.read_paused = False  # reading is paused
        self.write_paused = False  # writing is paused: the client doesn't read
        self.ended = False  # nothing that is received is processed any more
        self.closing = False  # the last response has been written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's has the methods, not the base class
        connected = self.transport.get_extra_info("socket")
        self.socket = connected
        self.descriptor = connected.fileno()
        self.arrival_bound.watch(self.listener.clock())

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer to read into (asyncio)."""
        return self.listener.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Copy out what was read, as the next connection reads into the same buffer (asyncio)."""
        self.data_received(bytes(memoryview(self.listener.read_buffer)[:nbytes]))

    def arrival_time(self, data: bytes) -> float:
        """Return since when the time of a request counts that ends in `data`, which was read just now.

        It is now, unless the process was held up or reading was paused. Then it is when the kernel received
        the bytes. Where that can't be known, the earliest time counts: of several requests, or of a kernel
        that does not tell.
        """
        now = self.last_read_at
        earliest = self.arrival_bound.earliest()
        self.last_read_bound = earliest
        if len(data) >= READ_BUFFER_BYTES:
            self.arrival_bound.leave_unread(now)
        if now - earliest <= ARRIVAL_TOLERANCE:
            return now
        age = None if data.count(HEAD_END) > 1 else self.seconds_since_last_data()
        return earliest if age is None else max(earliest, now - age)

    def seconds_since_last_data(self) -> float | None:
        """Return how long ago the client's latest bytes came, None if unknown."""
        return seconds_since_last_data(self.socket) if self.socket is not None else None

    def earliest_close(self) -> float:
        """Return the earliest time at which a close may have come that is reported now."""
        earliest = self.listener.loop_monitor.previous_turn_at
        # before the latest read it would have come with those bytes, and is reported behind them
        return earliest if earliest >= self.last_read_at else min(earliest, self.last_read_bound)

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Process received bytes."""

    @abstractmethod
    def handle_disconnect(self, broken: bool) -> None:
        """Handle a client that disconnects while reading is paused; see DisconnectMonitor."""

    def pause_reading(self) -> None:
        """Leave what the client sends in the kernel, and watch for its disconnect instead."""
        if not self.read_paused and self.transport is not None:
            self.read_paused = True
            self.arrival_bound.leave_unread(self.listener.clock())
            self.transport.pause_reading()
            self.listener.disconnect_monitor.watch(self.descriptor, self.handle_disconnect)

    def resume_reading(self) -> None:
        """Read again, if reading is paused."""
        if self.read_paused and self.transport is not None:
            self.read_paused = False
            self.arrival_bound.watch(self.listener.clock())
            self.listener.disconnect_monitor.unwatch(self.descriptor, self.handle_disconnect)
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Note that the client doesn't read (asyncio)."""
        self.write_paused = True
        self.unread_response_timer.start(self.listener.clock(), self.unsent_bytes())

    def resume_writing(self) -> None:
        """Note that the client reads again (asyncio)."""
        self.write_paused = False
        self.unread_response_timer.stop()

    def unsent_bytes(self) -> int:
        """Return the number of bytes that the kernel has not taken yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def has_unread_input(self) -> bool:
        """Return True if the client has sent something, or its end, that has not been received."""
        return has_unread_input(self.descriptor)

    def end(self) -> None:
        """Close after the last response.

        The client may have more on its way; read and discarded, it doesn't reset the connection before the
        response is read.
        """
        self.ended = True
        if self.closing or self.transport is None or self.transport.is_closing():
            return
        self.closing = True
        self.closing_since = self.listener.clock()
        self.resume_reading()
        self.unread = b""
        try:
            self.transport.write_eof()
        except OSError:  # reset meanwhile, which not every loop reports first
            self.transport.abort()

    def drop(self) -> None:
        """Close at once a connection that awaits no response, or that had its time to read one."""
        self.ended = True
        self.closing = True
        if self.transport is None:
            return
        if self.write_paused:
            self.transport.abort()
        else:
            self.transport.close()

    def cut_off(self) -> None:
        """Reset the connection, so that the client can tell that a streamed response is incomplete."""
        self.ended = True
        self.closing = True
        if self.transport is not None:
            self.transport.abort()
