"""Closing of client connections that are not used: for other clients, and while the gateway drains."""

from __future__ import annotations

from collections.abc import Iterable
from operator import attrgetter

from quota_gateway.downstream.client_connection import ClientConnection
from quota_gateway.errors import InvalidRequestError

UNUSED_AFTER = 0.1  # seconds without a request, from which a connection is unused: a new one sends at once
MAX_EVICTIONS = 16  # connections closed at a time: to find them costs more than to close them

# connections that never sent a request first, then those that have been idle for longest
eviction_order = attrgetter("requests.any_request_started", "idle_since")


def is_unused(connection: ClientConnection, now: float) -> bool:
    """Return True if the connection has not been used for some time."""
    last_used_at = max(connection.idle_since, connection.requests.received_at)
    return now - last_used_at >= UNUSED_AFTER


def evict(connection: ClientConnection, now: float) -> bool:
    """Close a connection in favour of another client; False if that would lose a request."""
    if connection.closing and not connection.unsent_bytes():
        connection.drop()
        return True
    if connection.closing or connection.responses or connection.unread or not is_unused(connection, now):
        return False
    if connection.in_request:
        error = InvalidRequestError(408, "the request did not come whole, and others wait")
        connection.requests.abort_request(error)
    if not connection.in_request and connection.has_unread_input():
        return False
    connection.drop()
    return True


def evict_unused(connections: Iterable[ClientConnection], now: float) -> list[ClientConnection]:
    """Evict some connections and return them."""
    evicted: list[ClientConnection] = []
    for connection in sorted(connections, key=eviction_order):
        if evict(connection, now):
            evicted.append(connection)
            if len(evicted) == MAX_EVICTIONS:
                break
    return evicted


def end_if_unused(connection: ClientConnection, now: float) -> None:
    """End a connection during a drain, if it is unused or has all its responses."""
    if connection.is_idle() and is_unused(connection, now) and not connection.has_unread_input():
        connection.end()
