"""Clients that end their sending while requests are in flight.

The protocol treats such a client as disconnected, though it may only have half-closed its connection and
still read its responses.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from quota_gateway.dispatch.dispatcher import RequestDispatcher
from quota_gateway.downstream.response_queue import ResponseQueue

# Seconds in which an attempt may still begin: a client that reads is served if no connect takes longer.
GRACE_PERIOD = 0.03
# Seconds after the client's close in which an attempt may begin. The protocol allows 0.1.
MAX_START_DELAY = 0.08


class DispatchingListener(Protocol):
    """What is needed of the listener that accepted the connection."""

    clock: Callable[[], float]  # the time in seconds
    loop: asyncio.AbstractEventLoop
    dispatcher: RequestDispatcher


class HalfClose:
    """The half-close of one connection, and the grace period after it."""

    __slots__ = ("begun", "listener", "responses", "timer")

    def __init__(self, listener: DispatchingListener, responses: ResponseQueue) -> None:
        """Take the listener, and the connection's responses."""
        self.listener = listener
        self.responses = responses
        self.begun = False
        self.timer: asyncio.TimerHandle | None = None

    def begin(self, earliest_close: float) -> None:
        """Limit the start of attempts to the grace period, for all unanswered requests.

        The client may have closed at `earliest_close` already, in seconds: the grace period ends in time for
        that.
        """
        if self.begun:
            return
        self.begun = True
        now = self.listener.clock()
        grace_period = min(GRACE_PERIOD, max(earliest_close + MAX_START_DELAY - now, 0.0))
        for request_id in self.responses.unanswered():
            self.listener.dispatcher.limit_attempt_start(request_id, now + grace_period)
        self.timer = self.listener.loop.call_later(grace_period, self.end_grace_period)

    def end_grace_period(self) -> None:
        """Have no further attempts started for the requests that are still unanswered."""
        self.timer = None
        for request_id in self.responses.unanswered():
            self.listener.dispatcher.client_half_closed(request_id)

    def cancel(self) -> None:
        """End the grace period of a connection that is lost."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
