"""Detection of clients that disconnect while reading from their connection is paused.

An event loop reports the end of a connection only while it reads from it.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
from collections.abc import Callable

PEER_CLOSED_EVENTS = select.EPOLLRDHUP  # epoll reports a reset even if it is not requested
BROKEN_EVENTS = select.EPOLLHUP | select.EPOLLERR


class DisconnectMonitor:
    """An epoll set that the event loop watches; each descriptor is reported once.

    A callback's argument is True for a broken connection, and False if the peer has closed its sending side.
    A full close by the peer looks the same as that.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create the epoll set and register it with the loop."""
        self.loop = loop
        self.epoll = select.epoll()
        self.callbacks: dict[int, Callable[[bool], None]] = {}
        loop.add_reader(self.epoll.fileno(), self.handle_events)

    def watch(self, descriptor: int, callback: Callable[[bool], None]) -> None:
        """Call `callback` once when the connection of `descriptor` ends."""
        if descriptor in self.callbacks:  # left by a closed connection; the number was reused
            self.unregister(descriptor)
        try:
            self.epoll.register(descriptor, PEER_CLOSED_EVENTS)
        except OSError:
            # Out of memory. The disconnect is found when the connection is read again, or before an attempt.
            return
        self.callbacks[descriptor] = callback

    def unwatch(self, descriptor: int, callback: Callable[[bool], None]) -> None:
        """Stop watching a descriptor, unless it now belongs to another connection."""
        if self.callbacks.get(descriptor) == callback:
            self.unregister(descriptor)

    def unregister(self, descriptor: int) -> None:
        """Remove a watched descriptor, even if it is closed and so no longer in the epoll set."""
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
