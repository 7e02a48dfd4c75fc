"""Events: what the decisions are told. All times are seconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.endpoints import Endpoint, EndpointListKind
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.timers import Timer


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's try that has arrived; the gateway owes it one final answer."""

    request_id: int
    request_class: str
    plan: str
    customer: str
    deadline: float
    units: float
    quota_spread: int
    first_gateway: int
    is_retry: bool
    client_timeout: float = 0.0  # seconds that the client waits from its send on; 0: until the deadline
    body_incomplete: bool = (
        False  # its long body is still coming: its time counts from the last byte, told later
    )


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    request_id: int


@dataclass(frozen=True, slots=True)
class ClientHalfClosed:
    """The client sends no more and has most likely gone: what is out may end, nothing more is sent on."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ResponseStreamStarted:
    """An attempt's answer is being passed on: no other can serve the request, and it has no deadline more."""

    request_id: int
    attempt_index: int
    elapsed: float = 0.0  # seconds to its first byte; 0: until now


@dataclass(frozen=True, slots=True)
class RequestBodyConsumed:
    """Part of a request's long body has gone to a backend and is not kept: it can't be sent again."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RequestBodyReceived:
    """The last byte of a long body has come."""

    request_id: int
    deadline: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request_id: int
    attempt_index: int
    endpoint_id: str
    outcome: Outcome
    elapsed: float
    request_answered: bool
    actual_units: float
    load_report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class CounterReply:
    name: str
    outcome: Outcome
    elapsed: float
    total: float


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    endpoint_id: str
    outcome: Outcome
    elapsed: float
    load_report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class TimerFired:
    timer: Timer


@dataclass(frozen=True, slots=True)
class SetMaintenance:
    """An operator's word: nothing more to this backend, or use it again. It stands until the other comes."""

    endpoint_id: str
    enabled: bool


@dataclass(frozen=True, slots=True)
class SetDraining:
    """An operator's word: no more clients here, or take them again."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """What an older process of this gateway knows, in plain values, as it gives it to the newer one."""

    state: dict[str, Any]


@dataclass(frozen=True, slots=True)
class PeerProcessChanged:
    """Another process of this gateway runs beside this one, or no longer does."""

    present: bool


# events of one request that was received before
RequestEvent = (
    ClientDisconnected | ClientHalfClosed | ResponseStreamStarted | RequestBodyConsumed | RequestBodyReceived
)
Event = (
    RequestReceived
    | RequestEvent
    | EndpointListUpdate
    | AttemptEnded
    | CounterReply
    | HealthCheckResult
    | TimerFired
    | SetMaintenance
    | SetDraining
    | StateSnapshot
    | PeerProcessChanged
    | UnitsCharged
)
