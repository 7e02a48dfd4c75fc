"""An operator's word on backends and on the gateway, as the module keeps it."""

from __future__ import annotations

from quota_gateway.model.actions import CloseIdleConnections, DrainClientConnections, StartAttempt
from quota_gateway.model.endpoints import EndpointStatus
from quota_gateway.model.events import SetDraining, SetMaintenance
from tests.policy_harness import backend, backends, gateway, request


def sends(made: object, numbers: range) -> set[str]:
    found: set[str] = set()
    for number in numbers:
        actions = made.handle(request(number, customer=f"c{number}"), 100.0)  # type: ignore[attr-defined]
        found |= {a.endpoint_id for a in actions if isinstance(a, StartAttempt)}
    return found


def test_a_ban_outlives_lists_and_restarts() -> None:
    made = gateway()
    assert made.handle(SetMaintenance("a", True), 100.0) == [CloseIdleConnections("a")]
    assert sends(made, range(20)) == {"b"}
    for listed in (
        backends(backend("a", status=EndpointStatus.REMOVED), backend("b")),
        backends(backend("a", started=99.0), backend("b")),
    ):
        made.handle(listed, 100.0)
        assert sends(made, range(100, 120)) <= {"b"}
    assert made.unavailable_endpoints() == 1 and made.knows_endpoint("a")


def test_every_backend_banned_leaves_none_to_serve_with() -> None:
    made = gateway()
    for name in "ab":
        made.handle(SetMaintenance(name, True), 100.0)
    assert not made.accepts_clients() and sends(made, range(3)) == set()


def test_what_is_put_back_is_cold_whatever_the_list_says() -> None:
    made = gateway()
    for out in (True, True, False, False):  # two calls out need one call back
        made.handle(SetMaintenance("a", out), 100.0)
    server = made.endpoints["a"]
    assert made.slow_start.factor(server) == made.settings.slow_start_minimum
    made.handle(backends(backend("a"), backend("b")), 101.0)  # not told of the restart yet
    assert made.endpoints["a"] is server
    made.handle(backends(backend("a", started=99.5), backend("b")), 101.0)
    assert made.endpoints["a"] is server
    made.handle(backends(backend("a", started=102.0), backend("b")), 103.0)
    assert made.endpoints["a"].endpoint.started_at == 102.0


def test_a_drain_changes_no_admission() -> None:
    made = gateway()
    assert made.handle(SetDraining(True), 100.0) == [DrainClientConnections(True)]
    assert not made.accepts_clients() and sends(made, range(4))
    assert (
        made.handle(SetDraining(False), 100.0) == [DrainClientConnections(False)] and made.accepts_clients()
    )
