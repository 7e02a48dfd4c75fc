"""Lower bounds on arrival times of input: the time budget of a request starts when it arrives.

A client's bytes may wait in the kernel while reading is paused, while its connection is in the listen queue,
and while this process is suspended or its event loop is busy. The client may have disconnected in that time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

RECORDING_INTERVAL = 0.025  # seconds between two recorded iterations of the event loop, more if it is blocked


class EventLoopMonitor:
    """Records iterations of the event loop, to bound the arrival time of the input that it reports.

    Input that the loop reports now arrived after `previous_iteration_at`: between that time and the latest
    recorded iteration the loop polled all watched sockets at least once, and reported what it found.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        """Start to record iterations of `loop`; `clock` returns the time in seconds."""
        self._loop = loop
        self._clock = clock
        self.previous_iteration_at = clock()
        self._latest_iteration_at = self.previous_iteration_at
        self._timer = loop.call_later(RECORDING_INTERVAL, self._record_iteration)

    def close(self) -> None:
        """Stop recording iterations."""
        self._timer.cancel()

    def _record_iteration(self) -> None:
        self.previous_iteration_at = self._latest_iteration_at
        self._latest_iteration_at = self._clock()
        self._timer = self._loop.call_later(RECORDING_INTERVAL, self._record_iteration)


class ArrivalBound:
    """The earliest time at which the input that is now read from a socket may have arrived."""

    __slots__ = ("_monitor", "_waiting_since", "_watched_since")

    def __init__(self, monitor: EventLoopMonitor, waiting_since: float, now: float) -> None:
        """Initialize for a socket that the loop watches from `now` on.

        Its input may have been waiting since `waiting_since`. All times are seconds.
        """
        self._monitor = monitor
        self._waiting_since = waiting_since
        self._watched_since = now

    def earliest(self) -> float:
        """Return the earliest possible arrival time, in seconds."""
        previous_iteration_at = self._monitor.previous_iteration_at
        return previous_iteration_at if previous_iteration_at >= self._watched_since else self._waiting_since

    def mark_unread(self, now: float) -> None:
        """Record that input may remain unread, or that the loop no longer watches the socket."""
        self._waiting_since = self.earliest()
        self._watched_since = now

    def mark_all_read(self, now: float) -> None:
        """Record that all input has been read."""
        self._waiting_since = now
        self._watched_since = now

    def watch(self, now: float) -> None:
        """Record that the loop watches the socket again."""
        self._watched_since = now
