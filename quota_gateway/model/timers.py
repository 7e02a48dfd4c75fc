"""Timers of the policy engine, one type for each purpose, and their encoding for the simulator's protocol.

The simulator receives a timer as a short string, which it returns unchanged when the timer expires.
"""

from __future__ import annotations

from dataclasses import dataclass

POLL_ENDPOINTS_TEXT = "list"


@dataclass(frozen=True, slots=True)
class PollEndpointsTimer:
    """Poll discovery again after a failed poll."""


@dataclass(frozen=True, slots=True)
class LateAttemptTimer:
    """Treat an attempt that is still in flight as late."""

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class QueueTimeoutTimer:
    """End the wait of a request that has reached its time limit in the customer's queue."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ReleaseQueueTimer:
    """Admit the request at the head of a customer's queue, now that the rate limiter allows it."""

    customer: str


@dataclass(frozen=True, slots=True)
class ReportDemandTimer:
    """Report a customer's demand, or units that have not been reported yet, to the counter."""

    customer: str


@dataclass(frozen=True, slots=True)
class ReadDemandTimer:
    """Read from the counter a customer's demand on the whole fleet in a quota period."""

    customer: str
    period: int


LimiterTimer = ReleaseQueueTimer | ReportDemandTimer | ReadDemandTimer
Timer = PollEndpointsTimer | LateAttemptTimer | QueueTimeoutTimer | LimiterTimer


def encode_timer(timer: Timer) -> str:
    """Return the string that represents a timer in the simulator's protocol."""
    match timer:
        case PollEndpointsTimer():
            return POLL_ENDPOINTS_TEXT
        case LateAttemptTimer(request_id, attempt_index):
            return f"o{attempt_index} {request_id}"
        case QueueTimeoutTimer(request_id):
            return f"h{request_id}"
        case ReleaseQueueTimer(customer):
            return f"r{customer}"
        case ReportDemandTimer(customer):
            return f"c{customer}"
        case ReadDemandTimer(customer, period):
            return f"d{period} {customer}"


def decode_timer(text: str) -> Timer:
    """Return the timer that `encode_timer` has encoded; raise ValueError for any other string."""
    if text == POLL_ENDPOINTS_TEXT:
        return PollEndpointsTimer()
    prefix = text[:1]
    value = text[1:]
    first, _, rest = value.partition(" ")
    match prefix:
        case "o":
            return LateAttemptTimer(int(rest), int(first))
        case "h":
            return QueueTimeoutTimer(int(value))
        case "r":
            return ReleaseQueueTimer(value)
        case "c":
            return ReportDemandTimer(value)
        case "d":
            return ReadDemandTimer(rest, int(first))
    raise ValueError(f"unknown timer {text!r}")
