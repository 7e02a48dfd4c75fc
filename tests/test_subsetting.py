"""Deterministic subsetting: which endpoints of a large fleet each gateway uses."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

import pytest

from quota_gateway.model.endpoints import Endpoint, EndpointListKind, EndpointStatus
from quota_gateway.policy.subsetting import MIN_SUBSET_SIZE, SubsetRing, subset_size
from quota_gateway.state.records import EndpointState
from tests.policy_assertions import started_attempts
from tests.policy_harness import endpoint_list_update, make_engine, make_request

ZONES = ("a", "b", "c")
GATEWAYS = 40
ENDPOINTS = 60
GATEWAY_INDEX = 7  # index of the gateway whose subset is widened


def endpoint(number: int) -> Endpoint:
    return Endpoint(f"s{number}", ZONES[number % 3], "k", number, EndpointStatus.SERVING, 1.0, None)


def endpoint_states(numbers: Iterable[int]) -> list[EndpointState]:
    return [EndpointState(endpoint(number), concurrency_limit=1.0, decayed_at=0.0) for number in numbers]


def is_healthy(state: EndpointState) -> bool:
    return state.failure_score == 0.0


def ids(states: Iterable[EndpointState]) -> set[str]:
    return {state.id for state in states}


def subsets(states: list[EndpointState]) -> list[set[str]]:
    """Return the ids of each gateway's subset."""
    return [ids(SubsetRing(states, index, GATEWAYS).select(is_healthy)) for index in range(GATEWAYS)]


@pytest.mark.parametrize(("gateways", "endpoints"), [(3, 9), (4, 14), (10, 60), (1, 60)])
def test_small_fleet_uses_all_endpoints_in_order(gateways: int, endpoints: int) -> None:
    states = endpoint_states(range(endpoints))
    assert SubsetRing(states, gateways - 1, gateways).select(is_healthy) == states


def test_gateways_are_spread_evenly_over_endpoints() -> None:
    gateway_counts = Counter(name for subset in subsets(endpoint_states(range(ENDPOINTS))) for name in subset)
    average = GATEWAYS * subset_size(ENDPOINTS, GATEWAYS) / ENDPOINTS
    assert len(gateway_counts) == ENDPOINTS
    assert average - 1 <= min(gateway_counts.values()) <= max(gateway_counts.values()) <= average + 1


def test_subset_is_balanced_across_zones() -> None:
    for subset in subsets(endpoint_states(range(ENDPOINTS))):
        zones = Counter(int(name[1:]) % 3 for name in subset)
        assert MIN_SUBSET_SIZE <= len(subset) <= 18
        assert max(zones.values()) - min(zones.values()) <= 1


@pytest.mark.parametrize(
    "numbers",
    [
        pytest.param(range(ENDPOINTS + 1), id="one more"),
        pytest.param([number for number in range(ENDPOINTS) if number != 31], id="one less"),
    ],
)
def test_fleet_change_replaces_few_subset_members(numbers: Iterable[int]) -> None:
    before = subsets(endpoint_states(range(ENDPOINTS)))
    after = subsets(endpoint_states(numbers))
    changed = [len(old ^ new) for old, new in zip(before, after, strict=True)]
    assert max(changed) <= 6  # of 15 members
    assert sum(changed) / GATEWAYS <= 3


def test_zone_loss_keeps_members_of_other_zones() -> None:
    before = subsets(endpoint_states(range(ENDPOINTS)))
    after = subsets(endpoint_states(number for number in range(ENDPOINTS) if number % 3))
    retained = [len(old & new) / len(new) for old, new in zip(before, after, strict=True)]
    # Each subset is a larger fraction of the endpoints left, and still has its former members.
    assert min(retained) >= 0.6


def test_unhealthy_subset_is_widened_at_once() -> None:
    states = endpoint_states(range(ENDPOINTS))
    ring = SubsetRing(states, GATEWAY_INDEX, GATEWAYS)
    subset = ids(ring.select(is_healthy))
    for state in states:
        state.failure_score = 1.0 if state.id in subset else 0.0
    widened = ring.select(is_healthy)
    assert subset < ids(widened)
    assert sum(map(is_healthy, widened)) >= 9


def test_subset_is_fleet_without_healthy_endpoints() -> None:
    states = endpoint_states(range(ENDPOINTS))
    for state in states:
        state.failure_score = 1.0
    assert len(SubsetRing(states, GATEWAY_INDEX, GATEWAYS).select(is_healthy)) == ENDPOINTS


def test_draining_subset_is_replaced() -> None:
    """A gateway of a large fleet sends only to its subset, and to other endpoints once the subset drains."""
    listed = [endpoint(number) for number in range(ENDPOINTS)]
    engine = make_engine(endpoint_list=endpoint_list_update(*listed), gateway_count=GATEWAYS, gateway_index=3)
    subset = ids(engine.endpoint_registry.candidates)
    assert len(subset) == subset_size(ENDPOINTS, GATEWAYS)
    used = {
        attempt.endpoint_id
        for number in range(10)
        for attempt in started_attempts(engine.handle(make_request(number, customer=f"c{number}"), 100.1))
    }
    assert used and used <= subset
    draining = [
        replace(entry, status=EndpointStatus.DRAINING) for entry in listed if entry.endpoint_id in subset
    ]
    engine.handle(endpoint_list_update(*draining, kind=EndpointListKind.DELTA), 100.2)
    candidates = ids(engine.endpoint_registry.candidates)
    assert len(candidates) >= MIN_SUBSET_SIZE
    assert not candidates & subset
