"""Timers of the decisions: one type a purpose, and their codec for the simulator's wire.

On the wire a timer is a short text that the simulator gives back unchanged when the timer is due.
"""

from __future__ import annotations

from dataclasses import dataclass

POLL_ENDPOINTS_TEXT = "list"


@dataclass(frozen=True, slots=True)
class PollEndpointsTimer:
    """Poll discovery again after a poll that failed."""


@dataclass(frozen=True, slots=True)
class LateAttemptTimer:
    """An attempt counts as late from now on, if it has not ended."""

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class QueueTimeoutTimer:
    """A queued request has waited for as long as it may."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ReleaseQueueTimer:
    """A customer's limiter covers the head of its queue by now."""

    customer: str


@dataclass(frozen=True, slots=True)
class ReportDemandTimer:
    """A customer's demand, or its units that are not reported yet, go to the counter."""

    customer: str


@dataclass(frozen=True, slots=True)
class ReadDemandTimer:
    """The fleet's demand of a customer in a period can be read from the counter."""

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
    """Return the timer of a text that `encode_timer` wrote; ValueError names any other text."""
    if text == POLL_ENDPOINTS_TEXT:
        return PollEndpointsTimer()
    kind, rest = text[:1], text[1:]
    number, _, owner = rest.partition(" ")
    match kind:
        case "o":
            return LateAttemptTimer(int(owner), int(number))
        case "h":
            return QueueTimeoutTimer(int(rest))
        case "r":
            return ReleaseQueueTimer(rest)
        case "c":
            return ReportDemandTimer(rest)
        case "d":
            return ReadDemandTimer(owner, int(number))
    raise ValueError(f"unknown timer {text!r}")
