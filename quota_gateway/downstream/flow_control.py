"""Flow control and orderly closing of an accepted connection, for any protocol on top of it."""

from __future__ import annotations

import asyncio
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Protocol, cast

from quota_gateway.body_streaming import READ_BUFFER_BYTES
from quota_gateway.downstream.arrival_bound import ArrivalBound, EventLoopMonitor
from quota_gateway.downstream.client_buffers import ClientBuffers
from quota_gateway.downstream.connection_limits import UnreadResponseTimer
from quota_gateway.downstream.disconnect_monitor import DisconnectMonitor
from quota_gateway.memory_budget import BufferAccount
from quota_gateway.sockets.kernel_state import has_unread_input, may_hide_close, seconds_since_last_data

# Input that has waited unread for at most this many seconds counts as having arrived when it is read. The
# protocol allows an attempt up to 0.1 after its client's close, and lets the time budget that an endpoint
# receives exceed the client's remaining time by 0.15.
ARRIVAL_TOLERANCE = 0.06
HEAD_END = b"\r\n\r\n"


class Listener(Protocol):
    """What all connections of a listener share."""

    clock: Callable[[], float]  # the time in seconds
    buffers: ClientBuffers
    disconnect_monitor: DisconnectMonitor
    loop_monitor: EventLoopMonitor


class FlowControlledConnection(asyncio.BufferedProtocol, ABC):
    """A connection with flow control in both directions and an orderly close."""

    def __init__(self, listener: Listener, waiting_since: float) -> None:
        """Initialize without a transport; input may have been waiting since `waiting_since`, in seconds."""
        self.listener = listener
        self.transport: asyncio.Transport | None = None  # set while the connection is open
        self.socket: socket.socket | None = None
        self.descriptor = -1
        self.unread = b""  # bytes that have been received but not processed
        self.memory = BufferAccount(listener.buffers.memory)
        self.read_size = READ_BUFFER_BYTES  # the most bytes that the current read may return
        # seconds: time at which data was last received, or reading was resumed
        self.last_read_at = listener.clock()
        self.arrival_bound = ArrivalBound(listener.loop_monitor, waiting_since, self.last_read_at)
        self.last_arrival_bound = waiting_since  # seconds: earliest arrival time of the latest bytes
        self.unread_response_timer = UnreadResponseTimer()
        self.closing_since = 0.0  # seconds: start of the linger timeout
        self.read_paused = False
        self.write_paused = False  # the transport's buffer is full: the client doesn't read
        self.input_ended = False  # no further request is accepted
        self.closing = False  # the last response has been passed to the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and its socket (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's has the methods but not the base class
        sock = self.transport.get_extra_info("socket")
        self.socket = sock
        self.descriptor = sock.fileno()
        self.transport.set_write_buffer_limits(high=self.listener.buffers.write_limit)
        self.arrival_bound.watch(self.listener.clock())

    def get_buffer(self, sizehint: int) -> bytearray | memoryview:
        """Return the buffer to read into, a part of it while memory is short (asyncio)."""
        buffers = self.listener.buffers
        part = buffers.memory.readable_part(buffers.read_buffer)
        self.read_size = len(part)
        return part

    def buffer_updated(self, nbytes: int) -> None:
        """Copy the data out of the buffer, which all connections share (asyncio)."""
        self.data_received(bytes(memoryview(self.listener.buffers.read_buffer)[:nbytes]))

    def arrival_time(self, data: bytes) -> float:
        """Return the arrival time of a request that ends in `data`, which has just been read.

        It is the current time, unless the process was blocked or reading was paused. Then it is when the
        kernel received the bytes. If that is unknown, since `data` holds several requests or the kernel
        does not report it, the earliest possible arrival time is returned.
        """
        now = self.last_read_at
        earliest = self.arrival_bound.earliest()
        self.last_arrival_bound = earliest
        if len(data) >= self.read_size:
            self.arrival_bound.mark_unread(now)
        if now - earliest <= ARRIVAL_TOLERANCE:
            return now
        age = None if data.count(HEAD_END) > 1 else self.seconds_since_last_data()
        return earliest if age is None else max(earliest, now - age)

    def seconds_since_last_data(self) -> float | None:
        """Return how many seconds ago the client's latest bytes arrived, None if unknown."""
        return seconds_since_last_data(self.socket) if self.socket is not None else None

    def earliest_close(self) -> float:
        """Return the earliest time at which a close that is reported now may have arrived."""
        earliest = self.listener.loop_monitor.previous_iteration_at
        # a close from before the latest read arrived with those bytes, and is reported after them
        return earliest if earliest >= self.last_read_at else min(earliest, self.last_arrival_bound)

    def may_have_hidden_close(self) -> bool:
        """Return True if a close may lie behind input that has been left unread for a while."""
        is_old = self.listener.clock() - self.last_read_at > ARRIVAL_TOLERANCE
        return self.read_paused and is_old and may_hide_close(self.descriptor)

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Process received bytes."""

    @abstractmethod
    def handle_disconnect(self, broken: bool) -> None:
        """Handle a disconnect while reading is paused; for `broken` see DisconnectMonitor."""

    @abstractmethod
    def before_close(self) -> None:
        """Check what must hold whenever the gateway closes the connection without a reset."""

    def release(self) -> None:
        """Drop the buffers of a connection that has ended or never opened.

        Subclasses break the reference cycles: the garbage collector goes by the number of objects, and would
        find connections only after thousands of them, each with up to 64 KiB.
        """
        self.input_ended = True
        self.unread = b""
        self.memory.update(0)

    def pause_reading(self) -> None:
        """Leave further input in the kernel, and watch for a disconnect instead."""
        if not self.read_paused and self.transport is not None:
            self.read_paused = True
            self.arrival_bound.mark_unread(self.listener.clock())
            self.transport.pause_reading()
            self.listener.disconnect_monitor.watch(self.descriptor, self.handle_disconnect)

    def resume_reading(self) -> None:
        """Resume reading if it is paused."""
        if self.read_paused and self.transport is not None:
            self.read_paused = False
            self.arrival_bound.watch(self.listener.clock())
            self.listener.disconnect_monitor.unwatch(self.descriptor, self.handle_disconnect)
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Start the timeout of a client that doesn't read its responses (asyncio)."""
        self.write_paused = True
        self.unread_response_timer.start(self.listener.clock(), self.unsent_bytes())

    def resume_writing(self) -> None:
        """Stop the timeout of a client that reads again (asyncio)."""
        self.write_paused = False
        self.unread_response_timer.stop()

    def unsent_bytes(self) -> int:
        """Return the number of written bytes that the kernel has not accepted yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def has_unread_input(self) -> bool:
        """Return True if the kernel holds unread bytes, or an unread end of stream, from the client."""
        return has_unread_input(self.descriptor)

    def close_gracefully(self) -> None:
        """Close gracefully after the last response.

        Input that still arrives is read and discarded. Left unread, it would reset the connection before
        the client has read the response.
        """
        self.before_close()
        self.input_ended = True
        if self.closing or self.transport is None or self.transport.is_closing():
            return
        self.closing = True
        self.closing_since = self.listener.clock()
        self.resume_reading()
        self.unread = b""
        try:
            self.transport.write_eof()
        except OSError:  # reset by the client, which not every event loop reports before this
            self.transport.abort()

    def close_immediately(self) -> None:
        """Close immediately: no response is pending, or the client had its time to read one."""
        self.before_close()
        self.input_ended = True
        self.closing = True
        if self.transport is None:
            return
        if self.write_paused:
            self.transport.abort()
        else:
            self.transport.close()

    def reset(self) -> None:
        """Reset the connection, which tells the client that a streamed response is incomplete."""
        self.input_ended = True
        self.closing = True
        if self.transport is not None:
            self.transport.abort()
