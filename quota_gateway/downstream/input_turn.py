"""Turns of connections: one that sends a lot at once leaves the event loop to others in between."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MAX_REQUESTS_PER_TURN = 16  # requests of one connection handled before others get their turn
# Requests of all connections in one iteration of the event loop, after which each has turns of one request.
MAX_REQUESTS_PER_ITERATION = 64


class TurnBudget:
    """Counts the requests that all connections have handled in the current iteration of the event loop."""

    __slots__ = ("_loop", "_request_count")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Initialize without requests."""
        self._loop = loop
        self._request_count = 0

    def turn_size(self) -> int:
        """Return how many requests a connection may handle in a turn that begins now."""
        return MAX_REQUESTS_PER_TURN if self._request_count < MAX_REQUESTS_PER_ITERATION else 1

    def record_requests(self, count: int) -> None:
        """Count requests that have been handled."""
        if count and not self._request_count:
            self._loop.call_soon(self._begin_iteration)
        self._request_count += count

    def _begin_iteration(self) -> None:
        self._request_count = 0


class InputTurn:
    """The turn of one connection. Once it is over, input waits for a later iteration of the event loop."""

    __slots__ = ("_handle", "_loop", "_resume")

    def __init__(self, loop: asyncio.AbstractEventLoop, resume: Callable[[], None]) -> None:
        """Initialize for a connection whose turn goes on; `resume` is called when the next one begins."""
        self._loop = loop
        self._resume: Callable[[], None] | None = resume  # None once the connection is closed
        self._handle: asyncio.Handle | None = None

    @property
    def is_over(self) -> bool:
        """Whether further input has to wait."""
        return self._handle is not None

    def end(self) -> None:
        """End the turn; the next one begins after the event loop has looked after other connections."""
        if self._handle is None:
            self._handle = self._loop.call_soon(self._begin_next)

    def close(self) -> None:
        """Begin no further turn, and release the callback: it holds the connection that owns this turn."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        self._resume = None

    def _begin_next(self) -> None:
        self._handle = None
        if self._resume is not None:
            self._resume()
