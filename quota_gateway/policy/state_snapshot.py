"""What one process of a gateway leaves to the next: levels, what it learned, the operators' standing words.

While both run they are one gateway: each takes from its levels what the other sends on, and a quota is spent
once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quota_gateway.model.actions import DrainClientConnections
from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.events import StateSnapshot
from quota_gateway.policy.endpoint_registry import as_returned, set_order
from quota_gateway.policy.token_bucket import Throttle

if TYPE_CHECKING:
    from quota_gateway.policy.engine import PolicyEngine

LEARNED = (
    "fleet_fails",
    "retry_credit",
    "passed",
    "limit",
    "quiet_until",
    "count_fails",
    "shortest",
    "counted_part",
    "draining",
)  # figures of a gateway that go over as they stand
KEPT = ("share", "rate", "bank", "level", "stamp", "own", "total", "read_until", "fresh_until", "cap")


def estate_of(gateway: PolicyEngine) -> StateSnapshot:
    """All of it in plain values. Requests that are held stay here: they are charged when they are sent on."""
    throttles = [
        [t.customer, t.plan.name, t.width, t.held, *(getattr(t, name) for name in KEPT)]
        for t in gateway.throttles.values()
    ]
    servers = [
        [s.backend.endpoint_id, s.backend.started_at, s.limit, s.bad, s.touched]
        for s in gateway.endpoints.values()
    ]
    return StateSnapshot(
        {
            "born": gateway.born,
            "throttles": throttles,
            "servers": servers,
            "banned": sorted(gateway.banned),
            "returned": gateway.returned,
            "kinds": gateway.kinds,
            "patience": gateway.patience,
            "usual": [[*key, value] for key, value in gateway.usual.items()],
            "granted": [[*key, value] for key, value in gateway.granted.items()],
            **{name: getattr(gateway, name) for name in LEARNED},
        }
    )


def inherit(gateway: PolicyEngine, estate: dict[str, Any]) -> None:
    """Takes it over. What this process has spent by then stays spent: of two levels the lower counts."""
    gateway.born = min(gateway.born, estate["born"])
    for name in LEARNED:
        setattr(gateway, name, estate[name])
    gateway.kinds.update(estate["kinds"])
    gateway.patience.update(estate["patience"])
    gateway.usual.update({(klass, units): value for klass, units, value in estate["usual"]})
    granted = {tuple(key): value for *key, value in estate["granted"]}  # an older process has shorter keys
    gateway.granted.update({key: value for key, value in granted.items() if key in gateway.granted})
    gateway.banned.update(estate["banned"])
    gateway.returned.update(estate["returned"])
    inherit_servers(gateway, estate["servers"])
    for customer, plan, width, held, *kept in estate["throttles"]:
        if plan in gateway.plans:
            inherit_level(gateway, customer, plan, width, held, dict(zip(KEPT, kept, strict=True)))
    if gateway.draining:
        gateway.actions.append(DrainClientConnections(True))
    set_order(gateway)


def inherit_servers(gateway: PolicyEngine, servers: list[Any]) -> None:
    for address, started, limit, bad, touched in servers:
        server = gateway.endpoints.get(address)
        if server is None:
            continue
        if address in gateway.returned:  # cold by the operators' word, which the list does not tell
            server.backend = as_returned(gateway, server.backend)
        if server.backend.started_at == started:
            server.limit, server.bad, server.touched = limit, bad, touched


def inherit_level(
    gateway: PolicyEngine, customer: str, plan: str, width: int, held: float, kept: dict[str, float]
) -> None:
    old = gateway.throttles.get(customer)
    throttle = old or gateway.join(customer, width, gateway.plans[plan])
    if old is not None:
        old.refill(gateway.now)
        spent = max(old.bank - old.level, 0.0)
        throttle.level = min(old.level, kept["level"] + held - spent)
        return
    for name, value in kept.items():
        setattr(throttle, name, value)
    throttle.level += held
    throttle.refill(gateway.now)


def charge(gateway: PolicyEngine, throttle: Throttle, units: float) -> None:
    """Tells the other process of units that are sent on here, or given back if below nought."""
    if gateway.paired and throttle.plan.rate > 0 and units:
        gateway.actions.append(UnitsCharged(throttle.customer, throttle.plan.name, throttle.width, units))


def charged(gateway: PolicyEngine, event: UnitsCharged) -> None:
    """Takes what the other process has sent on from the level here."""
    plan = gateway.plans.get(event.plan)
    if plan is None:
        return
    throttle = gateway.throttles.get(event.customer) or gateway.join(event.customer, event.quota_spread, plan)
    throttle.refill(gateway.now)
    throttle.level = min(throttle.level - event.units, throttle.bank - throttle.held)
