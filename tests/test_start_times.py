"""Endpoints tell when they started by their own wall clock, which may be stepped like the gateway's.

What they say is bounded by when the list first named the start, and when it last did not.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.endpoints import EndpointListKind
from tests.policy_harness import SETTINGS, endpoint_list_update, make_endpoint, make_engine

HOUR = 3600.0
NOW = 100_000.0  # seconds, on the gateway's clock
STEPS = [-HOUR, -2.0, 0.0, 2.0, HOUR]  # seconds
WINDOW = SETTINGS.slow_start_window
WARM = make_endpoint("w")


def confirm_list(engine: PolicyEngine, now: float) -> None:
    """Have discovery answer that nothing has changed."""
    engine.handle(endpoint_list_update(kind=EndpointListKind.DELTA), now)


def engine_with_list(now: float = NOW) -> PolicyEngine:
    """Return an engine whose list was confirmed a moment ago."""
    engine = make_engine(now=now - 1.0, endpoint_list=endpoint_list_update(WARM))
    confirm_list(engine, now - 0.2)
    return engine


@pytest.mark.parametrize("step", STEPS)
def test_slow_start_counts_from_when_the_start_was_first_listed(step: float) -> None:
    engine = engine_with_list()
    started = make_endpoint("c", started_at=NOW - 0.1 + step)
    engine.handle(endpoint_list_update(started, kind=EndpointListKind.DELTA), NOW)
    cold = engine.endpoints["c"]
    minimum = SETTINGS.slow_start_minimum
    slope = (1.0 - minimum) / WINDOW
    for age in (0.0, 2.0, 0.5 * WINDOW, 0.9 * WINDOW):
        engine.context.now = NOW + age
        lowest = minimum + slope * age
        # at most what it has if it started right after discovery last answered without it
        assert lowest - 1e-6 <= engine.slow_start.capacity_fraction(cold) <= lowest + slope * 0.2 + 1e-6
        assert engine.slow_start.is_warming_up(cold)
    engine.context.now = NOW + WINDOW + 0.01
    assert engine.slow_start.capacity_fraction(cold) == 1.0 and not engine.slow_start.is_warming_up(cold)


@pytest.mark.parametrize("step", STEPS)
def test_a_restart_is_a_start_whatever_the_clock_says(step: float) -> None:
    engine = engine_with_list()
    first = make_endpoint("c", started_at=NOW - 500.0)
    engine.handle(endpoint_list_update(first, kind=EndpointListKind.DELTA), NOW)
    engine.context.now = NOW + 50.0
    assert engine.slow_start.capacity_fraction(engine.endpoints["c"]) == 1.0
    confirm_list(engine, NOW + 99.9)
    again = replace(first, started_at=NOW + 99.95 + step)
    engine.handle(endpoint_list_update(again, kind=EndpointListKind.DELTA), NOW + 100.0)
    factor = engine.slow_start.capacity_fraction(engine.endpoints["c"])
    assert factor == pytest.approx(SETTINGS.slow_start_minimum, abs=0.01)


def test_a_start_of_before_the_first_list_counts_as_told_but_not_as_later_than_now() -> None:
    update = endpoint_list_update(
        WARM, make_endpoint("old", started_at=NOW - 5.0), make_endpoint("ahead", started_at=NOW + HOUR)
    )
    engine = make_engine(now=NOW, endpoint_list=update)
    middle = SETTINGS.slow_start_minimum + (1 - SETTINGS.slow_start_minimum) * 5.0 / WINDOW
    assert engine.slow_start.capacity_fraction(engine.endpoints["old"]) == pytest.approx(middle)
    engine.context.now = NOW + WINDOW + 0.01
    assert engine.slow_start.capacity_fraction(engine.endpoints["ahead"]) == 1.0


def test_a_start_that_was_listed_before_is_not_a_new_one() -> None:
    engine = engine_with_list()
    cold = make_endpoint("c", started_at=NOW - 0.1 - HOUR)
    engine.handle(endpoint_list_update(cold, kind=EndpointListKind.DELTA), NOW)
    engine.handle(endpoint_list_update(WARM), NOW + 3.0)  # a full list without it
    engine.handle(endpoint_list_update(WARM, cold), NOW + 4.0)
    expected = SETTINGS.slow_start_minimum + (1 - SETTINGS.slow_start_minimum) * 4.0 / WINDOW
    assert engine.slow_start.capacity_fraction(engine.endpoints["c"]) == pytest.approx(expected)
