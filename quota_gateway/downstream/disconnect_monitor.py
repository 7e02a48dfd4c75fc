"""Detection of clients that disconnect while their connection is not read.

An event loop reports the end of a connection only where it reads it.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
from collections.abc import Callable

PEER_CLOSED_EVENTS = select.EPOLLRDHUP  # a reset is reported without being asked for
BROKEN_EVENTS = select.EPOLLHUP | select.EPOLLERR


class DisconnectMonitor:
    """An epoll set that the loop watches; each descriptor is reported once.

    A callback's argument is True for a broken connection, and False for one whose peer has only ended its
    sending, which a close looks like too.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Open the epoll set and add it to the loop's readers."""
        self.loop = loop
        self.epoll = select.epoll()
        self.callbacks: dict[int, Callable[[bool], None]] = {}
        loop.add_reader(self.epoll.fileno(), self.handle_events)

    def watch(self, descriptor: int, callback: Callable[[bool], None]) -> None:
        """Report the end of this connection, once."""
        if descriptor in self.callbacks:  # of a closed connection whose number was reused
            self.unregister(descriptor)
        try:
            self.epoll.register(descriptor, PEER_CLOSED_EVENTS)
        except (
            OSError
        ):  # no memory: a disconnect shows once the connection is read again, or before an attempt
            return
        self.callbacks[descriptor] = callback

    def unwatch(self, descriptor: int, callback: Callable[[bool], None]) -> None:
        """Stop watching, unless the descriptor has become another connection's."""
        if self.callbacks.get(descriptor) == callback:
            self.unregister(descriptor)

    def unregister(self, descriptor: int) -> None:
        """Remove a watched descriptor, also one that is closed and therefore out of the epoll set."""
        del self.callbacks[descriptor]
        with contextlib.suppress(OSError):
            self.epoll.unregister(descriptor)

    def handle_events(self) -> None:
        """Report the connections that have ended."""
        for descriptor, events in self.epoll.poll(0):
            callback = self.callbacks[descriptor]
            self.unregister(descriptor)
            callback(bool(events & BROKEN_EVENTS))

    def close(self) -> None:
        """Close the epoll set."""
        self.loop.remove_reader(self.epoll.fileno())
        self.epoll.close()
