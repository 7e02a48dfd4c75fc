"""Actions: what the decisions want done. All times are seconds."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.timers import Timer


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt; a request's attempts are numbered from 0 in the order of their sends.

    One whose connection comes up later than `write_within` is not written; nought is no bound.
    """

    request_id: int
    endpoint_id: str
    timeout: float
    send_within: float = 0.0


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: turned away, and trying again does no harm."""

    request_id: int
    retry_after: float


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, with no promise about its effect."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay: float
    timer: Timer


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add to a named number of the counter service and get its total."""

    name: str
    amount: float
    expire_after: float


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Ask discovery for the list and its changes from now on."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Let go of all that is held towards a backend and carries no attempt: it is about to be restarted."""

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class DrainClientConnections:
    """Have clients' connections end with the answers that are out, or keep them open again."""

    enabled: bool


Action = (
    StartAttempt
    | Reject
    | FailRequest
    | CancelAttempt
    | SetTimer
    | IncrementCounter
    | PollEndpoints
    | CloseIdleConnections
    | DrainClientConnections
    | UnitsCharged
)
