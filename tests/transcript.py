"""Formats events and actions as lines of a transcript, which do not depend on the names of their types."""

from __future__ import annotations

from typing import assert_never

from quota_gateway.model.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    DrainClientConnections,
    FailRequest,
    IncrementCounter,
    PollEndpoints,
    Reject,
    SetTimer,
    StartAttempt,
)
from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    ClientHalfClosed,
    CounterReply,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    PeerProcessChanged,
    RequestBodyConsumed,
    RequestBodyReceived,
    RequestReceived,
    ResponseStreamStarted,
    SetDraining,
    SetMaintenance,
    StateSnapshot,
    TimerFired,
)
from quota_gateway.model.timers import encode_timer

EVENT_NAMES: dict[type, str] = {
    RequestReceived: "request",
    EndpointListUpdate: "endpoints",
    ClientDisconnected: "disconnected",
    ClientHalfClosed: "half closed",
    ResponseStreamStarted: "response stream",
    AttemptEnded: "attempt ended",
    CounterReply: "counter reply",
    HealthCheckResult: "health check",
    TimerFired: "timer",
    SetMaintenance: "maintenance",
    SetDraining: "draining",
    StateSnapshot: "restore",
    PeerProcessChanged: "peer",
    UnitsCharged: "charged",
    RequestBodyConsumed: "body consumed",
    RequestBodyReceived: "body received",
}


def event_text(now: float, process: int, event: Event) -> str:
    """Return the line of an event: its time, the process that handles it, and its type."""
    return f"{now!r} {process} {EVENT_NAMES[type(event)]}"


def action_text(action: Action) -> str:
    """Return the line of an action with its values."""
    match action:
        case StartAttempt():
            return f"send {action.request_id} {action.endpoint_id} {action.timeout!r} {action.send_within!r}"
        case Reject():
            return f"reject {action.request_id} {action.retry_after!r}"
        case FailRequest():
            return f"fail {action.request_id}"
        case CancelAttempt():
            return f"cancel {action.request_id} {action.attempt_index}"
        case SetTimer():
            return f"timer {action.delay!r} {encode_timer(action.timer)}"
        case IncrementCounter():
            return f"count {action.name} {action.amount!r} {action.expire_after!r}"
        case CloseIdleConnections():
            return f"close idle {action.endpoint_id}"
        case DrainClientConnections():
            return f"drain clients {action.enabled}"
        case UnitsCharged():
            return f"charged {action.customer} {action.plan} {action.quota_spread} {action.units!r}"
        case PollEndpoints():
            return "poll"
        case _:
            assert_never(action)
