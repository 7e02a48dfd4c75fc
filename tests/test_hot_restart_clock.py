"""Hot restarts across a step of the wall clock; times in the state are those of the older process's clock."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.actions import CloseIdleConnections, IncrementCounter, StartAttempt
from quota_gateway.model.endpoints import EndpointListKind
from quota_gateway.model.events import SetMaintenance, StateSnapshot
from tests.policy_harness import (
    CAPPED_PLAN,
    SETTINGS,
    endpoint_list_update,
    make_endpoint,
    make_engine,
    make_request,
)

HOUR = 3600.0  # seconds
NOW = 100_000.0  # seconds, on the clock of the older process


def saved_state(engine: PolicyEngine, by_older_version: bool, now: float = NOW) -> StateSnapshot:
    """Return the state as another process receives it; older versions do not include their current time."""
    state: dict[str, Any] = json.loads(json.dumps(engine.snapshot(now).state))
    if by_older_version:
        for key in ("now", "quota_time", "starts"):
            del state[key]
    return StateSnapshot(state)


def count_forwarded(engine: PolicyEngine, plan: str, now: float, requests: int) -> int:
    """Send requests of one unit, and return how many of them are forwarded immediately."""
    actions = [
        action
        for number in range(requests)
        for action in engine.handle(
            make_request(1000 * int(now) + number, plan=plan, deadline=now + 4.0), now
        )
    ]
    return sum(isinstance(action, StartAttempt) for action in actions)


@pytest.mark.parametrize("by_older_version", [False, True])
@pytest.mark.parametrize("step", [-HOUR, -3.0, 3.0, HOUR])
@pytest.mark.parametrize("plan", ["small", "capped"])
def test_quotas_survive_restart_across_clock_step(plan: str, step: float, by_older_version: bool) -> None:
    def forwarded_around_restart(step: float) -> tuple[int, int, int]:
        old = make_engine(now=NOW)
        forwarded_by_old = count_forwarded(old, plan, NOW + 5.0, 30)
        new = make_engine(now=NOW + 5.0 + step)
        new.handle(saved_state(old, by_older_version, NOW + 5.0), NOW + 5.0 + step)
        return (
            forwarded_by_old,
            count_forwarded(new, plan, NOW + 5.0 + step, 30),
            count_forwarded(new, plan, NOW + 7.0 + step, 30),
        )

    assert forwarded_around_restart(step) == forwarded_around_restart(0.0)


@pytest.mark.parametrize("by_older_version", [False, True])
@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_restored_times_shift_with_clock_step(step: float, by_older_version: bool) -> None:
    old = make_engine(now=NOW)
    count_forwarded(old, "small", NOW, 8)
    old.handle(SetMaintenance("b", True), NOW)
    assert old.handle(SetMaintenance("b", False), NOW) != [CloseIdleConnections("b")]
    old.counter_health.backoff_until = NOW + 2.0
    old.endpoints["a"].failure_score = 4.0
    new = make_engine(now=NOW + step)
    new.handle(saved_state(old, by_older_version), NOW + step)
    assert new.slow_start.capacity_fraction(new.endpoints["b"]) == pytest.approx(SETTINGS.slow_start_minimum)
    assert new.counter_health.backoff_until == pytest.approx(NOW + step + 2.0)
    assert new.endpoints["a"].decayed_at == pytest.approx(NOW + step)
    assert new.context.started_at <= NOW + step
    (limiter,) = new.limiter_registry.limiters.values()
    assert limiter.refilled_at == pytest.approx(NOW + step)


@pytest.mark.parametrize("step", [-HOUR, -2.0, 2.0, HOUR])
def test_slow_start_continues_across_clock_step(step: float) -> None:
    old = make_engine(now=NOW - 1.0)
    started = make_endpoint("b", 1, started_at=NOW + step)  # by the endpoint's clock, which was stepped
    old.handle(endpoint_list_update(started, kind=EndpointListKind.DELTA), NOW)
    new = make_engine(now=NOW + step + 3.0, endpoint_list=endpoint_list_update(make_endpoint("a"), started))
    new.handle(saved_state(old, False, NOW + 3.0), NOW + step + 3.0)
    expected = old.slow_start.capacity_fraction(old.endpoints["b"])
    old.context.now = NOW + 3.0
    assert expected < old.slow_start.capacity_fraction(old.endpoints["b"])
    assert new.slow_start.capacity_fraction(new.endpoints["b"]) == pytest.approx(
        old.slow_start.capacity_fraction(old.endpoints["b"])
    )


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_counter_names_survive_restart_across_clock_step(step: float) -> None:
    settings: dict[str, Any] = {"gateway_count": 20, "plans": (replace(CAPPED_PLAN, name="small"),)}
    old, new = make_engine(now=NOW, **settings), make_engine(now=NOW + step, **settings)
    new.handle(saved_state(old, False), NOW + step)

    def counted_name(engine: PolicyEngine, now: float) -> str:
        actions = engine.handle(make_request(1, quota_spread=20, deadline=now + 4.0), now)
        return next(action.name for action in actions if isinstance(action, IncrementCounter))

    assert counted_name(new, NOW + step) == counted_name(old, NOW)


def test_limiter_with_future_time_loses_no_units() -> None:
    """A limiter that was last refilled at a later time than now keeps its balances."""
    engine = make_engine(now=NOW)
    count_forwarded(engine, "capped", NOW, 2)
    (limiter,) = engine.limiter_registry.limiters.values()
    before = (limiter.balance, limiter.hard_limit_balance)
    limiter.refilled_at = NOW + HOUR
    limiter.refill(NOW)
    assert (limiter.balance, limiter.hard_limit_balance) == before
    limiter.refill(NOW + 1.0)
    assert limiter.hard_limit_balance > before[1]
