"""Whether a connection waits for the rest of a request."""

from __future__ import annotations

from quota_gateway.downstream.client_connection import ClientConnection


def is_waiting_for_request_data(connection: ClientConnection) -> bool:
    """Return True if a request is incomplete only because its client is slow."""
    if not connection.in_request or connection.unread or connection.read_paused:
        return False
    return connection.responses.is_first(connection.request_handler.streaming_writer)


def has_only_partial_request(connection: ClientConnection) -> bool:
    """Return True if a request is partly read and no other one is in flight."""
    return connection.in_request and not (connection.responses or connection.closing or connection.unread)
