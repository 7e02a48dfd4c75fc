"""Start times that endpoints report by their own wall clocks, which may be stepped, as may the gateway's.

A reported start time is limited to the time between the last list without the start and the first with it.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.endpoints import EndpointListKind
from tests.policy_harness import SETTINGS, endpoint_list_update, make_endpoint, make_engine

HOUR = 3600.0  # seconds
NOW = 100_000.0  # seconds, on the gateway's clock
CLOCK_STEPS = [-HOUR, -2.0, 0.0, 2.0, HOUR]  # seconds
WINDOW = SETTINGS.slow_start_window
WARM = make_endpoint("w")


def confirm_list(engine: PolicyEngine, now: float) -> None:
    """Handle a response of discovery without changes."""
    engine.handle(endpoint_list_update(kind=EndpointListKind.DELTA), now)


def engine_with_list(now: float = NOW) -> PolicyEngine:
    """Return an engine whose endpoint list was confirmed 0.2 s before `now`."""
    engine = make_engine(now=now - 1.0, endpoint_list=endpoint_list_update(WARM))
    confirm_list(engine, now - 0.2)
    return engine


@pytest.mark.parametrize("step", CLOCK_STEPS)
def test_slow_start_begins_when_start_is_listed(step: float) -> None:
    engine = engine_with_list()
    started = make_endpoint("c", started_at=NOW - 0.1 + step)
    engine.handle(endpoint_list_update(started, kind=EndpointListKind.DELTA), NOW)
    listed = engine.endpoints["c"]
    minimum = SETTINGS.slow_start_minimum
    slope = (1.0 - minimum) / WINDOW
    for age in (0.0, 2.0, 0.5 * WINDOW, 0.9 * WINDOW):
        engine.context.now = NOW + age
        lowest = minimum + slope * age
        # The upper bound is for a start right after discovery's last response without it.
        assert lowest - 1e-6 <= engine.slow_start.capacity_fraction(listed) <= lowest + slope * 0.2 + 1e-6
        assert engine.slow_start.is_warming_up(listed)
    engine.context.now = NOW + WINDOW + 0.01
    assert engine.slow_start.capacity_fraction(listed) == 1.0 and not engine.slow_start.is_warming_up(listed)


@pytest.mark.parametrize("step", CLOCK_STEPS)
def test_restart_begins_slow_start_despite_clock_step(step: float) -> None:
    engine = engine_with_list()
    first = make_endpoint("c", started_at=NOW - 500.0)
    engine.handle(endpoint_list_update(first, kind=EndpointListKind.DELTA), NOW)
    engine.context.now = NOW + 50.0
    assert engine.slow_start.capacity_fraction(engine.endpoints["c"]) == 1.0
    confirm_list(engine, NOW + 99.9)
    restarted = replace(first, started_at=NOW + 99.95 + step)
    engine.handle(endpoint_list_update(restarted, kind=EndpointListKind.DELTA), NOW + 100.0)
    factor = engine.slow_start.capacity_fraction(engine.endpoints["c"])
    assert factor == pytest.approx(SETTINGS.slow_start_minimum, abs=0.01)


def test_start_before_first_list_is_used_as_reported() -> None:
    """A start in the first list is used as reported, unless it is later than the list itself."""
    update = endpoint_list_update(
        WARM, make_endpoint("old", started_at=NOW - 5.0), make_endpoint("ahead", started_at=NOW + HOUR)
    )
    engine = make_engine(now=NOW, endpoint_list=update)
    expected = SETTINGS.slow_start_minimum + (1 - SETTINGS.slow_start_minimum) * 5.0 / WINDOW
    assert engine.slow_start.capacity_fraction(engine.endpoints["old"]) == pytest.approx(expected)
    engine.context.now = NOW + WINDOW + 0.01
    assert engine.slow_start.capacity_fraction(engine.endpoints["ahead"]) == 1.0


def test_relisted_start_is_not_new() -> None:
    engine = engine_with_list()
    listed = make_endpoint("c", started_at=NOW - 0.1 - HOUR)
    engine.handle(endpoint_list_update(listed, kind=EndpointListKind.DELTA), NOW)
    engine.handle(endpoint_list_update(WARM), NOW + 3.0)  # a full list without it
    engine.handle(endpoint_list_update(WARM, listed), NOW + 4.0)
    expected = SETTINGS.slow_start_minimum + (1 - SETTINGS.slow_start_minimum) * 4.0 / WINDOW
    assert engine.slow_start.capacity_fraction(engine.endpoints["c"]) == pytest.approx(expected)
