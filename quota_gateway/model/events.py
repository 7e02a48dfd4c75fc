"""Events: what has happened, for the decisions to act on. All times are in seconds."""

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
    """A request has come from a client; the gateway owes it one final response."""

    request_id: int
    request_class: str
    plan: str
    customer: str
    deadline: float  # Unix time
    units: float
    quota_spread: int  # gateways over which the customer's requests are spread
    first_gateway: int  # index of the first of them
    is_retry: bool  # by the client
    client_timeout: float = 0.0  # that the client waits after sending; 0: until the deadline
    # a long body is not complete yet: RequestBodyReceived sets the deadline
    body_incomplete: bool = False


@dataclass(frozen=True, slots=True)
class RequestBodyConsumed:
    """Part of a request's long body has been forwarded and is not buffered, so there can be no retry."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RequestBodyReceived:
    """The last byte of a long body has come."""

    request_id: int
    deadline: float  # Unix time


@dataclass(frozen=True, slots=True)
class ClientHalfClosed:
    """The client sends no more and has probably disconnected.

    Attempts in flight may still end; no other is started.
    """

    request_id: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected, and its request needs no response."""

    request_id: int


# Attempts and health checks


@dataclass(frozen=True, slots=True)
class ResponseStreamStarted:
    """An attempt's response is being forwarded.

    No other attempt can serve the request from now on, and its deadline no longer holds.
    """

    request_id: int
    attempt_index: int
    elapsed: float = 0.0  # from the attempt's start to the first byte; 0: until now


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended."""

    request_id: int
    attempt_index: int
    endpoint_id: str
    outcome: Outcome
    elapsed: float  # since the attempt's start
    request_answered: bool  # the request has its final response
    actual_units: float  # by the response; 0 where it does not say
    load_report: tuple[float, ...]  # in the order of the settings' load_report_fields


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """A health check of an endpoint has ended."""

    endpoint_id: str
    outcome: Outcome
    elapsed: float
    load_report: tuple[float, ...]


# Timers and services


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that SetTimer has started is due."""

    timer: Timer


@dataclass(frozen=True, slots=True)
class CounterReply:
    """A call to the counter service has ended; `total` counts only with a successful outcome."""

    name: str
    outcome: Outcome
    elapsed: float
    total: float


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """A list of endpoints, or of changes to it, has come from discovery or out of a cache."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...]


# Commands of operators


@dataclass(frozen=True, slots=True)
class SetMaintenance:
    """Stop using an endpoint, or use it again; it holds until the next command for this endpoint."""

    endpoint_id: str
    enabled: bool


@dataclass(frozen=True, slots=True)
class SetDraining:
    """Accept no more clients, or accept them again."""

    enabled: bool


# Hot restart


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The state of the older process, for the newer one to restore."""

    state: dict[str, Any]  # as JSON has it


@dataclass(frozen=True, slots=True)
class PeerProcessChanged:
    """The other process of a hot restart is connected, or no longer is."""

    present: bool


# events of a request that was received before
RequestEvent = (
    RequestBodyConsumed | RequestBodyReceived | ClientHalfClosed | ClientDisconnected | ResponseStreamStarted
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
