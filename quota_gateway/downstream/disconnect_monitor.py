"""Tells of peers that end while nothing is read from them: the loop tells of an end only where it reads."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

ENDS = select.EPOLLRDHUP  # a reset is told of without being asked for
BROKEN = select.EPOLLHUP | select.EPOLLERR


class DisconnectMonitor:
    """An epoll set of its own, itself watched by the loop; each descriptor is told of once.

    `told` is called with True for a connection that is broken, False for one whose peer only ended its
    sending, which is also what a close looks like.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.epoll = select.epoll()
        self.watched: dict[int, Callable[[bool], None]] = {}
        loop.add_reader(self.epoll.fileno(), self.look)

    def watch(self, descriptor: int, told: Callable[[bool], None]) -> None:
        if descriptor in self.watched:  # of a connection that has ended, and whose number came back
            self.leave(descriptor)
        self.watched[descriptor] = told
        self.epoll.register(descriptor, ENDS)

    def unwatch(self, descriptor: int, told: Callable[[bool], None]) -> None:
        """The descriptor may be another connection's by now: its watch stays."""
        if self.watched.get(descriptor) == told:
            self.leave(descriptor)

    def leave(self, descriptor: int) -> None:
        del self.watched[descriptor]
        try:
            self.epoll.unregister(descriptor)
        except OSError:  # closed, and with that out of the set
            pass

    def look(self) -> None:
        for descriptor, what in self.epoll.poll(0):
            told = self.watched.get(descriptor)
            self.leave(descriptor) if told is not None else self.epoll.unregister(descriptor)
            if told is not None:
                told(bool(what & BROKEN))

    def close(self) -> None:
        self.loop.remove_reader(self.epoll.fileno())
        self.epoll.close()
