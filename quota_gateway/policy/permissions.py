"""Whether the network side may send or close something now: the one place for these rules.

Which endpoint an attempt may go to, and whether a request may be repeated there, is decided before by
`LoadBalancer.may_send`, the one place for that. Between its decision and the network's act time passes: a
connect is made, the process is held up, the client leaves. So the act asks here.
"""

from enum import StrEnum
from typing import Protocol

# Seconds after a request's last byte in which an attempt starts without a look at its client's socket: the
# bytes came so lately that a close behind them is within what the protocol allows.
DISCONNECT_CHECK_DELAY = 0.01


class Refusal(StrEnum):
    """Why an attempt may not be sent; the values are names of metrics."""

    ANSWERED = "answered"  # its request has had its final response
    PAST_DEADLINE = "past_deadline"
    WINDOW_OVER = "window_over"  # an earlier attempt may have run, and endpoints remember it no longer
    CLIENT_GONE = "client_gone"


class RequestFacts(Protocol):
    """What the rules need to know of a request; times are seconds."""

    answered: bool
    arrived_at: float  # when its last byte came
    deadline: float
    attempt_start_limit: float | None  # set when the client half-closes

    def client_disconnected(self) -> bool:
        """Return True if the client has closed its side, also if the event loop has not reported it yet."""


class ClientConnectionFacts(Protocol):
    """What the rules need to know of a client's connection."""

    def is_idle(self) -> bool:
        """Return True if no request is in flight there or partly read."""

    def last_used_at(self) -> float:
        """Return when it last carried a request or a response, in seconds."""

    def has_unread_input(self) -> bool:
        """Return True if the client has sent something, or its end, that has not been received."""


def attempt_refusal(request: RequestFacts, send_deadline: float | None, now: float) -> Refusal | None:
    """Return why an attempt may not be sent now, None if it may; `send_deadline` bounds a keyed repeat."""
    if request.answered:
        return Refusal.ANSWERED
    if now >= request.deadline:
        return Refusal.PAST_DEADLINE
    if send_deadline is not None and now >= send_deadline:
        return Refusal.WINDOW_OVER
    return Refusal.CLIENT_GONE if _is_client_gone(request, now) else None


def _is_client_gone(request: RequestFacts, now: float) -> bool:
    if request.attempt_start_limit is not None:
        return now >= request.attempt_start_limit
    if now - request.arrived_at < DISCONNECT_CHECK_DELAY:
        return False
    return request.client_disconnected()


def may_close_client(connection: ClientConnectionFacts, unused_for: float, now: float) -> bool:
    """Return whether a connection may be closed that is unused for so many seconds: no request is lost."""
    if not connection.is_idle() or now - connection.last_used_at() < unused_for:
        return False
    return not connection.has_unread_input()
