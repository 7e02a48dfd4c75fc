"""Closing of client connections that are not used: for other clients, and while the gateway drains."""

from __future__ import annotations

from collections.abc import Iterable
from operator import attrgetter

from quota_gateway.downstream.client_connection import ClientConnection
from quota_gateway.errors import InvalidRequestError
from quota_gateway.policy.permissions import may_close_client

UNUSED_AFTER = 0.1  # seconds without a request, from which a connection is unused: a new one sends at once
MAX_EVICTIONS = 16  # connections closed at a time: to find them costs more than to close them

# connections that never sent a request first, then those that have been idle for longest
eviction_order = attrgetter("requests.any_request_started", "idle_since")


def evict(connection: ClientConnection, now: float) -> bool:
    """Close a connection in favour of another client; False if that would lose a request."""
    if connection.closing and not connection.unsent_bytes():
        connection.drop()
        return True
    if may_close_client(connection, UNUSED_AFTER, now):
        connection.drop()
        return True
    if not connection.is_in_partial_request() or now - connection.last_used_at() < UNUSED_AFTER:
        return False
    connection.requests.abort_request(
        InvalidRequestError(408, "the request did not come whole, and others wait")
    )
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
    if may_close_client(connection, UNUSED_AFTER, now):
        connection.end()
