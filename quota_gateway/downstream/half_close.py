"""Handling of clients that close their sending side while requests are in flight.

The protocol treats such a client as disconnected, though it may only have half-closed its connection and
still read its responses.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from quota_gateway.dispatch.dispatcher import RequestDispatcher
from quota_gateway.downstream.response_queue import ResponseQueue

# Seconds after a half-close is found in which attempts may still start: a client that still reads gets its
# response if the connect to the endpoint takes no longer.
GRACE_PERIOD = 0.03
# Seconds after the client's close in which an attempt may start. The protocol allows 0.1.
MAX_ATTEMPT_START_DELAY = 0.08


class DispatchingListener(Protocol):
    """The parts of a listener that the handling of a half-close uses."""

    clock: Callable[[], float]  # the time in seconds
    loop: asyncio.AbstractEventLoop
    dispatcher: RequestDispatcher


class HalfClose:
    """The half-close of one connection, and the grace period after it."""

    __slots__ = ("is_started", "listener", "responses", "timer")

    def __init__(self, listener: DispatchingListener, responses: ResponseQueue) -> None:
        """Initialize for an open connection with these pending responses."""
        self.listener = listener
        self.responses = responses
        self.is_started = False
        self.timer: asyncio.TimerHandle | None = None

    def start(self, earliest_close: float) -> None:
        """Let attempts for the unanswered requests start only within a grace period.

        The client may have closed as early as `earliest_close`, in seconds. The grace period is short enough
        that no attempt starts more than MAX_ATTEMPT_START_DELAY after that time.
        """
        if self.is_started:
            return
        self.is_started = True
        now = self.listener.clock()
        grace_period = min(GRACE_PERIOD, max(earliest_close + MAX_ATTEMPT_START_DELAY - now, 0.0))
        for request_id in self.responses.unanswered():
            self.listener.dispatcher.set_attempt_start_deadline(request_id, now + grace_period)
        self.timer = self.listener.loop.call_later(grace_period, self.end_grace_period)

    def end_grace_period(self) -> None:
        """Let no further attempt start for the requests that are still unanswered."""
        self.timer = None
        for request_id in self.responses.unanswered():
            self.listener.dispatcher.client_half_closed(request_id)

    def cancel(self) -> None:
        """Cancel the grace period of a lost connection."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
