"""The timeout of a connection whose endpoint does not take the data that is written to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quota_gateway.sockets.kernel_state import unacknowledged_bytes

# Longest time in seconds in which an endpoint must take some of the data: one that reads slowly does so in
# steps, since its machine tells of free space only once there is enough of it.
WRITE_TIMEOUT = 10.0
CHECK_INTERVAL = 0.5  # seconds between checks whether some of the data has been taken


class WriteTimeout:
    """Runs while a transport holds data that the kernel does not accept; restarts whenever some is taken."""

    __slots__ = (
        "_descriptor",
        "_loop",
        "_on_timeout",
        "_progress_at",
        "_timer",
        "_transport",
        "_untaken_bytes",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Initialize a stopped timeout."""
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.WriteTransport | None = None  # set while the timeout runs, like the next two
        self._descriptor = -1
        self._on_timeout: Callable[[], None] | None = None
        self._untaken_bytes = 0
        self._progress_at = 0.0  # seconds on the loop's clock: when some of the data was last taken

    def start(
        self, transport: asyncio.WriteTransport, descriptor: int, on_timeout: Callable[[], None]
    ) -> None:
        """Start the timeout anew for the connection with this transport and descriptor."""
        self._transport = transport
        self._descriptor = descriptor
        self._on_timeout = on_timeout
        self._untaken_bytes = self._count_untaken_bytes()
        self._progress_at = self._loop.time()
        self._schedule_check()

    def stop(self) -> None:
        """Stop the timeout: the kernel has accepted all data, or the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._transport = None
        self._on_timeout = None

    def _schedule_check(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(CHECK_INTERVAL, self._check_progress)

    def _check_progress(self) -> None:
        untaken_bytes = self._count_untaken_bytes()
        if untaken_bytes < self._untaken_bytes:
            self._untaken_bytes = untaken_bytes
            self._progress_at = self._loop.time()
        if self._loop.time() - self._progress_at < WRITE_TIMEOUT:
            self._schedule_check()
        elif self._on_timeout is not None:
            self._on_timeout()

    def _count_untaken_bytes(self) -> int:
        """Return how many written bytes the endpoint's machine has not taken, as far as the kernel tells."""
        buffered_bytes = self._transport.get_write_buffer_size() if self._transport is not None else 0
        return buffered_bytes + (unacknowledged_bytes(self._descriptor) or 0)
