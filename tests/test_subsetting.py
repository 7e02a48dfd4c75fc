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
GATEWAY_INDEX = 7  # of the gateway whose subset is widened


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
def test_small_fleet_uses_every_endpoint_in_the_order_of_the_list(gateways: int, endpoints: int) -> None:
    states = endpoint_states(range(endpoints))
    assert SubsetRing(states, gateways - 1, gateways).select(is_healthy) == states


def test_every_endpoint_of_a_large_fleet_is_used_by_about_as_many_gateways() -> None:
    users = Counter(name for subset in subsets(endpoint_states(range(ENDPOINTS))) for name in subset)
    even = GATEWAYS * subset_size(ENDPOINTS, GATEWAYS) / ENDPOINTS
    assert len(users) == ENDPOINTS
    assert even - 1 <= min(users.values()) <= max(users.values()) <= even + 1


def test_every_subset_has_as_many_endpoints_of_each_zone() -> None:
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
def test_one_endpoint_more_or_less_changes_few_members_of_a_subset(numbers: Iterable[int]) -> None:
    before = subsets(endpoint_states(range(ENDPOINTS)))
    after = subsets(endpoint_states(numbers))
    changed = [len(old ^ new) for old, new in zip(before, after, strict=True)]
    assert max(changed) <= 6  # of 15
    assert sum(changed) / GATEWAYS <= 3


def test_loss_of_a_zone_leaves_the_other_zones_members_in_their_subsets() -> None:
    before = subsets(endpoint_states(range(ENDPOINTS)))
    after = subsets(endpoint_states(number for number in range(ENDPOINTS) if number % 3))
    retained = [len(old & new) / len(new) for old, new in zip(before, after, strict=True)]
    assert min(retained) >= 0.6  # a larger part of those that are left, the former members among them


def test_subset_is_widened_at_once_while_too_few_of_it_are_healthy() -> None:
    states = endpoint_states(range(ENDPOINTS))
    ring = SubsetRing(states, GATEWAY_INDEX, GATEWAYS)
    subset = ids(ring.select(is_healthy))
    for state in states:
        state.failure_score = 1.0 if state.id in subset else 0.0
    widened = ring.select(is_healthy)
    assert subset < ids(widened)
    assert sum(map(is_healthy, widened)) >= 9


def test_subset_is_the_whole_fleet_while_no_endpoint_is_healthy() -> None:
    states = endpoint_states(range(ENDPOINTS))
    for state in states:
        state.failure_score = 1.0
    assert len(SubsetRing(states, GATEWAY_INDEX, GATEWAYS).select(is_healthy)) == ENDPOINTS


def test_gateway_of_a_large_fleet_sends_to_its_subset_and_beyond_it_once_that_drains() -> None:
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
        replace(each, status=EndpointStatus.DRAINING) for each in listed if each.endpoint_id in subset
    ]
    engine.handle(endpoint_list_update(*draining, kind=EndpointListKind.DELTA), 100.2)
    candidates = ids(engine.endpoint_registry.candidates)
    assert len(candidates) >= MIN_SUBSET_SIZE
    assert not candidates & subset
