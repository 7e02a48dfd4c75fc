"""Actions: what the decisions ask the network code, or the simulator, to do. All times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.timers import Timer

# Requests


class Reason(StrEnum):
    """Why a request gets a final response that no endpoint made; the values are names of metrics."""

    INVALID = "invalid"  # it names no class or plan of the settings, or has no time left
    QUOTA = "quota"  # its customer has no units left, here or, by the counter, anywhere
    OVERLOAD = "overload"  # load is shed
    NO_ENDPOINT = "no_endpoint"  # none may be sent the attempt now
    LATE_RETRY = "late_retry"  # a client's retry whose answer would come too late to be of use
    NO_RETRY = "no_retry"  # an attempt failed, and there is no time or budget for another
    CLIENT_GONE = "client_gone"  # its client has ended its sending


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Forward a request to an endpoint; the attempts of a request are numbered from 0 in order of start.

    An attempt that has no connection `send_within` seconds from now is not sent; 0 means no such bound.
    """

    request_id: int
    endpoint_id: str
    timeout: float
    send_within: float = 0.0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Give up an attempt that is in flight."""

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final response: the request was not executed, and a retry is safe after `retry_after` seconds."""

    request_id: int
    retry_after: float
    reason: Reason = field(default=Reason.INVALID, compare=False)


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final response: the request failed, and may have been executed."""

    request_id: int
    reason: Reason = field(default=Reason.NO_RETRY, compare=False)


# Timers and services


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send TimerFired with this timer in `delay` seconds."""

    delay: float
    timer: Timer


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add to a number that the counter service keeps under a name, and send CounterReply with its total."""

    name: str
    amount: float
    expire_after: float


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Poll discovery for the endpoint list, and follow its changes from now on."""


# Connections


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the connections to an endpoint that carry no attempt: it is about to be restarted."""

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class DrainClientConnections:
    """Close clients' connections after their responses in flight, or keep them alive again."""

    enabled: bool


Action = (
    StartAttempt
    | CancelAttempt
    | Reject
    | FailRequest
    | SetTimer
    | IncrementCounter
    | PollEndpoints
    | CloseIdleConnections
    | DrainClientConnections
    | UnitsCharged
)
