"""Timers of the decisions, one type for each purpose, and their codec for the simulator's wire.

On the wire a timer is a short text, which the simulator returns unchanged when the timer is due.
"""

from __future__ import annotations

from dataclasses import dataclass

POLL_ENDPOINTS_TEXT = "list"


@dataclass(frozen=True, slots=True)
class PollEndpointsTimer:
    """Poll discovery again after a poll that failed."""


@dataclass(frozen=True, slots=True)
class LateAttemptTimer:
    """An attempt that is still in flight counts as late from now on."""

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class QueueTimeoutTimer:
    """A request has been in its customer's queue for as long as it may."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ReleaseQueueTimer:
    """A customer's rate limiter can admit the request at the head of its queue."""

    customer: str


@dataclass(frozen=True, slots=True)
class ReportDemandTimer:
    """Report a customer's demand, or units that are not reported yet, to the counter."""

    customer: str


@dataclass(frozen=True, slots=True)
class ReadDemandTimer:
    """Read the fleet's demand for a customer in a period from the counter."""

    customer: str
    period: int


LimiterTimer = ReleaseQueueTimer | ReportDemandTimer | ReadDemandTimer
Timer = PollEndpointsTimer | LateAttemptTimer | QueueTimeoutTimer | LimiterTimer


def encode_timer(timer: Timer) -> str:
    """Return the text by which the simulator knows a timer."""
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
    """Return the timer that `encode_timer` has encoded; ValueError for any other text."""
    if text == POLL_ENDPOINTS_TEXT:
        return PollEndpointsTimer()
    kind = text[:1]
    value = text[1:]
    number, _, owner = value.partition(" ")
    match kind:
        case "o":
            return LateAttemptTimer(int(owner), int(number))
        case "h":
            return QueueTimeoutTimer(int(value))
        case "r":
            return ReleaseQueueTimer(value)
        case "c":
            return ReportDemandTimer(value)
        case "d":
            return ReadDemandTimer(owner, int(number))
    raise ValueError(f"unknown timer {text!r}")
