"""Final checks before the network code sends an attempt or closes a client's connection.

`LoadBalancer.may_send` has decided which endpoint an attempt may go to, and whether the request may be
repeated there. Time passes between that decision and the send: a connection is opened, the process is held
up, or the client disconnects. The network code therefore checks again, by the rules of this module alone.
"""

from enum import StrEnum
from typing import Protocol

# Seconds after a request's last byte during which an attempt starts without a check of the client's socket:
# the bytes arrived so recently that a close after them is within what the protocol allows.
DISCONNECT_CHECK_DELAY = 0.01


class RefusalReason(StrEnum):
    """Why an attempt may not be sent; the values are names of metrics."""

    ANSWERED = "answered"  # the request already has its final response
    PAST_DEADLINE = "past_deadline"
    WINDOW_OVER = "window_over"  # an earlier attempt may have run, and is no longer deduplicated
    CLIENT_GONE = "client_gone"


class RequestFacts(Protocol):
    """What the checks need to know about a request; times are in seconds."""

    answered: bool
    arrived_at: float  # when its last byte arrived
    deadline: float
    attempt_start_deadline: float | None  # when attempts may no longer start; set when the client half-closes

    def client_disconnected(self) -> bool:
        """Return whether the client has closed its side, even if the event loop has not reported it yet."""


class ClientConnectionFacts(Protocol):
    """What the checks need to know about a client's connection."""

    def is_idle(self) -> bool:
        """Return whether no request is in flight or partly read on the connection."""

    def last_used_at(self) -> float:
        """Return when the connection last carried a request or a response, in seconds."""

    def has_unread_input(self) -> bool:
        """Return whether data or a close from the client is waiting to be received."""


def attempt_refusal(request: RequestFacts, send_deadline: float | None, now: float) -> RefusalReason | None:
    """Return why an attempt may not be sent now, or None if it may.

    `send_deadline` is the time by which a repeat with an idempotency key must be sent.
    """
    if request.answered:
        return RefusalReason.ANSWERED
    if now >= request.deadline:
        return RefusalReason.PAST_DEADLINE
    if send_deadline is not None and now >= send_deadline:
        return RefusalReason.WINDOW_OVER
    return RefusalReason.CLIENT_GONE if _is_client_gone(request, now) else None


def _is_client_gone(request: RequestFacts, now: float) -> bool:
    if request.attempt_start_deadline is not None:
        return now >= request.attempt_start_deadline
    if now - request.arrived_at < DISCONNECT_CHECK_DELAY:
        return False
    return request.client_disconnected()


def may_close_client_connection(connection: ClientConnectionFacts, unused_for: float, now: float) -> bool:
    """Return whether a connection unused for `unused_for` seconds may be closed without losing a request."""
    if not connection.is_idle() or now - connection.last_used_at() < unused_for:
        return False
    return not connection.has_unread_input()
