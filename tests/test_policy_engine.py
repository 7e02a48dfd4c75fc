"""Unusual events and settings that the policy engine has to tolerate."""

from __future__ import annotations

from dataclasses import replace

import pytest

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.actions import Reject, SetTimer
from quota_gateway.model.endpoints import EndpointListKind
from quota_gateway.model.events import (
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    TimerFired,
)
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.timers import LateAttemptTimer, ReleaseQueueTimer
from tests.policy_assertions import first_attempt
from tests.policy_harness import (
    CAPPED_PLAN,
    SETTINGS,
    SMALL_PLAN,
    endpoint_list_update,
    make_attempt_ended,
    make_endpoint,
    make_engine,
    make_request,
)


@pytest.mark.parametrize(
    "event",
    [
        make_attempt_ended(9, 0, "a", Outcome.SUCCESS),
        ClientDisconnected(9),
        TimerFired(LateAttemptTimer(9, 0)),
        TimerFired(ReleaseQueueTimer("nobody")),
    ],
    ids=lambda event: type(event).__name__,
)
def test_unknown_request_or_customer_is_ignored(event: Event) -> None:
    assert make_engine().handle(event, 100.0) == []


def test_unknown_request_class_is_rejected() -> None:
    engine = make_engine()
    assert engine.handle(make_request(1, request_class="nonsense"), 100.0) == [Reject(1, 0.0)]
    assert engine.forwarder.requests == {}


def test_engine_time_never_decreases() -> None:
    engine = make_engine()
    engine.handle(make_request(2), 101.0)
    engine.handle(make_request(3), 50.0)
    assert engine.context.now == 101.0
    assert engine.forwarder.requests[3].received_at == 101.0


@pytest.mark.parametrize("quota_spread", [0, 5, 10**6])
def test_any_quota_spread_is_accepted(quota_spread: int) -> None:
    assert make_engine().handle(make_request(1, quota_spread=quota_spread), 100.0)


def test_events_of_removed_endpoint_are_accepted() -> None:
    engine = make_engine()
    endpoint_id = first_attempt(engine.handle(make_request(1), 100.0)).endpoint_id
    engine.handle(EndpointListUpdate(EndpointListKind.FULL, ()), 100.1)
    engine.handle(HealthCheckResult(endpoint_id, Outcome.SUCCESS, 0.01, (1.0, 2.0, 3.0)), 100.2)
    engine.handle(make_attempt_ended(1, 0, endpoint_id, Outcome.SUCCESS), 100.3)
    assert engine.forwarder.requests == {}


def test_request_is_rejected_without_endpoints() -> None:
    engine = make_engine()
    engine.handle(EndpointListUpdate(EndpointListKind.FULL, ()), 100.1)
    assert isinstance(engine.handle(make_request(2), 100.4)[-1], Reject)


def test_zero_settings_are_accepted() -> None:
    """Settings of zero raise no error, and every timer has a positive delay."""
    settings = replace(
        SETTINGS,
        plans=(replace(SMALL_PLAN, rate=0.0, burst=0.0), CAPPED_PLAN),
        slow_start_window=0.0,
        slow_start_overload_ratio=0.0,
        overload_duration=0.0,
        counter_timeout=0.0,
        poll_interval=0.0,
        slow_start_minimum=0.0,
        max_request_units=0.0,
        request_classes=tuple(replace(each, latency_objective=0.0) for each in SETTINGS.request_classes),
    )
    engine = PolicyEngine(settings, 1, 100.0)
    engine.handle(endpoint_list_update(make_endpoint("a", started_at=100.0)), 100.0)
    for number in range(20):
        now = 101.0 + number / 10
        for action in engine.handle(make_request(number, plan=("small", "capped")[number % 2]), now):
            if isinstance(action, SetTimer):
                assert action.delay > 0
                engine.handle(TimerFired(action.timer), now + action.delay)


def test_unknown_load_report_field_is_ignored() -> None:
    engine = make_engine(load_report_fields=("unknown field",))
    attempt = first_attempt(engine.handle(make_request(1), 100.0))
    response = make_attempt_ended(1, 0, attempt.endpoint_id, Outcome.SUCCESS)
    engine.handle(replace(response, load_report=(9.0, 9.0)), 100.1)
    assert engine.forwarder.requests == {}
