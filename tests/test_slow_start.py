"""Slow start: what an endpoint that is warming up gets, by its peers and from all gateways together."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pytest

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.events import EndpointListUpdate, Event, SetMaintenance
from quota_gateway.model.outcomes import Outcome
from quota_gateway.policy.outlier_detection import OUTLIER_THRESHOLD
from quota_gateway.policy.slow_start import BUDGET_FRACTION
from tests.fleet import Result, cases, play
from tests.policy_assertions import first_attempt, started_attempts
from tests.policy_harness import (
    SETTINGS,
    endpoint_list_update,
    make_attempt_ended,
    make_endpoint,
    make_engine,
    make_request,
)

WARMING_UP = "c"  # id of the endpoint that is warming up


@pytest.mark.parametrize(("outliers", "warming_up"), [(0, 1), (2, 1), (0, 3), (2, 3)])
def test_endpoint_gets_more_work_where_few_others_are_warm_and_healthy(
    outliers: int, warming_up: int
) -> None:
    # with a fraction of an even share each, those warming up were idle while the few healthy ones overloaded
    warm_endpoints = [make_endpoint(f"w{number}") for number in range(5 - warming_up)]
    new_endpoints = [make_endpoint(f"c{number}", started_at=95.0) for number in range(warming_up)]
    engine = make_engine(now=100.0, endpoint_list=endpoint_list_update(*warm_endpoints, *new_endpoints))
    endpoint = engine.endpoints["c0"]
    factor = engine.slow_start.capacity_fraction(endpoint)
    for number in range(outliers):
        engine.endpoints[f"w{number}"].failure_score = OUTLIER_THRESHOLD
    budget = engine.settings.slow_start_overload_ratio * BUDGET_FRACTION * factor
    healthy_capacity = 5 - warming_up - outliers + warming_up * factor
    even = factor * 5 / healthy_capacity  # work in proportion to what each of the healthy ones can do
    # never over the budget, which binds only where the others could not take the work
    assert engine.slow_start.acceptance_probability(endpoint) == pytest.approx(min(even, budget))
    assert (even > budget) == (outliers > 0)


def test_endpoint_keeps_its_work_while_the_others_are_late() -> None:
    # reduced by each late response of the others, it was idle just when half a fleet had restarted
    engine = make_engine(
        endpoint_list=endpoint_list_update(make_endpoint("a"), replace(make_endpoint("b"), started_at=98.0))
    )
    endpoint = engine.endpoints["b"]
    factor = engine.slow_start.capacity_fraction(endpoint)
    assert 0.2 < factor < 1.0
    engine.admission.fleet_failure_rate = 0.9
    assert engine.slow_start.acceptance_probability(endpoint) > 0.5 * factor


@pytest.mark.parametrize("gateway_count", [2, 300])
def test_new_endpoint_gets_its_work_from_all_gateways_together(gateway_count: int) -> None:
    """Found in incidents: each of hundreds of gateways sent a request as soon as the endpoint was listed."""
    received = 0
    warm_endpoints = [make_endpoint(f"w{number}") for number in range(5)]
    for seed in range(gateway_count):
        engine = PolicyEngine(replace(SETTINGS, gateway_count=gateway_count), seed, 100.0)
        engine.handle(
            endpoint_list_update(make_endpoint(WARMING_UP, started_at=100.0), *warm_endpoints), 100.0
        )
        for number in range(1200 // gateway_count):
            actions = engine.handle(make_request(number, customer=f"x{number}", deadline=110.0), 100.1)
            endpoint_id = first_attempt(actions).endpoint_id
            received += endpoint_id == WARMING_UP
            engine.handle(make_attempt_ended(number, 0, endpoint_id, Outcome.SUCCESS), 100.2)
    assert 10 <= received <= 70  # a warm one gets over 200; this one can do a quarter of that, 50, at least


def test_fleet_of_new_endpoints_only_is_used() -> None:
    engine = make_engine(
        endpoint_list=endpoint_list_update(
            make_endpoint("a", started_at=99.0), make_endpoint("b", started_at=99.0)
        )
    )
    attempts = 0
    for number in range(40):
        received = make_request(number, customer=f"x{number}", deadline=110.0)
        attempts += len(started_attempts(engine.handle(received, 100.0 + number / 10)))
    assert 1 <= attempts <= 20


@dataclass(frozen=True, slots=True)
class Member:
    """One gateway of a fleet, and the attempts a second that it makes."""

    engine: PolicyEngine
    rate: float

    @property
    def is_assigned(self) -> bool:
        """Whether the endpoint that is warming up is in the gateway's own subset."""
        return self.engine.endpoints[WARMING_UP] in self.engine.endpoint_registry.assigned_subset

    @property
    def even_rate(self) -> float:
        """Attempts a second that the gateway sends to each endpoint of its own subset, if all are warm."""
        return self.rate / len(self.engine.endpoint_registry.assigned_subset)

    @property
    def draw_rate(self) -> float:
        """Draws a second that fall on each candidate, also while the subset is widened."""
        return self.rate / len(self.engine.endpoint_registry.candidates)

    @property
    def budget(self) -> float:
        return self.engine.slow_start.max_acceptance_probability(self.engine.endpoints[WARMING_UP])

    @property
    def probability(self) -> float:
        return self.engine.slow_start.acceptance_probability(self.engine.endpoints[WARMING_UP])


def member_of_fleet(
    gateway_index: int, gateway_count: int, overload_ratio: float, listed: EndpointListUpdate
) -> Member:
    """Return a gateway; most of a fleet see all other endpoints as outliers, some have ten times the load."""
    settings = replace(
        SETTINGS,
        gateway_count=gateway_count,
        gateway_index=gateway_index,
        slow_start_overload_ratio=overload_ratio,
    )
    engine = PolicyEngine(settings, gateway_index, 100.0)
    engine.handle(listed, 100.0)
    if gateway_index % 3 > 0:
        for endpoint in engine.endpoint_registry.candidates:
            endpoint.failure_score = 0.0 if endpoint.id == WARMING_UP else OUTLIER_THRESHOLD
        engine.endpoint_registry.refresh_candidates()
    return Member(engine, rate=10.0 if gateway_index % 7 == 0 else 1.0)


@pytest.mark.parametrize("overload_ratio", [2.0, 4.0])
@pytest.mark.parametrize(
    ("gateway_count", "endpoint_count"), [(1, 8), (3, 9), (20, 36), (30, 36), (200, 100), (200, 7)]
)
def test_budgets_of_the_gateways_add_up_to_that_of_the_fleet_whatever_each_sees(
    gateway_count: int, endpoint_count: int, overload_ratio: float
) -> None:
    # gateways that saw others fail, or had widened their subsets, raised their part by what they alone saw
    warm_endpoints = [make_endpoint(f"w{number}") for number in range(endpoint_count - 1)]
    listed = endpoint_list_update(make_endpoint(WARMING_UP, started_at=99.0), *warm_endpoints)
    fleet = [member_of_fleet(index, gateway_count, overload_ratio, listed) for index in range(gateway_count)]
    first = fleet[0].engine
    factor = first.slow_start.capacity_fraction(first.endpoints[WARMING_UP])
    even_rate = sum(member.even_rate for member in fleet if member.is_assigned)
    allowed_rate = sum(member.draw_rate * member.budget for member in fleet)
    expected_rate = sum(member.draw_rate * member.probability for member in fleet)
    assert allowed_rate == pytest.approx(BUDGET_FRACTION * overload_ratio * factor * even_rate)
    assert expected_rate <= allowed_rate + 1e-9
    assert all(member.probability == 0 for member in fleet if not member.is_assigned)


@pytest.mark.parametrize(
    "events",
    [
        pytest.param(
            [endpoint_list_update(make_endpoint("a"), make_endpoint("c", started_at=100.0))], id="new"
        ),
        pytest.param(
            [endpoint_list_update(make_endpoint("a"), make_endpoint("b", started_at=100.0))], id="restarted"
        ),
        pytest.param([SetMaintenance("b", True), SetMaintenance("b", False)], id="after maintenance"),
    ],
)
def test_endpoint_warms_up_however_it_came_back(events: list[Event]) -> None:
    engine = make_engine(
        now=100.0,
        endpoint_list=endpoint_list_update(make_endpoint("a"), make_endpoint("b")),
        slow_start_overload_ratio=0.0,
    )
    for event in events:
        engine.handle(event, 100.0)
    used = {
        attempt.endpoint_id
        for number in range(100)
        for attempt in started_attempts(engine.handle(make_request(number, customer=f"c{number}"), 100.0))
    }
    assert used == {"a"}  # a ratio of 0 leaves no budget for the other one


def results_by_load(gateways: int, starts: int) -> dict[tuple[str, float], list[Result]]:
    """Play the cases of a fleet, and return their results by load and overload ratio."""
    results: dict[tuple[str, float], list[Result]] = {}
    for case in cases(gateways, starts):
        results.setdefault((case.load, case.multiple), []).append(play(case))
    return results


@pytest.mark.parametrize(("gateways", "starts"), [(1, 30), (3, 30), (20, 120), (30, 60), (200, 80)])
def test_fleet_sends_no_new_endpoint_more_than_chance_explains(gateways: int, starts: int) -> None:
    for (load, overload_ratio), results in results_by_load(gateways, starts).items():
        used = sum(result.used_fraction for result in results) / len(results)
        worst = max(result.max_excess for result in results)
        print(
            f"slow start: {gateways} gateways, {load}, overload ratio {overload_ratio:.0f}: "
            f"worst {worst:+.1f}, used {used:.2f}"
        )
        assert sum(result.exceeded_starts for result in results) == 0
        if load == "pressed":  # 0.16 to 0.18 and 0.21 to 0.25 were used while the others were late
            assert used > (0.2 if overload_ratio > 2.0 else 0.3)
