"""Graceful shutdown: its steps and their timeouts."""

from __future__ import annotations

import asyncio

from quota_gateway.dispatch.dispatcher import RequestDispatcher
from quota_gateway.downstream.client_listener import ClientListener
from quota_gateway.model.settings import Settings

# Seconds after SIGTERM during which the protocol lets clients connect, plus a margin
ACCEPT_WINDOW = 0.5
# Longest deadline of a request class, in seconds, that the platform allows for before it sends SIGKILL
MAX_DEADLINE = 3.0
# Seconds by which the time from SIGTERM to SIGKILL exceeds the longest deadline
KILL_DELAY = 0.7
KILL_MARGIN = 0.3  # seconds before SIGKILL by which every request must have its response
# Seconds to wait for data that is in transit on the most recently accepted connections
FINAL_READ_WINDOW = 0.15
READ_INTERVAL = 0.02  # seconds that the event loop gets to read data that has just arrived
FLUSH_TIMEOUT = 0.25  # minimum seconds that clients get to receive the last responses


def shutdown_timeout_for(settings: Settings) -> float:
    """Return the seconds after SIGTERM within which every request must get its response."""
    longest_deadline = max(request_class.deadline for request_class in settings.request_classes)
    return min(longest_deadline, MAX_DEADLINE) + KILL_DELAY - KILL_MARGIN


class GracefulShutdown:
    """Stops accepting clients, and waits until every received request has its response."""

    def __init__(self, listener: ClientListener, dispatcher: RequestDispatcher, timeout: float) -> None:
        """Initialize with the components to drain; `timeout` is in seconds from the start of `run`."""
        self.listener = listener
        self.dispatcher = dispatcher
        self.timeout = timeout
        self.loop = asyncio.get_running_loop()

    async def run(self, accept_window: float = ACCEPT_WINDOW) -> None:
        """Drain the gateway, then close the listening socket and all client connections.

        New connections are accepted for another `accept_window` seconds.
        """
        deadline = self.loop.time() + self.timeout
        self.listener.stopping = True
        await asyncio.sleep(accept_window)
        await self._stop_listening(deadline)
        await self._drain(deadline)
        self.dispatcher.fail_all_unanswered()
        self.listener.close_idle()
        await self.listener.wait_until_flushed(max(deadline - self.loop.time(), FLUSH_TIMEOUT))
        self.listener.close()

    async def _stop_listening(self, deadline: float) -> None:
        """Accept all connections in the listen queue, and close the listening socket.

        The socket stays open while there is no capacity for all of them, as closing it would reset the rest.
        """
        while not self.listener.stop_listening():
            if self.loop.time() >= deadline:
                break
            await asyncio.sleep(READ_INTERVAL)
        await asyncio.sleep(FINAL_READ_WINDOW)

    async def _drain(self, deadline: float) -> None:
        """Wait until no open connection can have a request that is in flight or partly read."""
        self.listener.close_idle()
        await asyncio.sleep(READ_INTERVAL)
        while await self.dispatcher.wait_until_answered(deadline - self.loop.time()):
            self.listener.close_idle()
            if not self.listener.has_open_connections() or self.loop.time() >= deadline:
                break
            await asyncio.sleep(READ_INTERVAL)  # let the event loop read the rest of a partly read request
