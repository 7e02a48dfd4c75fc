"""Several gateways together, at large widths: ceilings, restarts, cold backends, and one shared counter."""

from __future__ import annotations

import heapq
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.actions import Action, IncrementCounter, Reject, SetTimer, StartAttempt
from quota_gateway.model.endpoints import EndpointListKind
from quota_gateway.model.events import (
    CounterReply,
    EndpointListUpdate,
    HealthCheckResult,
    RequestReceived,
    TimerFired,
)
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.settings import Plan
from quota_gateway.model.timers import decode_timer, encode_timer
from tests.policy_harness import CAPPED, PLAN, SETTINGS, backend, backends, ended, gateway, request

STEPS = st.lists(st.tuples(st.integers(0, 10**6), st.floats(0.0, 0.4)), min_size=40, max_size=160)


class Fleet:
    """Gateways in front of one counter and backends that answer at once; keeps what was sent on and when."""

    def __init__(self, width: int, plan: Plan, now: float = 100.0) -> None:
        self.settings = replace(SETTINGS, gateway_count=width, plans=(plan,))
        self.width, self.now = width, now
        self.gateways = [self.start(me) for me in range(width)]
        self.sums: dict[str, float] = {}
        self.timers: list[tuple[float, int, str]] = []
        self.sent: list[tuple[float, float]] = []
        self.calls = 0

    def start(self, me: int) -> PolicyEngine:
        made = PolicyEngine(self.settings, me, self.now)
        made.handle(backends(backend("a"), backend("b", 1)), self.now)
        return made

    def take(self, me: int, actions: list[Action], units: float = 0.0) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay, me, encode_timer(action.timer)))
            elif isinstance(action, IncrementCounter):
                self.calls += 1
                self.sums[action.name] = self.sums.get(action.name, 0.0) + action.amount
                told = CounterReply(action.name, Outcome.SUCCESS, 0.001, self.sums[action.name])
                self.take(me, self.gateways[me].handle(told, self.now))
            elif isinstance(action, StartAttempt):
                job = self.gateways[me].forwarder.requests[action.request_id]
                self.sent.append((self.now, job.request.units))
                over = ended(action.request_id, 0, action.endpoint_id, Outcome.SUCCESS)
                self.take(me, self.gateways[me].handle(over, self.now))

    def go_to(self, until: float) -> None:
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.take(due[1], self.gateways[due[1]].handle(TimerFired(decode_timer(due[2])), self.now))
        self.now = until

    def ask(self, me: int, number: int, units: float, repeat: bool = False) -> None:
        plan, end = self.settings.plans[0].name, self.now + 4
        asked = RequestReceived(number, "read", plan, "c", end, units, self.width, 0, repeat)
        self.take(me, self.gateways[me].handle(asked, self.now))


@settings(derandomize=True, max_examples=25, deadline=None)
@given(STEPS, st.sampled_from([2, 6]))
def test_all_gateways_together_keep_the_ceiling_also_through_restarts(
    steps: list[tuple[int, float]], width: int
) -> None:
    fleet = Fleet(width, CAPPED)
    fleet.go_to(110.0)
    for number, (pick, span) in enumerate(steps):
        if pick % 11 == 0:  # killed and started again: what it knew is gone
            me = pick // 11 % width
            fleet.timers = [t for t in fleet.timers if t[1] != me]
            fleet.gateways[me] = fleet.start(me)
        fleet.ask(pick // 7 % width, number, 1.0 + pick % 2)
        fleet.go_to(fleet.now + span)
    store, last = CAPPED.hard_limit_burst, 100.0
    for at, units in fleet.sent:
        store = min(CAPPED.hard_limit_burst, store + CAPPED.hard_limit_rate * (at - last)) - units
        last = at
        assert store >= -1e-6


@pytest.mark.parametrize(
    ("width", "rate", "least", "most"),
    [
        (100, 2.0, 0.95, 1.0),
        (100, 16.0, 0.2, 0.35),  # of a quota of 4: half of it, and four times
        (300, 2.0, 0.6, 1.0),
        (300, 16.0, 0.2, 0.5),  # where a third is counted at first, the rest is guessed
    ],
)
def test_a_quota_split_too_thin_is_neither_shut_out_nor_overrun(
    width: int, rate: float, least: float, most: float
) -> None:
    """Found at full size: a bank of 0.03 units passed one request at each gateway, then shut all out."""
    fleet = Fleet(width, PLAN)
    fleet.now = 120.0
    for number in range(400):
        fleet.ask(number * 37 % 40, number, 1.0)
        fleet.go_to(fleet.now + 1.0 / rate)
    assert least <= len(fleet.sent) / 400 <= most
    assert fleet.calls <= 3 * 400  # a few a request, however many gateways


def test_a_silent_counter_leaves_the_even_slice() -> None:
    made = gateway(gateway_count=100)
    for number in range(3):
        actions = made.handle(request(number, width=100), 100.0 + number)
        for action in actions:
            if isinstance(action, IncrementCounter):
                made.handle(CounterReply(action.name, Outcome.TIMED_OUT, 0.05, 0.0), 100.05 + number)
    throttle = made.limiters.limiters["c"]
    assert throttle.quota_fraction == 1 / 100 and throttle.capacity == PLAN.burst / 100


def test_corrections_of_one_sum_do_not_run_away() -> None:
    """Found on a quiet day: gateways put the same sum right at once, and each the other's correction."""
    fleet = Fleet(60, PLAN)
    fleet.now = 115.0
    for number in range(120):
        fleet.ask(number % 60, number, 1.0)
        fleet.go_to(fleet.now + 0.01)
    assert all(abs(total) <= PLAN.rate * 60 + 2 * PLAN.burst for total in fleet.sums.values())


@pytest.mark.parametrize("width", [0, 5, 10**6])
def test_any_width_is_taken(width: int) -> None:
    made = gateway()
    assert made.handle(request(1, width=width), 100.0)


def test_events_of_backends_that_are_gone_and_empty_lists_are_harmless() -> None:
    made = gateway()
    sent = next(a for a in made.handle(request(1), 100.0) if isinstance(a, StartAttempt))
    made.handle(EndpointListUpdate(EndpointListKind.FULL, ()), 100.1)
    made.handle(HealthCheckResult(sent.endpoint_id, Outcome.SUCCESS, 0.01, (1.0, 2.0, 3.0)), 100.2)
    made.handle(ended(1, 0, sent.endpoint_id, Outcome.SUCCESS), 100.3)
    assert isinstance(made.handle(request(2), 100.4)[-1], Reject)


def test_settings_of_nought_raise_nothing_on_the_way() -> None:
    nought = replace(
        SETTINGS,
        plans=(replace(PLAN, rate=0.0, burst=0.0), CAPPED),
        slow_start_window=0.0,
        slow_start_overload_ratio=0.0,
        overload_duration=0.0,
        counter_timeout=0.0,
        poll_interval=0.0,
        slow_start_minimum=0.0,
        max_request_units=0.0,
        request_classes=tuple(replace(c, latency_objective=0.0) for c in SETTINGS.request_classes),
    )
    made = PolicyEngine(nought, 1, 100.0)
    made.handle(backends(backend("a", started=100.0)), 100.0)
    for number in range(20):
        for action in made.handle(request(number, plan=("small", "capped")[number % 2]), 101.0 + number / 10):
            if isinstance(action, SetTimer):
                assert action.delay > 0
                made.handle(TimerFired(action.timer), 101.0 + number / 10 + action.delay)


def test_an_unknown_report_is_passed_over() -> None:
    made = gateway(load_report_fields=("never seen",))
    sent = next(a for a in made.handle(request(1), 100.0) if isinstance(a, StartAttempt))
    over = replace(ended(1, 0, sent.endpoint_id, Outcome.SUCCESS), load_report=(9.0, 9.0))
    made.handle(over, 100.1)
    assert made.forwarder.requests == {}


def beyond(sent: list[tuple[float, float]], plan: Plan) -> float:
    """Units that were sent on with the customer's store short of them; these take nothing from it."""
    store, last, over = plan.burst, sent[0][0], 0.0
    for at, units in sent:
        store, last = min(plan.burst, store + plan.rate * (at - last)), at
        if store >= units:
            store -= units
        else:
            over += units
    return over


def passed_by_a_late_view(arrivals: list[float], plan: Plan, late: float) -> list[tuple[float, float]]:
    """What a policy sends on, a unit each, that sees the customer's store as it was so long ago."""
    sent: list[tuple[float, float]] = []
    store, last, seen = plan.burst, arrivals[0], [(0.0, plan.burst)]
    for at in arrivals:
        store, last = min(plan.burst, store + plan.rate * (at - last)), at
        if [level for when, level in seen if when <= at - late][-1] >= 1.0:
            sent.append((at, 1.0))
            store = max(store - 1.0, 0.0)
        seen.append((at, store))
    return sent


def passed_by_a_fleet(arrivals: list[float], plan: Plan) -> list[tuple[float, float]]:
    """The same by a hundred gateways that count two in five; what is refused comes twice more, elsewhere."""
    fleet, number = Fleet(100, plan, arrivals[0]), 0
    coming = [(at, 1) for at in arrivals]  # a heap: when, and which try it is
    while coming:
        at, attempt = heapq.heappop(coming)
        fleet.go_to(at)
        number += 1
        me, before = number * 37 % 100, len(fleet.sent)
        fleet.gateways[me].counter.sampling_ratio = 0.4
        fleet.ask(me, number, 1.0, attempt > 1)
        if len(fleet.sent) == before and attempt < 3:
            heapq.heappush(coming, (at + 0.3, attempt + 1))
    return fleet.sent


def test_what_goes_beyond_the_quotas_of_a_fleet_costs_little_on_a_quiet_day() -> None:
    """Found on such a day of 200 gateways: what one refused came again at others, and idle slices passed it.

    Held at the standing test's 0.1 more than under a policy that sees the true state, half a second late.
    """
    more = asked = served = 0.0
    for rate in (1.0, 1.0, 1.0, 1.0, 3.6, 3.6, 3.6, 6.0, 10.0):  # customers, most of them inside a quota of 4
        arrivals = [120.0 + number / rate for number in range(int(60 * rate))]
        sent = passed_by_a_fleet(arrivals, PLAN)
        over, late = beyond(sent, PLAN), beyond(passed_by_a_late_view(arrivals, PLAN, 0.5), PLAN)
        more += PLAN.over_quota_cost * (over - late)
        asked += min(rate * 60.0, PLAN.rate * 60.0 + PLAN.burst)
        served += len(sent) - over
    assert more <= 0.1 * asked and served >= 0.95 * asked
