"""Hand-worked cases of the limiter and the slice."""

from __future__ import annotations

from dataclasses import replace

import pytest

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.actions import IncrementCounter, Reject, SetTimer, StartAttempt
from quota_gateway.model.events import CounterReply, TimerFired
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.timers import ReleaseQueueTimer, ReportDemandTimer
from quota_gateway.policy.token_bucket import EPSILON, TokenBucketLimiter
from quota_gateway.state.records import Limiter
from tests.policy_harness import (
    CAPPED,
    PLAN,
    SETTINGS,
    EngineHarness,
    backend,
    backends,
    ended,
    gateway,
    request,
)


def sends(actions: list[object]) -> int:
    return sum(isinstance(a, StartAttempt) for a in actions)


def test_starts_full_then_holds_then_overflows() -> None:
    made = gateway()  # even slice of two: rate 2, bank 4; an aim of 1 s holds for 0.4 s
    for number in range(4):
        assert sends(list(made.handle(request(number), 100.0))) == 1
    # the bank is empty: one unit is half a second away, over the bound
    actions = made.handle(request(4), 100.0)
    assert isinstance(actions[-1], Reject) and actions[-1].retry_after == pytest.approx(0.5)
    # 0.3 s on 0.6 units are there: 0.2 s away, inside the bound, so it is held, and released exactly then
    held = made.handle(request(5), 100.3)
    assert sends(list(held)) == 0
    timer = next(a for a in held if isinstance(a, SetTimer) and isinstance(a.timer, ReleaseQueueTimer))
    assert timer.delay == pytest.approx(0.2)
    assert sends(list(made.handle(TimerFired(timer.timer), 100.3 + timer.delay))) == 1


def test_large_request_leaves_when_the_bank_is_full() -> None:
    limiter: Limiter = TokenBucketLimiter("c", PLAN, 4, 0.0, 0.0)  # rate 1, bank 2
    assert limiter.wait_time(5.0) == 0.0
    limiter.balance = 1.0
    assert limiter.wait_time(5.0) == pytest.approx(1.0)


def test_held_units_do_not_count_as_bank() -> None:
    limiter: Limiter = TokenBucketLimiter("c", PLAN, 2, 0.0, 0.0)
    limiter.balance, limiter.queued_units = -3.0, 3.0
    limiter.refill(10.0)
    assert limiter.balance == pytest.approx(1.0)  # bank 4 less the 3 that are spoken for


def test_settling_goes_below_nought_and_back() -> None:
    made = gateway(settles_actual_units=True)
    made.handle(request(1, units=4.0), 100.0)
    sent = next(iter(made.forwarder.requests.values())).attempts[0].endpoint.endpoint.endpoint_id
    made.handle(ended(1, 0, sent, Outcome.SUCCESS, true_units=7.0), 100.0)
    assert made.limiters.limiters["c"].balance == pytest.approx(-3.0)


def test_reading_moves_the_slice_and_silence_returns_it() -> None:
    limiter: Limiter = TokenBucketLimiter("c", PLAN, 2, 0.0, 0.0)
    made = gateway()
    limiter.local_demand = 1.0
    made.quota.apply_reading(limiter, 4.0)  # smoothed to 2 of 4: own 1 and half the room of 2
    assert limiter.rate == pytest.approx(2.0)
    limiter.local_demand = 3.0
    made.quota.apply_reading(limiter, 14.0)  # smoothed to 8, above the quota: 4 times 3/8
    assert limiter.rate == pytest.approx(1.5)


def test_lost_counts_are_not_lost_demand() -> None:
    made = gateway()
    limiter: Limiter = TokenBucketLimiter("c", PLAN, 2, 0.0, 0.0)
    limiter.local_demand, limiter.reported_demand, limiter.fleet_demand = 3.0, 3.0, 6.0
    made.quota.apply_reading(limiter, 0.0)  # less than this gateway added itself: the name was forgotten
    assert limiter.fleet_demand == 6.0


def test_counter_calls_add_then_read_one_name() -> None:
    watch = EngineHarness(gateway())
    watch.tell(backends(backend("a")))
    for number in range(4):
        watch.tell(request(number, deadline=108.0))
    watch.run_to(102.0)
    assert len(watch.counts) == 2 and watch.counts[0] == watch.counts[1]


def test_failing_counter_is_left_alone() -> None:
    made = gateway()
    for number in range(4):
        made.handle(request(number), 100.0)
    made.handle(CounterReply("c.100", Outcome.CONNECT_FAILED, 0.0, 0.0), 101.0)
    assert not any(
        isinstance(a, IncrementCounter) for a in made.handle(TimerFired(ReportDemandTimer("c")), 101.1)
    )


def test_ceiling_grants_only_what_refilled_since_start() -> None:
    made = gateway()
    first = made.handle(request(1, plan="capped"), 100.0)  # just started: nothing has refilled yet
    assert sends(list(first)) == 0
    later = gateway(now=50.0)
    assert sends(list(later.handle(request(1, plan="capped"), 100.0))) == 1
    limiter: Limiter = TokenBucketLimiter("c", CAPPED, 2, 100.0, 99.0)
    assert limiter.hard_limit_balance == pytest.approx(3.0)


def test_a_new_throttle_is_not_swept_and_idle_full_ones_are() -> None:
    made = gateway()
    made.handle(request(1), 100.0)
    assert "c" in made.limiters.limiters
    where = made.forwarder.requests[1].attempts[0].endpoint.endpoint.endpoint_id
    made.handle(ended(1, 0, where, Outcome.SUCCESS), 100.1)
    for second in range(101, 106):
        made.handle(TimerFired(ReportDemandTimer("c")), float(second))
    for number in range(2, 5):
        made.handle(request(number, customer=f"other{number}", deadline=204.0), 200.0)
    assert "c" not in made.limiters.limiters


def test_open_cap_is_held_by_each_gateway() -> None:
    made = gateway()  # two attempts open in all, over two gateways: one here
    assert sends(list(made.handle(request(1, plan="open"), 100.0))) == 1
    assert sends(list(made.handle(request(2, plan="open"), 100.0))) == 0
    where = made.forwarder.requests[1].attempts[0].endpoint.endpoint.endpoint_id
    assert sends(list(made.handle(ended(1, 0, where, Outcome.SUCCESS), 100.1))) == 1


@pytest.mark.parametrize(("attribute", "setting"), [("rate", "units_per_s"), ("burst", "peak_units")])
def test_negative_settings_are_named_as_in_the_file(attribute: str, setting: str) -> None:
    wrong = replace(PLAN, **{attribute: -1.0})  # type: ignore[arg-type]
    with pytest.raises(ValueError, match=f"^settings: {setting} of plan small is negative$"):
        PolicyEngine(replace(SETTINGS, plans=(wrong,)), 1, 0.0)


def test_a_held_request_behind_the_head_is_answered_in_its_own_time() -> None:
    """Found on a day of impatient clients: only the head of the buffer was looked at."""
    watch = EngineHarness(gateway())
    watch.tell(backends(backend("a"), backend("b", 1)))
    for number in range(4):
        watch.tell(request(number, "pay", deadline=106.0))
    watch.tell(request(4, "pay", deadline=106.0))  # held: half a second to go, of 0.8
    watch.tell(request(5, "pay", deadline=101.04, units=0.01))  # behind it, with 0.52 to go
    watch.gateway.limiters.limiters["c"].set_quota_fraction(
        0.001, 100.0
    )  # and then the slice moves elsewhere
    watch.run_to(100.9)
    assert isinstance(watch.answered[5], Reject) and isinstance(watch.answered[4], Reject)


def test_a_plan_that_pays_beyond_its_quota_is_refused_only_while_the_fleet_is_pressed() -> None:
    # to refuse there earns nothing: what is beyond the quota costs nothing, and may be within it elsewhere
    made = gateway(plans=(replace(PLAN, over_quota_value=0.3, over_quota_cost=0.0),))
    for number in range(12):
        assert sends(list(made.handle(request(number), 100.0))) == 1
        where = made.forwarder.requests[number].attempts[0].endpoint.endpoint.endpoint_id
        made.handle(ended(number, 0, where, Outcome.SUCCESS), 100.0)
    assert made.limiters.limiters["c"].balance > -EPSILON  # uncharged: it is no debt of what comes later
    made.admission.admit_ratio = 0.9
    assert isinstance(made.handle(request(20), 100.0)[-1], Reject)


def test_a_cold_backend_takes_its_share_also_while_the_others_are_late() -> None:
    # cut by every late answer of the rest, it stood idle just when half a fleet had come back and was needed
    cold = replace(backend("b"), started_at=98.0)
    made = gateway(listed=backends(backend("a"), cold))
    share = made.slow_start.factor(made.endpoints["b"])
    assert 0.2 < share < 1.0
    made.admission.fleet_failure_rate = 0.9
    assert made.slow_start.probability(made.endpoints["b"]) > 0.5 * share


def test_what_is_learned_is_bounded_whatever_units_clients_name() -> None:
    made = gateway()
    for number in range(200):
        made.handle(request(number, customer=str(number), units=1.0 + number / 1000), 100.0)
        if number in made.forwarder.requests:
            where = made.forwarder.requests[number].attempts[0].endpoint.endpoint.endpoint_id
            made.handle(ended(number, 0, where, Outcome.SUCCESS), 100.0)
    assert 0 < len(made.latency.durations) <= 3
