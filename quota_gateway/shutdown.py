"""Graceful shutdown: the order of its steps, and how long each of them may take."""

from __future__ import annotations

import asyncio

from quota_gateway.dispatch.dispatcher import RequestDispatcher
from quota_gateway.downstream.client_listener import ClientListener
from quota_gateway.model.settings import Settings

ACCEPT_WINDOW = 0.5  # seconds after SIGTERM in which clients still connect, by the protocol, and a margin
MAX_DEADLINE = 3.0  # seconds; the platform reckons with no longer deadline of a request class
KILL_DELAY = 0.7  # seconds; SIGKILL comes that long after the longest deadline has passed since SIGTERM
KILL_MARGIN = 0.3  # seconds before SIGKILL by which every request has its response
FINAL_READ_WINDOW = 0.15  # seconds for bytes that are on their way on the connections accepted last
READ_INTERVAL = 0.02  # seconds for the event loop to read what has just arrived
FLUSH_TIMEOUT = 0.25  # seconds, at least, for clients to receive the last responses


def shutdown_timeout_for(settings: Settings) -> float:
    """Return the seconds from SIGTERM by which every request must have its response."""
    longest_deadline = max(request_class.deadline for request_class in settings.request_classes)
    return min(longest_deadline, MAX_DEADLINE) + KILL_DELAY - KILL_MARGIN


class GracefulShutdown:
    """Stops accepting clients, and lets every request that was received have its response."""

    def __init__(self, listener: ClientListener, dispatcher: RequestDispatcher, timeout: float) -> None:
        """Take the parts to drain, and the seconds from the start of `run` that requests have."""
        self.listener = listener
        self.dispatcher = dispatcher
        self.timeout = timeout
        self.loop = asyncio.get_running_loop()

    async def run(self, accept_window: float = ACCEPT_WINDOW) -> None:
        """Drain the gateway; new connections are accepted for `accept_window` seconds more.

        After it the listening socket and all client connections are closed.
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
        """Accept what is in the listen queue, and close the listening socket.

        Without capacity for all of the queue the socket stays open: closing it would reset what is left.
        """
        while not self.listener.stop_listening():
            if self.loop.time() >= deadline:
                break
            await asyncio.sleep(READ_INTERVAL)
        await asyncio.sleep(FINAL_READ_WINDOW)

    async def _drain(self, deadline: float) -> None:
        """Wait until no connection is open on which a request may be in flight or partly read."""
        self.listener.close_idle()
        await asyncio.sleep(READ_INTERVAL)
        while await self.dispatcher.wait_until_answered(deadline - self.loop.time()):
            self.listener.close_idle()
            if not self.listener.has_open_connections() or self.loop.time() >= deadline:
                break
            await asyncio.sleep(READ_INTERVAL)  # for the remainder of a request that is partly read
