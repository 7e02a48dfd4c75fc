"""The oracle of the soak finds broken invariants, and none where there is none."""

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
    at: float = 10.0, request_class: str = "lookup", gateway: int = 0, first: bool = True
) -> LoggedEvent:
    return event(at, "sent", call=CALL, budget=1.0, request_class=request_class, gateway=gateway, first=first)


def started(at: float, left: float = 0.5, endpoint: str = "b0", gateway: int = 0) -> LoggedEvent:
    source = f"gateway-{gateway}-1"
    return event(at, "started", source, call=CALL, left=f"{left}", endpoint=endpoint, attempt="0")


ANSWER = event(10.5, "answer", call=CALL, status=200, right=True)
ANSWERED_LATE = event(9.2, "answer", call=CALL, status=200, right=True)
ANSWERED_EARLY = event(7.5, "answer", call=CALL, status=200, right=True)
LATE_ANSWER = event(11.7, "answer", call=CALL, status=429, right=True)
CLOSED = event(10.5, "closed", call=CALL, partial=False)
CLOSED_BEHIND = event(10.5, "closed", call=CALL, behind="0")
CUT_OFF_BEFORE = event(10.5, "closed", call="0", partial=True)
CUT_OFF = event(10.5, "closed", call=CALL, partial=True)
RECEIVED = event(10.1, "received", "gateway-0-1", call=CALL)
LEFT = event(10.2, "left", call=CALL, how="close")
KILLED = event(10.3, "signal", "control", process="gateway-0-1", number="SIGKILL")
STARTED = event(1.0, "started", "control", process="gateway-0-1", gateway=0)
STARTED_LATER = event(6.5, "started", "control", process="gateway-0-1", gateway=0)
TOLD_LATER = event(6.7, "told", "control", gateway=0, backend="b0", lifecycle="DRAINING")
DRAINED = event(5.0, "drained", "control", backend="b0")
TOLD = event(5.1, "told", "control", gateway=0, backend="b0", lifecycle="DRAINING")
AGENT_DOWN = event(6.0, "agent_mode", "control", gateway=0, mode="down")
MAINTENANCE = event(9.0, "maintenance", "control", gateway=0, backend="b0")
MAINTENANCE_ENDED = event(9.9, "maintenance_ended", "control", gateway=0, backend="b0")


def ran(at: float = 10.2, told: float = 0.5) -> LoggedEvent:
    return event(at, "ran", "backends-0", call=CALL, backend="b0", told=told)


def sent_before() -> LoggedEvent:
    """Return the request that was pipelined before."""
    return event(10.0, "sent", call="0", budget=1.0, request_class="lookup", gateway=0, first=True)


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        ([sent(), RECEIVED, started(10.1), ran(), ANSWER], None),
        ([sent(), LATE_ANSWER], "answers come in time"),
        ([sent(), KILLED, LATE_ANSWER], None),
        ([sent(), event(13.0, "unanswered", call=CALL)], "every request is answered"),
        ([sent(), CLOSED], "every request is answered"),
        ([sent(first=False), CLOSED], None),  # it crossed the close of a resting connection
        ([sent(first=False), RECEIVED, CLOSED], "every request is answered"),
        ([sent(), RECEIVED, CUT_OFF], None),
        ([sent(), RECEIVED, KILLED, CLOSED], None),
        (
            [sent(), event(10.5, "answer", call=CALL, status=200, right=False)],
            "answers belong to their requests",
        ),
        ([sent(), LEFT, started(10.25)], None),
        ([sent(), LEFT, started(10.35)], "no attempt begins after its client left"),
        ([sent(), started(10.1), ran(told=1.1), ANSWER], "endpoints are told no more than is left"),
        (
            [sent(), started(10.4, left=0.9), ran(10.45, told=0.6), ANSWER],
            None,
        ),  # held up before it was logged
        ([sent(first=False), RECEIVED, CLOSED_BEHIND, sent_before(), CUT_OFF_BEFORE], None),
        ([sent(first=False), RECEIVED, CLOSED_BEHIND], "every request is answered"),
        ([sent(request_class="extract"), ran(), ran(10.3), ANSWER], "a request runs once"),
        ([sent(), ran(), ran(10.3), ANSWER], None),
        ([ran()], "no request that no client sent"),
        (
            [STARTED, DRAINED, TOLD, sent(7.0), started(7.3), ANSWERED_EARLY],
            "nothing is sent to a backend that drains",
        ),
        ([STARTED, DRAINED, TOLD, AGENT_DOWN, sent(7.0), started(7.3), ANSWERED_EARLY], None),
        (
            [
                STARTED,
                DRAINED,
                TOLD,
                sent(6.5),
                started(6.6),
                event(6.9, "answer", call=CALL, status=200, right=True),
            ],
            None,
        ),
        ([STARTED_LATER, DRAINED, TOLD, TOLD_LATER, sent(7.0), started(7.3), ANSWERED_EARLY], None),
        (
            [STARTED_LATER, DRAINED, TOLD, TOLD_LATER, sent(8.8), started(9.0), ANSWERED_LATE],
            "nothing is sent to a backend that drains",
        ),
        ([MAINTENANCE, sent(), started(10.1), ANSWER], "nothing is sent to a backend in maintenance"),
        ([MAINTENANCE, MAINTENANCE_ENDED, sent(), started(10.1), ANSWER], None),
        (
            [event(1.0, "failed_start", "control", process="gateway-0-1", code=1)],
            "processes start and end in time",
        ),
        ([event(1.0, "ended", "control", process="gateway-0-1", code=1)], "processes end well"),
        ([event(9.0, "bad_request_kept", gateway=0, seconds=3.6)], "bad requests end in 3 s"),
    ],
)
def test_the_oracle_tells_broken_invariants_from_what_is_allowed(
    events: list[LoggedEvent], broken: str | None
) -> None:
    history = History(sorted(events, key=lambda each: each.at))
    for each in history.events:
        if "call" in each.fields:
            history.by_call[each.fields["call"]].append(each)
    violations = Oracle(history, SIZE, machine_slack=0.0).check()
    assert {violation.invariant for violation in violations} == ({broken} if broken else set())


def test_what_a_gateway_logs_besides_is_a_violation() -> None:
    errors = {"gateway-0-1": "quota_gateway: invariant sent_once is violated by b'x'"}
    violations = Oracle(History([], errors=errors), SIZE, machine_slack=0.0).check()
    assert [violation.invariant for violation in violations] == ["no error is logged"]


def test_plan_faults_reproducible_and_overlapping() -> None:
    faults = plan_faults(7, 60.0)
    assert faults == plan_faults(7, 60.0) != plan_faults(8, 60.0)
    assert sum(fault.duration for fault in faults) > 2 * 60.0 * MEAN_FAULT_INTERVAL
    start_times = [fault.starts_at for fault in faults]
    assert start_times == sorted(start_times)
