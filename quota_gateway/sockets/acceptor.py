"""Accepts connections from a listening socket in the event loop and creates a protocol for each."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable


class Acceptor:
    """Owns a listening socket and the tasks that set up its accepted connections.

    The event loop's own server closes queued connections when no file descriptor is left. With this class
    they stay in the kernel's queue.
    """

    def __init__(
        self, create_protocol: Callable[[], asyncio.Protocol], retry_delay: float | None = None
    ) -> None:
        """Initialize without a socket; `create_protocol` is called for each accepted connection.

        After a failed accept the socket is not watched for `retry_delay` seconds. If that is None, the event
        loop retries the accept as long as a connection is queued.
        """
        self.create_protocol = create_protocol
        self.retry_delay = retry_delay
        self.listener: socket.socket | None = None
        self.loop = asyncio.get_running_loop()
        self._retry_timer: asyncio.TimerHandle | None = None
        self._setup_tasks: set[asyncio.Task[None]] = set()

    def start(self, listener: socket.socket) -> None:
        """Accept connections from a non-blocking listening socket, which this object then owns."""
        self.listener = listener
        self.loop.add_reader(listener, self._accept)

    def close(self) -> None:
        """Close the listening socket; accepted connections stay open."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def _accept(self) -> None:
        if self.listener is None:
            return
        try:
            connection, _ = self.listener.accept()
        except BlockingIOError:
            return
        except OSError:  # no descriptor is left, or the peer has already disconnected
            self._pause()
            return
        connection.setblocking(False)
        task = self.loop.create_task(self._set_up(self.create_protocol(), connection))
        self._setup_tasks.add(task)
        task.add_done_callback(self._setup_tasks.discard)

    def _pause(self) -> None:
        if self.retry_delay is None or self.listener is None:
            return
        self.loop.remove_reader(self.listener)
        self._retry_timer = self.loop.call_later(self.retry_delay, self._resume)

    def _resume(self) -> None:
        if self.listener is not None:
            self.loop.add_reader(self.listener, self._accept)

    async def _set_up(self, protocol: asyncio.Protocol, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, connection)
        except OSError:
            connection.close()
            protocol.connection_lost(None)
