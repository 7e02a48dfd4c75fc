"""The idle connections to one endpoint."""

from __future__ import annotations

from typing import Protocol

from quota_gateway.sockets.addresses import Address
from quota_gateway.upstream.attempt import UpstreamAttempt

MIN_IDLE_BEFORE_REUSE = 0.01  # seconds; bytes that follow a response unasked have arrived by then


class PooledConnection(Protocol):
    """What the pool needs of a connection while it is idle."""

    idle_since: float
    idle_time: float

    def is_open(self) -> bool:
        """Return whether the connection can still be written to."""

    def has_unread_input(self) -> bool:
        """Return whether bytes, or the end of the stream, wait to be read."""

    def send_attempt(self, attempt: UpstreamAttempt, now: float) -> None:
        """Send the attempt's request."""

    def close(self) -> None:
        """Close the connection at once."""


class EndpointConnections:
    """An endpoint at one address since one start, and the idle connections to it.

    An endpoint's id may move to another address, and an address to another id. Connections that were opened
    before belong to the former instance of this class, and are never used for the new one.
    """

    __slots__ = ("address", "endpoint_id", "idle", "started_at")

    def __init__(self, endpoint_id: str, address: Address, started_at: float | None) -> None:
        """Start without connections; `started_at` is the endpoint's start, None if unknown."""
        self.endpoint_id = endpoint_id
        self.address = address
        self.started_at = started_at
        self.idle: list[PooledConnection] = []  # the longest idle first

    def acquire_idle(self, now: float, idle_timeout: float) -> PooledConnection | None:
        """Remove and return the most recently used connection that is fit for another request, or None.

        Connections that are found closed, over the idle timeout, or with input that no request asked for are
        closed on the way.
        """
        for position in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[position]
            idle_time = now - connection.idle_since
            if idle_time < MIN_IDLE_BEFORE_REUSE:
                continue
            del self.idle[position]
            if idle_time < idle_timeout and connection.is_open() and not connection.has_unread_input():
                connection.idle_time = idle_time
                return connection
            connection.close()
        return None

    def discard(self, connection: PooledConnection) -> None:
        """Remove the connection from the idle ones if it is one of them."""
        if connection in self.idle:
            self.idle.remove(connection)

    def close_oldest_idle(self) -> None:
        """Close the connection that has been idle for longest; there must be one."""
        self.idle.pop(0).close()

    def close_idle_before(self, time: float) -> None:
        """Close the connections that have been idle since before `time`."""
        while self.idle and self.idle[0].idle_since < time:
            self.close_oldest_idle()

    def drop_idle(self) -> None:
        """Close all idle connections."""
        idle = self.idle
        self.idle = []
        for connection in idle:
            connection.close()
