"""The part of a large fleet's backends that each gateway uses."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from quota_gateway.model.actions import StartAttempt
from quota_gateway.model.endpoints import Endpoint, EndpointListKind, EndpointStatus
from quota_gateway.policy.subsetting import MIN_SIZE, SubsetRing, subset_size
from quota_gateway.state.records import EndpointState
from tests.policy_harness import backends, gateway, request

ZONES = ("a", "b", "c")
GATEWAYS = 40


def fleet(backends: Iterable[int]) -> list[EndpointState]:
    return [
        EndpointState(Endpoint(f"s{n}", ZONES[n % 3], "k", n, EndpointStatus.SERVING, 1.0, None), 1.0, 0.0)
        for n in backends
    ]


def sound(server: EndpointState) -> bool:
    return server.failure_score == 0.0


def names(servers: Iterable[EndpointState]) -> set[str]:
    return {s.endpoint.endpoint_id for s in servers}


def parts(servers: list[EndpointState], gateways: int = GATEWAYS) -> list[set[str]]:
    return [names(SubsetRing(servers, me, gateways).select(sound)) for me in range(gateways)]


def test_a_small_fleet_uses_every_backend_in_the_order_of_the_list() -> None:
    for gateways, listed in ((3, 9), (4, 14), (10, 60), (1, 60)):
        servers = fleet(range(listed))
        assert SubsetRing(servers, gateways - 1, gateways).select(sound) == servers


def test_every_backend_of_a_large_fleet_is_used_by_about_as_many_gateways() -> None:
    found = parts(fleet(range(60)))
    used = Counter(name for part in found for name in part)
    even = GATEWAYS * subset_size(60, GATEWAYS) / 60
    assert len(used) == 60 and even - 1 <= min(used.values()) <= max(used.values()) <= even + 1
    for part in found:
        zones = Counter(int(name[1:]) % 3 for name in part)
        assert MIN_SIZE <= len(part) <= 18 and max(zones.values()) - min(zones.values()) <= 1


def test_one_backend_more_or_less_moves_little() -> None:
    before = parts(fleet(range(60)))
    for changed in (fleet(range(61)), fleet(n for n in range(60) if n != 31)):
        moved = [len(old ^ new) for old, new in zip(before, parts(changed), strict=True)]
        assert max(moved) <= 6 and sum(moved) / GATEWAYS <= 3  # of 15


def test_a_zone_more_or_less_leaves_the_others_parts_alone() -> None:
    before = parts(fleet(range(60)))
    after = parts(fleet(n for n in range(60) if n % 3))
    kept = [len(old & new) / len(new) for old, new in zip(before, after, strict=True)]
    assert min(kept) >= 0.6  # a larger part of those that are left, among them its own


def test_with_too_few_sound_ones_more_are_taken_in_at_once() -> None:
    servers = fleet(range(60))
    own = names(SubsetRing(servers, 7, GATEWAYS).select(sound))
    for server in servers:
        server.failure_score = 1.0 if server.endpoint.endpoint_id in own else 0.0
    wider = SubsetRing(servers, 7, GATEWAYS).select(sound)
    assert own < names(wider) and sum(map(sound, wider)) >= 9
    for server in servers:
        server.failure_score = 1.0
    assert len(SubsetRing(servers, 7, GATEWAYS).select(sound)) == 60


def test_a_gateway_of_a_large_fleet_sends_to_its_own_part_and_beyond_it_when_that_fails() -> None:
    listed = [s.endpoint for s in fleet(range(60))]
    made = gateway(listed=backends(*listed), gateway_count=GATEWAYS, gateway_index=3)
    own = names(made.registry.candidates)
    assert len(own) == subset_size(60, GATEWAYS)
    sent = {
        a.endpoint_id
        for n in range(10)
        for a in made.handle(request(n, customer=f"c{n}"), 100.1)
        if isinstance(a, StartAttempt)
    }
    assert sent and sent <= own
    drained = [replace(b, status=EndpointStatus.DRAINING) for b in listed if b.endpoint_id in own]
    made.handle(backends(*drained, kind=EndpointListKind.DELTA), 100.2)
    assert len(made.registry.candidates) >= MIN_SIZE and not names(made.registry.candidates) & own
