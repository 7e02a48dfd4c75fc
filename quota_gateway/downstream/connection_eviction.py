"""Closing of unused client connections, to free capacity for other clients or to drain the gateway."""

from __future__ import annotations

from collections.abc import Iterable
from operator import attrgetter

from quota_gateway.downstream.client_connection import ClientConnection
from quota_gateway.downstream.partial_requests import has_only_partial_request
from quota_gateway.errors import InvalidRequestError
from quota_gateway.model.close_reasons import CloseReason
from quota_gateway.policy.permissions import may_close_client_connection

UNUSED_TIMEOUT = 0.1  # seconds without a request until a connection is unused; a new client sends at once
MAX_EVICTIONS = 16  # connections closed at a time; finding them costs more than closing them

# Connections that never sent a request come first, then those that have been idle for the longest time.
eviction_order = attrgetter("request_handler.any_request_started", "idle_since")


def evict(connection: ClientConnection, now: float) -> bool:
    """Close a connection to free capacity; return False if a request would be lost."""
    if connection.closing and not connection.unsent_bytes():
        connection.close_because(CloseReason.EVICTED)
        return True
    if may_close_client_connection(connection, UNUSED_TIMEOUT, now):
        connection.close_because(CloseReason.EVICTED)
        return True
    if not has_only_partial_request(connection) or now - connection.last_used_at() < UNUSED_TIMEOUT:
        return False
    connection.request_handler.abort_request(
        InvalidRequestError(408, "the request did not come whole, and others wait")
    )
    connection.close_because(CloseReason.EVICTED)
    return True


def evict_unused(connections: Iterable[ClientConnection], now: float) -> list[ClientConnection]:
    """Evict up to MAX_EVICTIONS connections and return them."""
    evicted: list[ClientConnection] = []
    for connection in sorted(connections, key=eviction_order):
        if evict(connection, now):
            evicted.append(connection)
            if len(evicted) == MAX_EVICTIONS:
                break
    return evicted


def close_if_unused(connection: ClientConnection, now: float) -> None:
    """Close a connection gracefully in a drain, if it is unused and has all its responses."""
    if may_close_client_connection(connection, UNUSED_TIMEOUT, now):
        connection.close_gracefully()
