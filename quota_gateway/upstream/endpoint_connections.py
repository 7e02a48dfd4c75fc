"""The idle connections to one endpoint."""

from __future__ import annotations

from typing import Protocol

from quota_gateway.sockets.addresses import Address
from quota_gateway.upstream.attempt import UpstreamAttempt

# Seconds for which a connection must be idle before it is reused, so that unsolicited bytes after a response
# have arrived by then.
MIN_IDLE_BEFORE_REUSE = 0.01


class PooledConnection(Protocol):
    """What the pool needs from an idle connection."""

    idle_since: float  # seconds on the pool's clock
    idle_time: float  # seconds of idle time before the current attempt

    def is_open(self) -> bool:
        """Return whether the connection can still be written to."""

    def has_unread_input(self) -> bool:
        """Return whether there are unread bytes or an unread end of the stream."""

    def send_attempt(self, attempt: UpstreamAttempt, now: float) -> None:
        """Send the attempt's request."""

    def close(self) -> None:
        """Close the connection at once."""


class EndpointConnections:
    """The idle connections to an endpoint at one address, since one start of the endpoint.

    An endpoint's id may move to another address, and an address to another id. Connections opened before such
    a change belong to the previous instance of this class, and are never used for the new one.
    """

    __slots__ = ("address", "endpoint_id", "idle_connections", "started_at")

    def __init__(self, endpoint_id: str, address: Address, started_at: float | None) -> None:
        """Initialize without connections; `started_at` is in Unix seconds, or None if unknown."""
        self.endpoint_id = endpoint_id
        self.address = address
        self.started_at = started_at
        self.idle_connections: list[PooledConnection] = []  # the one idle longest comes first

    def acquire_idle(self, now: float, idle_timeout: float) -> PooledConnection | None:
        """Remove and return the most recently used connection that can be reused, or None.

        Connections that are found closed, over the idle timeout (in seconds) or with unsolicited input are
        closed. Those idle for less than MIN_IDLE_BEFORE_REUSE are skipped.
        """
        for position in range(len(self.idle_connections) - 1, -1, -1):
            connection = self.idle_connections[position]
            idle_time = now - connection.idle_since
            if idle_time < MIN_IDLE_BEFORE_REUSE:
                continue
            del self.idle_connections[position]
            if idle_time < idle_timeout and connection.is_open() and not connection.has_unread_input():
                connection.idle_time = idle_time
                return connection
            connection.close()
        return None

    def discard(self, connection: PooledConnection) -> None:
        """Remove the connection if it is among the idle ones."""
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)

    def close_oldest_idle(self) -> None:
        """Close the connection that has been idle longest; there must be one."""
        self.idle_connections.pop(0).close()

    def close_idle_before(self, cutoff: float) -> None:
        """Close the connections that have been idle since before `cutoff`, in seconds."""
        while self.idle_connections and self.idle_connections[0].idle_since < cutoff:
            self.close_oldest_idle()

    def close_all_idle(self) -> None:
        """Close all idle connections."""
        idle = self.idle_connections
        self.idle_connections = []
        for connection in idle:
            connection.close()
