"""Hand-worked cases of the rate limiter, its queue, and a gateway's part of a quota.

Unless a test says otherwise two gateways share a quota of 4 units a second and a burst of 8: each has a token
bucket with a capacity of 4 that refills by 2 a second.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.actions import IncrementCounter, Reject
from quota_gateway.model.events import CounterReply, TimerFired
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.timers import ReleaseQueueTimer, ReportDemandTimer
from quota_gateway.policy.token_bucket import EPSILON, TokenBucketLimiter
from quota_gateway.state.records import Limiter
from tests.policy_assertions import first_attempt, first_timer, limiter_of, started_attempts
from tests.policy_harness import (
    CAPPED_PLAN,
    SETTINGS,
    SMALL_PLAN,
    EngineHarness,
    endpoint_list_update,
    make_attempt_ended,
    make_endpoint,
    make_engine,
    make_request,
)


def engine_with_empty_bucket() -> PolicyEngine:
    """Return an engine that has forwarded a full bucket, 4 requests of one unit, at 100 s."""
    engine = make_engine()
    for number in range(4):
        assert len(started_attempts(engine.handle(make_request(number), 100.0))) == 1
    return engine


def test_request_beyond_the_queueing_bound_is_rejected_with_the_wait_as_retry_after() -> None:
    engine = engine_with_empty_bucket()
    # one unit refills in 0.5 s; a latency objective of 1 s allows 0.4 s in the queue
    rejection = engine.handle(make_request(4), 100.0)[-1]
    assert isinstance(rejection, Reject) and rejection.retry_after == pytest.approx(0.5)


def test_request_within_the_queueing_bound_is_queued_and_released_exactly_in_time() -> None:
    engine = engine_with_empty_bucket()
    # after 0.3 s 0.6 units have refilled: the rest of one unit takes 0.2 s, less than the bound of 0.4 s
    queued = engine.handle(make_request(4), 100.3)
    assert started_attempts(queued) == []
    release = first_timer(queued, ReleaseQueueTimer)
    assert release.delay == pytest.approx(0.2)
    assert len(started_attempts(engine.handle(TimerFired(release.timer), 100.3 + release.delay))) == 1


def test_request_larger_than_the_bucket_is_forwarded_once_the_bucket_is_full() -> None:
    limiter: Limiter = TokenBucketLimiter("c", SMALL_PLAN, quota_spread=4, now=0.0, started_at=0.0)
    # 1 unit a second and a capacity of 2: the bucket never holds 5 units
    assert limiter.wait_time(5.0) == 0.0
    limiter.balance = 1.0
    assert limiter.wait_time(5.0) == pytest.approx(1.0)


def test_queued_units_reserve_capacity() -> None:
    limiter: Limiter = TokenBucketLimiter("c", SMALL_PLAN, quota_spread=2, now=0.0, started_at=0.0)
    limiter.balance = -3.0
    limiter.queued_units = 3.0
    limiter.refill(10.0)
    assert limiter.balance == pytest.approx(1.0)  # capacity 4 less the 3 queued units


def test_settling_actual_units_may_make_the_balance_negative() -> None:
    engine = make_engine(charges_billed_units=True)
    attempt = first_attempt(engine.handle(make_request(1, units=4.0), 100.0))
    engine.handle(make_attempt_ended(1, 0, attempt.endpoint_id, Outcome.SUCCESS, billed_units=7.0), 100.0)
    assert limiter_of(engine).balance == pytest.approx(-3.0)  # capacity 4 less the 7 units


def test_spare_quota_is_split_evenly() -> None:
    limiter: Limiter = TokenBucketLimiter("c", SMALL_PLAN, quota_spread=2, now=0.0, started_at=0.0)
    limiter.local_demand = 1.0
    make_engine().quota_synchronizer.apply_reading(limiter, 4.0)
    # fleet demand is smoothed from 0 to 2 of the quota of 4: the local demand of 1, and half of the spare 2
    assert limiter.rate == pytest.approx(2.0)


def test_overbooked_quota_is_split_by_demand() -> None:
    limiter: Limiter = TokenBucketLimiter("c", SMALL_PLAN, quota_spread=2, now=0.0, started_at=0.0)
    limiter.local_demand = 3.0
    limiter.fleet_demand = 2.0
    make_engine().quota_synchronizer.apply_reading(limiter, 14.0)
    # fleet demand is smoothed from 2 to 8, above the quota of 4: 3/8 of that
    assert limiter.rate == pytest.approx(1.5)


def test_quota_is_split_evenly_again_once_the_last_reading_has_expired() -> None:
    engine = make_engine()
    engine.handle(make_request(1), 100.0)
    engine.quota_synchronizer.apply_reading(
        limiter_of(engine), 14.0
    )  # no local demand: the minimum, a tenth of 2 a second
    assert limiter_of(engine).rate == pytest.approx(0.2)
    engine.handle(TimerFired(ReportDemandTimer("c")), 103.0)  # a reading is valid for 2.5 s
    assert limiter_of(engine).rate == pytest.approx(2.0)


def test_reading_below_the_reported_demand_is_ignored() -> None:
    limiter: Limiter = TokenBucketLimiter("c", SMALL_PLAN, quota_spread=2, now=0.0, started_at=0.0)
    limiter.local_demand = 3.0
    limiter.reported_demand = 3.0
    limiter.fleet_demand = 6.0
    make_engine().quota_synchronizer.apply_reading(
        limiter, 0.0
    )  # less than this gateway added itself: the counter lost it
    assert limiter.fleet_demand == 6.0


def test_demand_is_reported_and_read_under_one_counter_name() -> None:
    harness = EngineHarness(make_engine())
    harness.handle(endpoint_list_update(make_endpoint("a")))
    for number in range(4):
        harness.handle(make_request(number, deadline=108.0))
    harness.run_until(102.0)
    assert len(harness.counter_calls) == 2 and harness.counter_calls[0] == harness.counter_calls[1]


def test_unreachable_counter_is_not_called() -> None:
    engine = engine_with_empty_bucket()
    engine.handle(CounterReply("c.100", Outcome.CONNECT_FAILED, 0.0, 0.0), 101.0)
    actions = engine.handle(TimerFired(ReportDemandTimer("c")), 101.1)
    assert not any(isinstance(action, IncrementCounter) for action in actions)


def test_hard_limit_grants_nothing_to_a_gateway_that_has_just_started() -> None:
    engine = make_engine(now=100.0)
    assert started_attempts(engine.handle(make_request(1, plan="capped"), 100.0)) == []


def test_hard_limit_grants_what_has_refilled_since_the_start() -> None:
    engine = make_engine(now=50.0)
    assert len(started_attempts(engine.handle(make_request(1, plan="capped"), 100.0))) == 1
    limiter: Limiter = TokenBucketLimiter("c", CAPPED_PLAN, quota_spread=2, now=100.0, started_at=99.0)
    assert limiter.hard_limit_balance == pytest.approx(3.0)  # 1 s of half of 6 units a second


def test_limiter_is_evicted_only_once_it_is_idle_and_full() -> None:
    engine = make_engine()
    attempt = first_attempt(engine.handle(make_request(1), 100.0))
    assert "c" in engine.limiter_registry.limiters
    engine.handle(make_attempt_ended(1, 0, attempt.endpoint_id, Outcome.SUCCESS), 100.1)
    for second in range(101, 106):
        engine.handle(TimerFired(ReportDemandTimer("c")), float(second))
    for number in range(2, 5):  # each new limiter has up to two others checked
        engine.handle(make_request(number, customer=f"other{number}", deadline=204.0), 200.0)
    assert "c" not in engine.limiter_registry.limiters


def test_concurrency_limit_of_a_plan_is_split_among_the_gateways() -> None:
    engine = make_engine()  # two attempts in flight over two gateways: one here
    attempt = first_attempt(engine.handle(make_request(1, plan="open"), 100.0))
    assert started_attempts(engine.handle(make_request(2, plan="open"), 100.0)) == []
    finished = engine.handle(make_attempt_ended(1, 0, attempt.endpoint_id, Outcome.SUCCESS), 100.1)
    assert len(started_attempts(finished)) == 1


@pytest.mark.parametrize(("attribute", "setting"), [("rate", "units_per_s"), ("burst", "peak_units")])
def test_negative_settings_are_named_as_in_the_file(attribute: str, setting: str) -> None:
    plan = replace(SMALL_PLAN, **{attribute: -1.0})  # type: ignore[arg-type]
    with pytest.raises(ValueError, match=f"^settings: {setting} of plan small is negative$"):
        PolicyEngine(replace(SETTINGS, plans=(plan,)), 1, 0.0)


def test_queued_request_behind_the_head_is_answered_within_its_own_deadline() -> None:
    """Found on a day of clients with short deadlines: only the head of the queue was looked at."""
    harness = EngineHarness(make_engine())
    harness.handle(endpoint_list_update(make_endpoint("a"), make_endpoint("b", 1)))
    for number in range(4):
        harness.handle(make_request(number, "pay", deadline=106.0))
    harness.handle(make_request(4, "pay", deadline=106.0))  # queued for 0.5 s, of the 0.8 s that it may wait
    harness.handle(make_request(5, "pay", deadline=101.04, units=0.01))  # behind it, may wait for 0.52 s
    limiter_of(harness.engine).set_quota_fraction(0.001, 100.0)  # and then the quota moves elsewhere
    harness.run_until(100.9)
    assert isinstance(harness.responses[5], Reject)
    assert isinstance(harness.responses[4], Reject)


def test_plan_paid_beyond_its_quota_is_rejected_only_while_load_is_shed() -> None:
    # rejecting earns nothing: units beyond the quota cost nothing, and may be within it at another gateway
    engine = make_engine(plans=(replace(SMALL_PLAN, over_quota_value=0.3, over_quota_cost=0.0),))
    for number in range(12):
        attempt = first_attempt(engine.handle(make_request(number), 100.0))
        engine.handle(make_attempt_ended(number, 0, attempt.endpoint_id, Outcome.SUCCESS), 100.0)
    assert limiter_of(engine).balance > -EPSILON  # units beyond the quota are not charged
    engine.admission.admit_ratio = 0.9
    assert isinstance(engine.handle(make_request(20), 100.0)[-1], Reject)
