"""Enforcement of timeouts: a client connection closes or gets an error in time, whatever its client sent."""

from __future__ import annotations

from quota_gateway.downstream.body_deadline import enforce_body_deadline
from quota_gateway.downstream.client_connection import ClientConnection
from quota_gateway.downstream.connection_limits import (
    READ_TIMEOUT,
    is_request_late,
    is_request_overdue,
    linger_timeout,
)
from quota_gateway.downstream.partial_requests import has_only_partial_request, is_waiting_for_request_data
from quota_gateway.errors import InvalidRequestError
from quota_gateway.model.close_reasons import CloseReason
from quota_gateway.policy.permissions import may_close_client_connection


def is_kept_waiting(connection: ClientConnection, now: float) -> bool:
    """Return True if the rest of a request has been left unread for too long for want of memory."""
    is_unread = connection.read_paused and connection.is_short_of_memory()
    return is_unread and is_request_late(connection.request_handler, now)


def enforce_timeouts(connection: ClientConnection, now: float, idle_timeout: float) -> None:
    """Close the connection, or answer the partly read request, if a timeout has expired."""
    request_handler = connection.request_handler
    connection.update_memory()
    if request_handler.body_stream is not None:
        enforce_body_deadline(connection, now)
    is_sending = connection.closing or connection.write_paused
    if is_sending and (unsent_bytes := connection.unsent_bytes()):
        connection.closing_since = now  # the linger timeout starts once all data has been sent
        if connection.unread_response_timer.has_expired(now, unsent_bytes):
            connection.close_because(CloseReason.UNREAD_RESPONSE)
    elif connection.closing:
        if now - connection.closing_since > linger_timeout(request_handler):
            connection.close_because(CloseReason.LINGER)
    elif is_waiting_for_request_data(connection):
        if is_request_overdue(request_handler, connection.last_read_at, now):
            connection.listener.dispatcher.metrics.connections_closed[CloseReason.SLOW_REQUEST] += 1
            request_handler.abort_request(InvalidRequestError(408, "the request did not come whole in time"))
    elif has_only_partial_request(connection) and is_kept_waiting(connection, now):
        request_handler.abort_request(InvalidRequestError(503, "no memory for the rest of the request"))
    elif connection.is_idle():
        timeout = idle_timeout if request_handler.any_request_started else READ_TIMEOUT
        if may_close_client_connection(connection, timeout, now):
            connection.close_because(CloseReason.IDLE)
