"""The simulator's protocol: decodes tab-separated lines to events and endpoints, and encodes actions.

A column without a value is "-", or is omitted at the end of a line. Times in the protocol are milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from quota_gateway.configuration.settings_object import MILLISECONDS_PER_SECOND
from quota_gateway.configuration.settings_reader import ENDPOINT_STATUSES
from quota_gateway.errors import SimulatorProtocolError
from quota_gateway.model.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    IncrementCounter,
    PollEndpoints,
    Reject,
    SetTimer,
    StartAttempt,
)
from quota_gateway.model.endpoints import Endpoint, EndpointListKind
from quota_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    RequestReceived,
    ResponseStreamStarted,
    TimerFired,
)
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.timers import decode_timer, encode_timer

OUTCOMES = {
    "GOOD": Outcome.SUCCESS,
    "BAD": Outcome.ERROR,
    "FULL": Outcome.REJECTED,
    "LATE": Outcome.TIMED_OUT,
    "NOCONN": Outcome.CONNECT_FAILED,
    "RST": Outcome.BROKEN_RESPONSE,
    "CXL": Outcome.CANCELLED,
    "NOP": Outcome.NOT_SENT,
}
ENDPOINT_LIST_KINDS = {
    "Partial": EndpointListKind.DELTA,
    "Complete": EndpointListKind.FULL,
    "Persisted": EndpointListKind.CACHED,
    "Error": EndpointListKind.FAILED,
}

NO_VALUE = "-"
TRUE = "1"
RETRY_FLAG = 2  # bit in the flags of a request that marks a retry by the client
ENDPOINT_COLUMNS = 8
# Minimum attempt timeout in milliseconds, the resolution of the protocol, where 0 means no timeout
MIN_ATTEMPT_TIMEOUT = 0.001

EndpointLists = Mapping[int, tuple[Endpoint, ...]]
T = TypeVar("T")


def decode_event(columns: list[str], endpoint_lists: EndpointLists) -> Event | None:
    """Return the event of one line, or None for a message that the policy engine does not use.

    `endpoint_lists` maps the numbers of the lists that the simulator has sent to their endpoints. A malformed
    line raises SimulatorProtocolError, ValueError or IndexError.
    """
    match columns[0]:
        case "job_in":
            return _decode_request_received(columns)
        case "result":
            return _decode_attempt_ended(columns)
        case "deadline_hit":
            return TimerFired(decode_timer(columns[1]))
        case "counted":
            return _decode_counter_reply(columns)
        case "discovery":
            return _decode_endpoint_list_update(columns, endpoint_lists)
        case "client_left":
            return ClientDisconnected(int(columns[1]))
        case "ack_first":
            return ResponseStreamStarted(int(columns[1]), int(columns[2]))
        case "probe_result":
            return _decode_health_check_result(columns)
        case "note_from":
            return None
    raise SimulatorProtocolError(f"unknown message {columns[0]!r}")


def decode_endpoint(columns: list[str]) -> Endpoint:
    """Return the endpoint in a line `backend ID ZONE TYPE CELL STATUS WEIGHT STARTED` of a list."""
    if len(columns) < ENDPOINT_COLUMNS or columns[0] != "backend":
        raise SimulatorProtocolError("expected a backend line")
    started_at = 0.0 if columns[7] == NO_VALUE else float(columns[7]) / MILLISECONDS_PER_SECOND
    return Endpoint(
        endpoint_id=columns[1],
        zone=columns[2],
        machine_type=columns[3],
        cell=int(columns[4]),
        status=_lookup(ENDPOINT_STATUSES, columns[5]),
        weight=float(columns[6]),
        started_at=started_at or None,
    )


def encode_action(action: Action) -> str:
    """Return the line that requests an action from the simulator."""
    match action:
        case StartAttempt():
            timeout = max(action.timeout * MILLISECONDS_PER_SECOND, MIN_ATTEMPT_TIMEOUT)
            return f"issue\t{action.request_id}\t{timeout:.3f}\t{action.endpoint_id}"
        case SetTimer():
            return f"timer\t{action.delay * MILLISECONDS_PER_SECOND:.3f}\t{encode_timer(action.timer)}"
        case Reject():
            return f"deny\t{action.request_id}\t{action.retry_after * MILLISECONDS_PER_SECOND:.3f}"
        case FailRequest():
            return f"report_failure\t{action.request_id}"
        case IncrementCounter():
            expire_after = action.expire_after * MILLISECONDS_PER_SECOND
            return f"incr\t{action.name}\t{action.amount:.6g}\t{expire_after:.3f}"
        case CancelAttempt():
            return f"recall\t{action.request_id}\t{action.attempt_index}"
        case PollEndpoints():
            return "keep_informed\t1"
    raise AssertionError(f"action that the simulator does not support: {action!r}")


def _decode_request_received(columns: list[str]) -> RequestReceived:
    """Decode `job_in ID CLASS PLAN CUSTOMER DEADLINE UNITS SPREAD FIRST_GATEWAY FLAGS`."""
    return RequestReceived(
        request_id=int(columns[1]),
        request_class=columns[2],
        plan=_optional(columns, 3, ""),
        customer=_optional(columns, 4, ""),
        deadline=float(columns[5]) / MILLISECONDS_PER_SECOND,
        units=float(_optional(columns, 6, "1")),
        quota_spread=int(_optional(columns, 7, "0")),
        first_gateway_index=int(_optional(columns, 8, "0")),
        is_retry=bool(int(_optional(columns, 9, "0")) & RETRY_FLAG),
    )


def _decode_attempt_ended(columns: list[str]) -> AttemptEnded:
    """Decode `result ID ATTEMPT ENDPOINT OUTCOME ELAPSED ANSWERED UNUSED UNITS LOAD_REPORT`."""
    return AttemptEnded(
        request_id=int(columns[1]),
        attempt_index=int(columns[2]),
        endpoint_id=columns[3],
        outcome=_lookup(OUTCOMES, columns[4]),
        elapsed=float(columns[5]) / MILLISECONDS_PER_SECOND,
        request_answered=_optional(columns, 6, "0") == TRUE,
        billed_units=float(_optional(columns, 8, "0")),
        load_report=_load_report(columns, 9),
    )


def _decode_counter_reply(columns: list[str]) -> CounterReply:
    """Decode `counted NAME ELAPSED TOTAL OUTCOME`."""
    return CounterReply(
        name=columns[1],
        outcome=_lookup(OUTCOMES, columns[4]),
        elapsed=float(columns[2]) / MILLISECONDS_PER_SECOND,
        total=float(_optional(columns, 3, "0")),
    )


def _decode_endpoint_list_update(columns: list[str], endpoint_lists: EndpointLists) -> EndpointListUpdate:
    """Decode `discovery LIST_NUMBER KIND`."""
    kind = _lookup(ENDPOINT_LIST_KINDS, columns[2])
    if kind is EndpointListKind.FAILED:
        return EndpointListUpdate(kind, ())
    number = int(columns[1])
    if number not in endpoint_lists:
        raise SimulatorProtocolError("discovery refers to an unknown page")
    return EndpointListUpdate(kind, endpoint_lists[number])


def _decode_health_check_result(columns: list[str]) -> HealthCheckResult:
    """Decode `probe_result ENDPOINT OUTCOME ELAPSED LOAD_REPORT`."""
    return HealthCheckResult(
        endpoint_id=columns[1],
        outcome=_lookup(OUTCOMES, columns[2]),
        elapsed=float(columns[3]) / MILLISECONDS_PER_SECOND,
        load_report=_load_report(columns, 4),
    )


def _load_report(columns: list[str], index: int) -> tuple[float, ...]:
    text = _optional(columns, index, "")
    return tuple(map(float, text.split(","))) if text else ()


def _optional(columns: list[str], index: int, default: str) -> str:
    if index >= len(columns):
        return default
    value = columns[index]
    return default if value == NO_VALUE else value


def _lookup(members: Mapping[str, T], name: str) -> T:
    try:
        return members[name]
    except KeyError:
        raise SimulatorProtocolError(f"unknown value {name!r}") from None
