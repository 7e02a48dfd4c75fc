"""Admission control and outlier detection with overloaded, stuck, unreachable and rejecting endpoints."""

from __future__ import annotations

import pytest

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.events import TimerFired
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.timers import LateAttemptTimer
from tests.policy_assertions import first_attempt, first_timer, started_attempts
from tests.policy_harness import (
    endpoint_list_update,
    make_attempt_ended,
    make_endpoint,
    make_engine,
    make_request,
)

REJECTING_ENDPOINTS = {"b0", "b1", "b2"}  # ids of endpoints that reject one class and plan


def test_load_shedding_ends_with_slow_responses() -> None:
    """Regression: slow responses had all requests rejected, permanently or for as long as they lasted."""
    engine = make_engine(gateway_count=1)
    admitted: list[bool] = []
    for number in range(160):
        now = 100.0 + number / 2
        actions = engine.handle(
            make_request(number, customer=f"x{number}", deadline=now + 4, quota_spread=1), now
        )
        attempts = started_attempts(actions)
        admitted.append(bool(attempts))
        if attempts:
            elapsed = 0.9 if number < 60 else 0.1
            success = make_attempt_ended(number, 0, attempts[0].endpoint_id, Outcome.SUCCESS, elapsed)
            engine.handle(success, now + 0.4)
    assert sum(admitted[40:60]) <= 10  # most are rejected; a few detect when responses are fast again
    assert all(admitted[140:])


@pytest.mark.parametrize("gateway_count", [2, 300])
def test_overload_is_detected_at_any_fleet_size(gateway_count: int) -> None:
    """Regression: each of many gateways sent an endpoint too few requests to detect their joint overload."""
    listed = endpoint_list_update(*(make_endpoint(f"b{number}") for number in range(60)))
    engine = make_engine(gateway_count=gateway_count, endpoint_list=listed)
    admitted = 0
    for number in range(60):
        now = 100.0 + number / 2
        actions = engine.handle(
            make_request(number, customer=f"x{number}", quota_spread=1, deadline=now + 4), now
        )
        for attempt in started_attempts(actions):
            admitted += number >= 40
            engine.handle(make_attempt_ended(number, 0, attempt.endpoint_id, Outcome.SUCCESS, 0.9), now + 0.4)
    assert 0 < admitted <= 10


def test_stuck_attempts_limit_only_their_endpoint() -> None:
    """Regression: very slow endpoints filled a concurrency limit that all endpoints shared."""
    engine = make_engine(
        gateway_count=1, endpoint_list=endpoint_list_update(make_endpoint("a"), make_endpoint("b"))
    )
    stuck = 0
    for number in range(40):
        now = 100.0 + number
        actions = engine.handle(
            make_request(number, customer=f"x{number}", deadline=now + 90, quota_spread=1), now
        )
        endpoint_id = first_attempt(actions).endpoint_id
        set_timer = first_timer(actions, LateAttemptTimer)
        if endpoint_id == "a":
            stuck += 1
            engine.handle(TimerFired(set_timer.timer), now + set_timer.delay)
        else:
            engine.handle(make_attempt_ended(number, 0, endpoint_id, Outcome.SUCCESS, 0.1), now + 0.1)
    assert stuck <= 9  # the endpoint's concurrency limit is reached


def test_endpoint_refusing_connections_is_ejected_at_once() -> None:
    """Regression: failed endpoints that were still listed received a third of the attempts."""
    engine = make_engine(
        gateway_count=1,
        endpoint_list=endpoint_list_update(make_endpoint("a"), make_endpoint("b"), make_endpoint("c")),
    )
    number = 0
    endpoint_id = ""
    while endpoint_id != "a":
        number += 1
        actions = engine.handle(make_request(number, customer=f"x{number}", quota_spread=1), 100.0)
        endpoint_id = first_attempt(actions).endpoint_id
    engine.handle(make_attempt_ended(number, 0, "a", Outcome.CONNECT_FAILED), 100.1)
    for later in range(100, 110):
        actions = engine.handle(make_request(later, customer=f"x{later}", quota_spread=1), 100.2)
        assert first_attempt(actions).endpoint_id != "a"


def count_rejections(engine: PolicyEngine) -> int:
    """Send 200 requests of one class and plan, and return how many attempts endpoints rejected."""
    rejections = 0
    for number in range(200):
        now = 100.0 + number / 10
        actions = engine.handle(
            make_request(number, customer=f"x{number}", quota_spread=1, deadline=now + 4), now
        )
        endpoint_id: str | None = first_attempt(actions).endpoint_id
        attempt_index = 0
        while endpoint_id in REJECTING_ENDPOINTS:
            rejections += 1
            rejected = make_attempt_ended(number, attempt_index, endpoint_id, Outcome.REJECTED)
            retries = started_attempts(engine.handle(rejected, now + 0.01))
            endpoint_id = retries[0].endpoint_id if retries else None
            attempt_index += 1
        if endpoint_id is not None:
            engine.handle(make_attempt_ended(number, attempt_index, endpoint_id, Outcome.SUCCESS), now + 0.05)
    return rejections


def test_rejection_is_remembered_per_class_and_plan() -> None:
    """Regression (incident i9ba5ae): endpoints that rejected only one plan were tried again and again.

    A rejection does not count as a failure of the endpoint, which still receives other classes and plans.
    """
    listed = endpoint_list_update(*(make_endpoint(f"b{number}") for number in range(6)))
    engine = make_engine(gateway_count=1, endpoint_list=listed)
    assert count_rejections(engine) <= 15
    assert engine.endpoints["b0"].failure_score == 0
    others = [make_request(500 + n, "pay", "capped", f"y{n}", 1.0, 190.0, 1) for n in range(9)]
    assert REJECTING_ENDPOINTS & {first_attempt(engine.handle(other, 180.0)).endpoint_id for other in others}
