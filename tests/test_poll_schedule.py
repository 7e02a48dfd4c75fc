"""Poll schedules: backoff and timeouts for every fleet size, within the bound on the propagation delay."""

from __future__ import annotations

import pytest

from quota_gateway.discovery.poll_schedule import (
    DEFAULT_POLL_SCHEDULE,
    MAX_PROPAGATION_DELAY,
    MIN_BACKOFF_FRACTION,
    PollSchedule,
    poll_schedule_for,
)

DRAIN_TIMEOUT = 2.0  # seconds
MAX_GATEWAY_COUNT = 7800


def test_large_fleets_back_off_longer() -> None:
    # Discovery answers a fixed number of polls a second; polls beyond it queue until they time out.
    small = poll_schedule_for(4, False, DRAIN_TIMEOUT)
    large = poll_schedule_for(40, False, DRAIN_TIMEOUT)
    assert large.first_backoff == 0.75
    assert small.first_backoff < 0.75 / 3
    assert large.max_backoff == small.max_backoff == 1.0
    assert poll_schedule_for(1000, False, DRAIN_TIMEOUT) == large


def test_default_schedule_is_for_single_gateway() -> None:
    schedule = poll_schedule_for(1, False, DRAIN_TIMEOUT)
    assert schedule == DEFAULT_POLL_SCHEDULE
    assert schedule == PollSchedule(2.0, 1.0, 2, 0.05, 1.0)


@pytest.mark.parametrize("drain_timeout", [0.5, 2.0])
def test_two_pushed_polls_fit_into_drain_timeout(drain_timeout: float) -> None:
    # Polls of such an agent are cheap, and its list at startup or after an outage has to be applied at once.
    for gateway_count in (1, 3, 40, 200):
        schedule = poll_schedule_for(gateway_count, True, drain_timeout)
        assert 2 * schedule.response_timeout + schedule.max_backoff < drain_timeout
        assert schedule.max_timeout_factor == 1
        assert schedule == poll_schedule_for(1, True, drain_timeout)


def test_propagation_bound_holds_for_every_fleet_size() -> None:
    for gateway_count in range(1, MAX_GATEWAY_COUNT + 1):
        polled = poll_schedule_for(gateway_count, False, DRAIN_TIMEOUT)
        assert polled.propagation_bound <= MAX_PROPAGATION_DELAY
        assert 0 < polled.first_backoff <= polled.max_backoff
        assert polled == poll_schedule_for(gateway_count, False, 0.5)  # independent of the drain timeout


def test_propagation_bound_holds_for_every_drain_timeout() -> None:
    for drain_timeout in (0.1, 0.5, 2.0, 6.0, 60.0):
        pushed = poll_schedule_for(1, True, drain_timeout)
        assert pushed.propagation_bound <= MAX_PROPAGATION_DELAY
        assert all(
            poll_schedule_for(gateway_count, True, drain_timeout) == pushed
            for gateway_count in range(1, MAX_GATEWAY_COUNT + 1)
        )


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("gateway_count", [1, 3, 40, 200, MAX_GATEWAY_COUNT])
def test_retry_after_is_capped_by_maximum_backoff(gateway_count: int, pushed: bool) -> None:
    schedule = poll_schedule_for(gateway_count, pushed, DRAIN_TIMEOUT)
    delays = [
        schedule.jittered_delay(schedule.first_backoff, retry_after)
        for retry_after in (0.0, 0.1, 3.0, 1e9)
        for _ in range(200)
    ]
    assert max(delays) <= schedule.max_backoff
    assert len(set(delays)) > 700  # gateways with the same Retry-After retry at different times
    min_delay = min(0.1, schedule.max_backoff * MIN_BACKOFF_FRACTION)
    assert min(schedule.jittered_delay(schedule.first_backoff, 0.1) for _ in range(200)) >= min_delay - 1e-9
