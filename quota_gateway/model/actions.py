"""Actions that the policy engine asks the network code, or the simulator, to perform.

All times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.timers import Timer

# Requests


class Reason(StrEnum):
    """Why the gateway itself sends the final response to a request; the values are metric names."""

    INVALID = "invalid"  # the request class or plan is unknown, or no time is left
    QUOTA = "quota"  # the customer has no units left in this gateway, or, by the counter, in the fleet
    OVERLOAD = "overload"  # load shedding
    NO_ENDPOINT = "no_endpoint"  # no endpoint is available for an attempt
    LATE_RETRY = "late_retry"  # a client's retry whose response would come too late to be of use
    NO_RETRY = "no_retry"  # an attempt failed, and no time or retry budget is left for another
    CLIENT_GONE = "client_gone"  # the client has half-closed the connection


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Forward a request to an endpoint; attempts of a request are numbered from 0 in the order they start.

    The attempt is not sent if it has no connection within `send_within` seconds from now; 0 means no limit.
    """

    request_id: int
    endpoint_id: str
    timeout: float
    send_within: float = 0.0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt that is in flight."""

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Send the final response: the request was not executed; a retry is safe after `retry_after` seconds."""

    request_id: int
    retry_after: float
    reason: Reason = field(default=Reason.INVALID, compare=False)


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Send the final response: the request failed, and may have been executed."""

    request_id: int
    reason: Reason = field(default=Reason.NO_RETRY, compare=False)


# Timers and services


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver TimerFired with this timer after `delay` seconds."""

    delay: float
    timer: Timer


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add `amount` to the named counter of the counter service, and deliver its total as CounterReply."""

    name: str
    amount: float
    expire_after: float  # seconds after which the counter service may discard the counter


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Poll discovery for the endpoint list, and subscribe to its changes."""


# Connections


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint that is about to be restarted."""

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class DrainClientConnections:
    """Close each client connection after its responses in flight; if not `enabled`, keep them alive again."""

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
