"""The deadline of a request whose body can't be read to its end."""

from __future__ import annotations

from quota_gateway.downstream.body_end_bound import (
    CLIENT_SEND_BUFFER_BYTES,
    RECEIVE_BUFFER_BYTES,
    BodyEndBound,
)
from quota_gateway.downstream.client_connection import ClientConnection
from quota_gateway.sockets.kernel_state import unread_bytes


def enforce_body_deadline(connection: ClientConnection, now: float) -> None:
    """Answer the request whose body is being streamed if its time may be over, or its client has left."""
    request_handler = connection.request_handler
    writer = request_handler.streaming_writer
    bound = request_handler.body_end_bound
    if writer is None or bound is None:
        return
    kernel_bytes = unread_bytes(connection.descriptor)
    if kernel_bytes is not None and is_cut_off(connection, kernel_bytes):
        request_handler.abort_incomplete_body()
        return
    update_bound(bound, connection, kernel_bytes, now)
    connection.listener.dispatcher.enforce_body_deadline(writer.request_id, bound.earliest)


def is_cut_off(connection: ClientConnection, kernel_bytes: int) -> bool:
    """Return True if the client has closed its side in the middle of a body of known length."""
    if not connection.half_close.is_started:
        return False
    request_handler = connection.request_handler
    return arrived_bytes(connection, kernel_bytes) < request_handler.content_length()


def update_bound(
    bound: BodyEndBound, connection: ClientConnection, kernel_bytes: int | None, now: float
) -> None:
    """Record how much of the body has arrived; `kernel_bytes` of it are unread, None if unknown."""
    unseen_bytes = 0 if connection.half_close.is_started else CLIENT_SEND_BUFFER_BYTES
    if kernel_bytes is None:
        kernel_bytes = 0
        unseen_bytes += RECEIVE_BUFFER_BYTES if connection.read_paused else 0
    is_waiting = connection.read_paused or kernel_bytes or connection.unread
    if is_waiting:
        bound.record_arrival(arrived_bytes(connection, kernel_bytes), unseen_bytes, now)
    else:
        bound.record_all_read(now)


def arrived_bytes(connection: ClientConnection, kernel_bytes: int) -> int:
    """Return how many bytes of the body have arrived, with `kernel_bytes` that are unread."""
    return connection.request_handler.body_size + len(connection.unread) + kernel_bytes
