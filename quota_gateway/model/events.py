"""Events that the policy engine handles. All times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.endpoints import Endpoint, EndpointListKind
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.timers import Timer

# Requests and their clients


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client has sent a request, which must get exactly one final response."""

    request_id: int
    request_class: str
    plan: str
    customer: str
    deadline: float  # Unix time
    units: float  # quota units that the request is charged
    quota_spread: int  # number of gateways that share the customer's requests
    first_gateway_index: int  # index of the first of these gateways
    is_retry: bool  # the client is retrying the request
    client_timeout: float = 0.0  # how long the client waits after sending; 0: until the deadline
    # the end of a long body has not arrived; RequestBodyReceived will set the deadline
    body_incomplete: bool = False


@dataclass(frozen=True, slots=True)
class RequestBodyConsumed:
    """Part of a long body was forwarded and is no longer buffered, so the request cannot be retried."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RequestBodyReceived:
    """The last byte of a long request body has arrived."""

    request_id: int
    deadline: float  # Unix time


@dataclass(frozen=True, slots=True)
class ClientHalfClosed:
    """The client has closed its sending side, and has probably disconnected.

    Attempts in flight may still finish, but no new attempt is started.
    """

    request_id: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected, so its request no longer needs a response."""

    request_id: int


# Attempts and health checks


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The response of an attempt has begun, but it is incomplete and may still be replaced by a retry."""

    request_id: int
    attempt_index: int
    elapsed: float  # from the start of the attempt to the first byte


@dataclass(frozen=True, slots=True)
class ResponseStreamStarted:
    """The gateway has begun to forward the response of an attempt.

    From now on no other attempt can answer the request, and the request's deadline no longer applies.
    """

    request_id: int
    attempt_index: int
    elapsed: float = 0.0  # from the start of the attempt to the first byte; 0: until now


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has succeeded, failed or been cancelled."""

    request_id: int
    attempt_index: int
    endpoint_id: str
    outcome: Outcome
    elapsed: float  # from the start of the attempt
    request_answered: bool  # the final response of the request has been sent
    billed_units: float  # units billed by the response; 0 if it names none
    load_report: tuple[float, ...]  # values in the order of Settings.load_report_fields


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """A health check of an endpoint has finished."""

    endpoint_id: str
    outcome: Outcome
    elapsed: float
    load_report: tuple[float, ...]  # values in the order of Settings.load_report_fields


# Timers and services


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set by SetTimer has expired."""

    timer: Timer


@dataclass(frozen=True, slots=True)
class CounterReply:
    """A call to the counter service has finished; `total` is only valid if the outcome is SUCCESS."""

    name: str
    outcome: Outcome
    elapsed: float
    total: float


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """Discovery or the cache has provided a list of endpoints, or of changes to it."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...]


# Operator commands


@dataclass(frozen=True, slots=True)
class SetMaintenance:
    """Put an endpoint into maintenance, or take it out; this holds until the next command for it."""

    endpoint_id: str
    enabled: bool


@dataclass(frozen=True, slots=True)
class SetDraining:
    """Stop accepting clients, or accept them again."""

    enabled: bool


# Hot restart


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The saved state of the older process, which the newer process restores."""

    state: dict[str, Any]  # JSON object


@dataclass(frozen=True, slots=True)
class PeerProcessChanged:
    """The other process of a hot restart has connected or disconnected."""

    connected: bool


# Events of a request that has already been received
RequestEvent = (
    RequestBodyConsumed
    | RequestBodyReceived
    | ClientHalfClosed
    | ClientDisconnected
    | ResponseStarted
    | ResponseStreamStarted
)
Event = (
    RequestReceived
    | RequestEvent
    | AttemptEnded
    | HealthCheckResult
    | TimerFired
    | CounterReply
    | EndpointListUpdate
    | SetMaintenance
    | SetDraining
    | StateSnapshot
    | PeerProcessChanged
    | UnitsCharged
)
