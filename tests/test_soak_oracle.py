"""Tests of the soak's oracle, which must report every violated invariant and nothing else."""

from __future__ import annotations

from typing import Any

import pytest

from tests.soak.event_log import LoggedEvent
from tests.soak.oracle import History, Oracle
from tests.soak.plan import MEAN_FAULT_INTERVAL, RunSize, plan_faults

SIZE = RunSize(2, 1, 2, 1, 1, 20.0)
CALL = "1"


def event(at: float, name: str, source: str = "clients-0", **fields: Any) -> LoggedEvent:
    return LoggedEvent(at, name, fields, source)


def sent(
    at: float = 10.0, request_class: str = "lookup", gateway: int = 0, first_on_connection: bool = True
) -> LoggedEvent:
    return event(
        at,
        "request_sent",
        call=CALL,
        budget=1.0,
        request_class=request_class,
        gateway=gateway,
        first_on_connection=first_on_connection,
    )


def started(at: float, left: float = 0.5, endpoint: str = "b0", gateway: int = 0) -> LoggedEvent:
    source = f"gateway-{gateway}-1"
    return event(at, "started", source, call=CALL, left=f"{left}", endpoint=endpoint, attempt="0")


RESPONSE = event(10.5, "response_received", call=CALL, status=200, matches_request=True)
RESPONSE_AT_9_2 = event(9.2, "response_received", call=CALL, status=200, matches_request=True)
RESPONSE_AT_7_5 = event(7.5, "response_received", call=CALL, status=200, matches_request=True)
LATE_RESPONSE = event(11.7, "response_received", call=CALL, status=429, matches_request=True)
CONNECTION_CLOSED = event(10.5, "connection_closed", call=CALL, partial_response=False)
CLOSED_IN_PIPELINE = event(10.5, "connection_closed", call=CALL, pipelined_after="0")
PREVIOUS_CUT_OFF = event(10.5, "connection_closed", call="0", partial_response=True)
CUT_OFF = event(10.5, "connection_closed", call=CALL, partial_response=True)
RECEIVED = event(10.1, "received", "gateway-0-1", call=CALL)
CLIENT_CLOSED = event(10.2, "client_closed", call=CALL, how="close")
KILLED = event(10.3, "signal_sent", "control", process="gateway-0-1", signal_name="SIGKILL")
STARTED = event(1.0, "started", "control", process="gateway-0-1", gateway=0)
STARTED_LATER = event(6.5, "started", "control", process="gateway-0-1", gateway=0)
REPORTED_LATER = event(6.7, "endpoint_reported", "control", gateway=0, backend="b0", lifecycle="DRAINING")
DRAIN_STARTED = event(5.0, "drain_started", "control", backend="b0")
REPORTED = event(5.1, "endpoint_reported", "control", gateway=0, backend="b0", lifecycle="DRAINING")
AGENT_DOWN = event(6.0, "agent_mode_changed", "control", gateway=0, mode="down")
MAINTENANCE_STARTED = event(9.0, "maintenance_started", "control", gateway=0, backend="b0")
MAINTENANCE_ENDED = event(9.9, "maintenance_ended", "control", gateway=0, backend="b0")


def executed(at: float = 10.2, budget: float = 0.5) -> LoggedEvent:
    return event(at, "request_executed", "backends-0", call=CALL, backend="b0", budget=budget)


def sent_previous() -> LoggedEvent:
    """Return the sending of the request that precedes CALL in its pipeline."""
    return event(
        10.0,
        "request_sent",
        call="0",
        budget=1.0,
        request_class="lookup",
        gateway=0,
        first_on_connection=True,
    )


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        ([sent(), RECEIVED, started(10.1), executed(), RESPONSE], None),
        ([sent(), LATE_RESPONSE], "answers come in time"),
        ([sent(), KILLED, LATE_RESPONSE], None),
        ([sent(), event(13.0, "response_timeout", call=CALL)], "every request is answered"),
        ([sent(), CONNECTION_CLOSED], "every request is answered"),
        (
            [sent(first_on_connection=False), CONNECTION_CLOSED],
            None,
        ),  # sent while the gateway closed an idle connection
        ([sent(first_on_connection=False), RECEIVED, CONNECTION_CLOSED], "every request is answered"),
        ([sent(), RECEIVED, CUT_OFF], None),
        ([sent(), RECEIVED, KILLED, CONNECTION_CLOSED], None),
        (
            [sent(), event(10.5, "response_received", call=CALL, status=200, matches_request=False)],
            "answers belong to their requests",
        ),
        ([sent(), CLIENT_CLOSED, started(10.25)], None),
        ([sent(), CLIENT_CLOSED, started(10.35)], "no attempt begins after its client left"),
        ([sent(), started(10.1), executed(budget=1.1), RESPONSE], "endpoints are told no more than is left"),
        (
            [sent(), started(10.4, left=0.9), executed(10.45, budget=0.6), RESPONSE],
            None,
        ),  # paused between computing `left` and logging the start
        (
            [
                sent(first_on_connection=False),
                RECEIVED,
                CLOSED_IN_PIPELINE,
                sent_previous(),
                PREVIOUS_CUT_OFF,
            ],
            None,
        ),
        ([sent(first_on_connection=False), RECEIVED, CLOSED_IN_PIPELINE], "every request is answered"),
        ([sent(request_class="extract"), executed(), executed(10.3), RESPONSE], "a request runs once"),
        ([sent(), executed(), executed(10.3), RESPONSE], None),
        ([executed()], "no request that no client sent"),
        (
            [STARTED, DRAIN_STARTED, REPORTED, sent(7.0), started(7.3), RESPONSE_AT_7_5],
            "nothing is sent to a backend that drains",
        ),
        ([STARTED, DRAIN_STARTED, REPORTED, AGENT_DOWN, sent(7.0), started(7.3), RESPONSE_AT_7_5], None),
        (
            [
                STARTED,
                DRAIN_STARTED,
                REPORTED,
                sent(6.5),
                started(6.6),
                event(6.9, "response_received", call=CALL, status=200, matches_request=True),
            ],
            None,
        ),
        (
            [
                STARTED_LATER,
                DRAIN_STARTED,
                REPORTED,
                REPORTED_LATER,
                sent(7.0),
                started(7.3),
                RESPONSE_AT_7_5,
            ],
            None,
        ),
        (
            [
                STARTED_LATER,
                DRAIN_STARTED,
                REPORTED,
                REPORTED_LATER,
                sent(8.8),
                started(9.0),
                RESPONSE_AT_9_2,
            ],
            "nothing is sent to a backend that drains",
        ),
        (
            [MAINTENANCE_STARTED, sent(), started(10.1), RESPONSE],
            "nothing is sent to a backend in maintenance",
        ),
        ([MAINTENANCE_STARTED, MAINTENANCE_ENDED, sent(), started(10.1), RESPONSE], None),
        (
            [event(1.0, "start_failed", "control", process="gateway-0-1", code=1)],
            "processes start and end in time",
        ),
        ([event(1.0, "ended", "control", process="gateway-0-1", code=1)], "processes end well"),
        ([event(9.0, "bad_request_not_closed", gateway=0, seconds=3.6)], "bad requests end in 3 s"),
    ],
)
def test_oracle_reports_only_broken_invariants(events: list[LoggedEvent], expected: str | None) -> None:
    history = History(sorted(events, key=lambda logged: logged.at))
    for logged in history.events:
        if "call" in logged.fields:
            history.by_call[logged.fields["call"]].append(logged)
    violations = Oracle(history, SIZE, machine_slack=0.0).check()
    assert {violation.invariant for violation in violations} == ({expected} if expected else set())


def test_oracle_reports_logged_gateway_errors() -> None:
    errors = {"gateway-0-1": "quota_gateway: invariant sent_once is violated by b'x'"}
    violations = Oracle(History([], errors=errors), SIZE, machine_slack=0.0).check()
    assert [violation.invariant for violation in violations] == ["no error is logged"]


def test_plan_faults_reproducible_and_overlapping() -> None:
    faults = plan_faults(7, 60.0)
    assert faults == plan_faults(7, 60.0) != plan_faults(8, 60.0)
    assert sum(fault.duration for fault in faults) > 2 * 60.0 * MEAN_FAULT_INTERVAL
    start_times = [fault.starts_at for fault in faults]
    assert start_times == sorted(start_times)
