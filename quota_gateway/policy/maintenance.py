"""The operators' standing words on backends: bans that no list undoes, and what comes back from one."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from quota_gateway.model.actions import Rest
from quota_gateway.model.endpoints import Backend
from quota_gateway.model.events import Maintain
from quota_gateway.policy.records import SHUN

UNUSED_FOR = 1.5  # seconds from which a backend that is shunned counts as avoided

if TYPE_CHECKING:
    from quota_gateway.policy.engine import Gateway


def maintain(gateway: Gateway, event: Maintain) -> None:
    """Keeps to the operators' word until they take it back; what comes back is taken to be cold."""
    if event.out:
        gateway.banned.add(event.backend)
        gateway.actions.append(Rest(event.backend))
    elif event.backend in gateway.banned:
        gateway.banned.discard(event.backend)
        gateway.returned[event.backend] = gateway.now
        if event.backend in gateway.servers:
            gateway.start_server(as_returned(gateway, gateway.servers[event.backend].backend))
    gateway.set_order()


def as_returned(gateway: Gateway, backend: Backend) -> Backend:
    """What was put back may have been restarted before the list tells of it."""
    returned = gateway.returned.get(backend.address, 0.0)
    return replace(backend, started=returned) if returned > (backend.started or 0.0) else backend


def knows(gateway: Gateway, backend: str) -> bool:
    return backend in gateway.servers or backend in gateway.banned


def avoided(gateway: Gateway) -> int:
    """Listed backends that the draw passes over: by hand, by the list, for failures, as other gateways'.

    One that has failed is passed over where others are found; what was just used was not.
    """
    for server in gateway.near:
        server.fade(gateway.now)
    used = sum(1 for s in gateway.near if s.bad < SHUN or gateway.now - s.sent_at < UNUSED_FOR)
    return len(gateway.servers) - used
