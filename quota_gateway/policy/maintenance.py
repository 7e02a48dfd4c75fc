"""The operators' standing words on backends: bans that no list undoes, and what comes back from one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quota_gateway.model.actions import CloseIdleConnections
from quota_gateway.model.events import SetMaintenance
from quota_gateway.policy.endpoint_registry import as_returned, set_order, start_server
from quota_gateway.policy.records import SHUN

UNUSED_FOR = 1.5  # seconds from which a backend that is shunned counts as avoided

if TYPE_CHECKING:
    from quota_gateway.policy.engine import PolicyEngine


def maintain(gateway: PolicyEngine, event: SetMaintenance) -> None:
    """Keeps to the operators' word until they take it back; what comes back is taken to be cold."""
    if event.enabled:
        gateway.banned.add(event.endpoint_id)
        gateway.actions.append(CloseIdleConnections(event.endpoint_id))
    elif event.endpoint_id in gateway.banned:
        gateway.banned.discard(event.endpoint_id)
        gateway.returned[event.endpoint_id] = gateway.now
        if event.endpoint_id in gateway.endpoints:
            start_server(gateway, as_returned(gateway, gateway.endpoints[event.endpoint_id].backend))
    set_order(gateway)


def knows(gateway: PolicyEngine, backend: str) -> bool:
    return backend in gateway.endpoints or backend in gateway.banned


def avoided(gateway: PolicyEngine) -> int:
    """Listed backends that the draw passes over: by hand, by the list, for failures, as other gateways'.

    One that has failed is passed over where others are found; what was just used was not.
    """
    for server in gateway.near:
        server.fade(gateway.now)
    used = sum(1 for s in gateway.near if s.bad < SHUN or gateway.now - s.sent_at < UNUSED_FOR)
    return len(gateway.endpoints) - used
