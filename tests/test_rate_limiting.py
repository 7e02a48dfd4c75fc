"""The rate limiter, its queue, and a gateway's share of a quota, with results calculated by hand.

Unless a test says otherwise, two gateways share a quota of 4 units/s with a burst of 8 units: each has a
token bucket with a capacity of 4 units that refills at 2 units/s.
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
    """Return an engine whose bucket was emptied at 100 s by 4 requests of one unit."""
    engine = make_engine()
    for number in range(4):
        assert len(started_attempts(engine.handle(make_request(number), 100.0))) == 1
    return engine


def test_request_beyond_queueing_bound_is_rejected() -> None:
    """The Retry-After of the rejection is the wait for quota."""
    engine = engine_with_empty_bucket()
    # One unit refills in 0.5 s; a latency objective of 1 s allows 0.4 s in the queue.
    rejection = engine.handle(make_request(4), 100.0)[-1]
    assert isinstance(rejection, Reject) and rejection.retry_after == pytest.approx(0.5)


def test_request_within_queueing_bound_is_queued() -> None:
    """The request is released exactly when its units have refilled."""
    engine = engine_with_empty_bucket()
    # After 0.3 s, 0.6 units have refilled; the rest of one unit takes 0.2 s, less than the bound of 0.4 s.
    queued = engine.handle(make_request(4), 100.3)
    assert started_attempts(queued) == []
    release = first_timer(queued, ReleaseQueueTimer)
    assert release.delay == pytest.approx(0.2)
    assert len(started_attempts(engine.handle(TimerFired(release.timer), 100.3 + release.delay))) == 1


def test_oversized_request_waits_for_full_bucket() -> None:
    """A request of more units than the bucket can hold is forwarded once the bucket is full."""
    limiter: Limiter = TokenBucketLimiter("c", SMALL_PLAN, quota_spread=4, now=0.0, started_at=0.0)
    # At 1 unit/s and a capacity of 2 units, the bucket never holds 5 units.
    assert limiter.wait_time(5.0) == 0.0
    limiter.balance = 1.0
    assert limiter.wait_time(5.0) == pytest.approx(1.0)


def test_queued_units_reserve_capacity() -> None:
    limiter: Limiter = TokenBucketLimiter("c", SMALL_PLAN, quota_spread=2, now=0.0, started_at=0.0)
    limiter.balance = -3.0
    limiter.queued_units = 3.0
    limiter.refill(10.0)
    assert limiter.balance == pytest.approx(1.0)  # the capacity of 4 units less the 3 queued units


def test_settled_units_may_make_balance_negative() -> None:
    engine = make_engine(charges_billed_units=True)
    attempt = first_attempt(engine.handle(make_request(1, units=4.0), 100.0))
    engine.handle(make_attempt_ended(1, 0, attempt.endpoint_id, Outcome.SUCCESS, billed_units=7.0), 100.0)
    assert limiter_of(engine).balance == pytest.approx(-3.0)  # the capacity of 4 less the 7 actual units


def test_unused_quota_is_split_evenly() -> None:
    limiter: Limiter = TokenBucketLimiter("c", SMALL_PLAN, quota_spread=2, now=0.0, started_at=0.0)
    limiter.local_demand = 1.0
    make_engine().quota_synchronizer.apply_reading(limiter, 4.0)
    # Fleet demand is smoothed from 0 to 2 of the quota of 4: the rate is the local demand of 1 unit/s and
    # half of the unused 2 units/s.
    assert limiter.rate == pytest.approx(2.0)


def test_oversubscribed_quota_is_split_by_demand() -> None:
    limiter: Limiter = TokenBucketLimiter("c", SMALL_PLAN, quota_spread=2, now=0.0, started_at=0.0)
    limiter.local_demand = 3.0
    limiter.fleet_demand = 2.0
    make_engine().quota_synchronizer.apply_reading(limiter, 14.0)
    # Fleet demand is smoothed from 2 to 8, above the quota of 4: the rate is 3/8 of the quota.
    assert limiter.rate == pytest.approx(1.5)


def test_quota_split_is_even_after_reading_expires() -> None:
    engine = make_engine()
    engine.handle(make_request(1), 100.0)
    engine.quota_synchronizer.apply_reading(limiter_of(engine), 14.0)
    # Without local demand the rate is the minimum, a tenth of 2 units/s.
    assert limiter_of(engine).rate == pytest.approx(0.2)
    engine.handle(TimerFired(ReportDemandTimer("c")), 103.0)  # a reading is valid for 2.5 s
    assert limiter_of(engine).rate == pytest.approx(2.0)


def test_reading_below_reported_demand_is_ignored() -> None:
    limiter: Limiter = TokenBucketLimiter("c", SMALL_PLAN, quota_spread=2, now=0.0, started_at=0.0)
    limiter.local_demand = 3.0
    limiter.reported_demand = 3.0
    limiter.fleet_demand = 6.0
    # The reading is less than this gateway alone added, so the counter has lost data.
    make_engine().quota_synchronizer.apply_reading(limiter, 0.0)
    assert limiter.fleet_demand == 6.0


def test_demand_uses_one_counter_name() -> None:
    """Demand is reported and read under the same counter name."""
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


def test_new_gateway_has_empty_hard_limit_bucket() -> None:
    engine = make_engine(now=100.0)
    assert started_attempts(engine.handle(make_request(1, plan="capped"), 100.0)) == []


def test_hard_limit_bucket_refills_from_gateway_start() -> None:
    """The hard limit grants a new customer what has refilled since the gateway started."""
    engine = make_engine(now=50.0)
    assert len(started_attempts(engine.handle(make_request(1, plan="capped"), 100.0))) == 1
    limiter: Limiter = TokenBucketLimiter("c", CAPPED_PLAN, quota_spread=2, now=100.0, started_at=99.0)
    assert limiter.hard_limit_balance == pytest.approx(3.0)  # refilled for 1 s at half of 6 units/s


def test_limiter_is_evicted_when_idle_and_full() -> None:
    engine = make_engine()
    attempt = first_attempt(engine.handle(make_request(1), 100.0))
    assert "c" in engine.limiter_registry.limiters
    engine.handle(make_attempt_ended(1, 0, attempt.endpoint_id, Outcome.SUCCESS), 100.1)
    for second in range(101, 106):
        engine.handle(TimerFired(ReportDemandTimer("c")), float(second))
    for number in range(2, 5):  # each new limiter causes up to two others to be checked for eviction
        engine.handle(make_request(number, customer=f"other{number}", deadline=204.0), 200.0)
    assert "c" not in engine.limiter_registry.limiters


def test_concurrency_limit_is_split_among_gateways() -> None:
    engine = make_engine()  # the plan allows two attempts in flight at two gateways, so one here
    attempt = first_attempt(engine.handle(make_request(1, plan="open"), 100.0))
    assert started_attempts(engine.handle(make_request(2, plan="open"), 100.0)) == []
    finished = engine.handle(make_attempt_ended(1, 0, attempt.endpoint_id, Outcome.SUCCESS), 100.1)
    assert len(started_attempts(finished)) == 1


@pytest.mark.parametrize(("attribute", "setting"), [("rate", "units_per_s"), ("burst", "peak_units")])
def test_negative_setting_is_named_in_error(attribute: str, setting: str) -> None:
    plan = replace(SMALL_PLAN, **{attribute: -1.0})  # type: ignore[arg-type]
    with pytest.raises(ValueError, match=f"^settings: {setting} of plan small is negative$"):
        PolicyEngine(replace(SETTINGS, plans=(plan,)), 1, 0.0)


def test_request_behind_queue_head_meets_own_deadline() -> None:
    """Regression: requests with short deadlines missed them, as only the head of the queue was checked."""
    harness = EngineHarness(make_engine())
    harness.handle(endpoint_list_update(make_endpoint("a"), make_endpoint("b", 1)))
    for number in range(4):
        harness.handle(make_request(number, "pay", deadline=106.0))
    harness.handle(make_request(4, "pay", deadline=106.0))  # queued for 0.5 s, of the 0.8 s that it may wait
    harness.handle(make_request(5, "pay", deadline=101.04, units=0.01))  # behind it; may wait for 0.52 s
    limiter_of(harness.engine).set_quota_fraction(0.001, 100.0)  # most of the quota moves to other gateways
    harness.run_until(100.9)
    assert isinstance(harness.responses[5], Reject)
    assert isinstance(harness.responses[4], Reject)


def test_over_quota_plan_is_rejected_only_when_shedding() -> None:
    """Requests over the quota of a plan that gives them a value are rejected only while load is shed."""
    # Rejecting gains nothing: units over the quota cost nothing, and may be within it at another gateway.
    engine = make_engine(plans=(replace(SMALL_PLAN, over_quota_value=0.3, over_quota_cost=0.0),))
    for number in range(12):
        attempt = first_attempt(engine.handle(make_request(number), 100.0))
        engine.handle(make_attempt_ended(number, 0, attempt.endpoint_id, Outcome.SUCCESS), 100.0)
    assert limiter_of(engine).balance > -EPSILON  # units over the quota are not charged
    engine.admission.admit_ratio = 0.9
    assert isinstance(engine.handle(make_request(20), 100.0)[-1], Reject)
