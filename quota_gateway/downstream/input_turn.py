"""Turns of connections: one that sends a lot at once leaves the event loop to others in between."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MAX_REQUESTS_PER_TURN = 16  # requests of one connection handled before others get their turn


class InputTurn:
    """The turn of one connection. Once it is over, input waits for a later iteration of the event loop."""

    __slots__ = ("_handle", "_loop", "_resume")

    def __init__(self, loop: asyncio.AbstractEventLoop, resume: Callable[[], None]) -> None:
        """Initialize for a connection whose turn goes on; `resume` is called when the next one begins."""
        self._loop = loop
        self._resume = resume
        self._handle: asyncio.Handle | None = None

    @property
    def is_over(self) -> bool:
        """Whether further input has to wait."""
        return self._handle is not None

    def end(self) -> None:
        """End the turn; the next one begins after the event loop has looked after other connections."""
        if self._handle is None:
            self._handle = self._loop.call_soon(self._begin_next)

    def _begin_next(self) -> None:
        self._handle = None
        self._resume()
