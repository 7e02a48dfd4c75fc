"""Bounds on when input came that is read only now: the time of a request counts from its arrival.

Bytes of a client may lie in the kernel while reading is paused, while its connection waits to be accepted,
and while this process does not run or its event loop is busy. A client may also have left meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

TURN_INTERVAL = 0.025  # seconds between two turns of the event loop that are noted, unless it is held up


class EventLoopMonitor:
    """Notes since when the event loop has reported all input that there was.

    Input that a turn of the loop reports came after `previous_turn_at`: between that time and the latest
    noted turn the loop looked at all watched sockets once, and reported what it found.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        """Start to note turns of `loop`, by `clock` in seconds."""
        self._loop = loop
        self._clock = clock
        self.previous_turn_at = clock()
        self._latest_turn_at = self.previous_turn_at
        self._timer = loop.call_later(TURN_INTERVAL, self._note_turn)

    def close(self) -> None:
        """Note no further turns."""
        self._timer.cancel()

    def _note_turn(self) -> None:
        self.previous_turn_at = self._latest_turn_at
        self._latest_turn_at = self._clock()
        self._timer = self._loop.call_later(TURN_INTERVAL, self._note_turn)


class ArrivalBound:
    """The earliest time at which input of one socket may have come that is read now."""

    __slots__ = ("_monitor", "_waiting_since", "_watched_since")

    def __init__(self, monitor: EventLoopMonitor, waiting_since: float, now: float) -> None:
        """Take a socket that the loop watches from now on; its input may wait since `waiting_since`."""
        self._monitor = monitor
        self._waiting_since = waiting_since
        self._watched_since = now

    def earliest(self) -> float:
        """Return the earliest time, in seconds."""
        previous_turn_at = self._monitor.previous_turn_at
        return previous_turn_at if previous_turn_at >= self._watched_since else self._waiting_since

    def leave_unread(self, now: float) -> None:
        """Note that input may be left unread, or that the socket is not watched from now on."""
        self._waiting_since = self.earliest()
        self._watched_since = now

    def mark_empty(self, now: float) -> None:
        """Note that all input has been read."""
        self._waiting_since = now
        self._watched_since = now

    def watch(self, now: float) -> None:
        """Note that the socket is watched again."""
        self._watched_since = now
