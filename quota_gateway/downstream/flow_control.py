"""Flow control and closing of an accepted connection, whatever protocol it carries."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Protocol, cast

from quota_gateway.downstream.connection_limits import UnreadResponseTimer
from quota_gateway.downstream.disconnect_monitor import DisconnectMonitor, has_unread_input


class Listener(Protocol):
    """What a connection shares with the others of its listener."""

    clock: Callable[[], float]  # the time in seconds
    read_buffer: bytearray  # what is read is copied out before the next read
    disconnect_monitor: DisconnectMonitor


class FlowControlledConnection(asyncio.BufferedProtocol, ABC):
    """A connection with flow control in both directions, which is closed in an orderly way."""

    def __init__(self, listener: Listener) -> None:
        """Start without a transport."""
        self.listener = listener
        self.transport: asyncio.Transport | None = None  # set while the connection is open
        self.descriptor = -1
        self.unread = b""  # bytes that have been received and not processed
        self.last_read_at = (
            listener.clock()
        )  # seconds: when something was last received, or reading was resumed
        self.unread_response_timer = UnreadResponseTimer()
        self.closing_since = 0.0  # seconds
        self.read_paused = False  # reading is paused
        self.write_paused = False  # writing is paused: the client doesn't read
        self.ended = False  # nothing that is received is processed any more
        self.closing = False  # the last response has been written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's has the methods, not the base class
        self.descriptor = self.transport.get_extra_info("socket").fileno()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer to read into (asyncio)."""
        return self.listener.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Copy out what was read, as the next connection reads into the same buffer (asyncio)."""
        self.data_received(bytes(memoryview(self.listener.read_buffer)[:nbytes]))

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
            self.transport.pause_reading()
            self.listener.disconnect_monitor.watch(self.descriptor, self.handle_disconnect)

    def resume_reading(self) -> None:
        """Read again, if reading is paused."""
        if self.read_paused and self.transport is not None:
            self.read_paused = False
            self.listener.disconnect_monitor.unwatch(self.descriptor, self.handle_disconnect)
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Note that the client doesn't read (asyncio)."""
        self.write_paused = True
        self.unread_response_timer.start(self.listener.clock(), self.unsent_bytes())

    def resume_writing(self) -> None:
        """Note that the client reads again (asyncio)."""
        self.write_paused = False

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
