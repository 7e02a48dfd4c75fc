"""Keeps the endpoints that the list names, and which of them this gateway draws from."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from quota_gateway.model.actions import PollEndpoints, SetTimer
from quota_gateway.model.endpoints import Endpoint, EndpointListKind, EndpointStatus
from quota_gateway.model.events import EndpointListUpdate
from quota_gateway.model.timers import PollEndpointsTimer
from quota_gateway.policy.records import SHUN, START_LIMIT, Server
from quota_gateway.policy.subsetting import subset
from quota_gateway.policy.token_bucket import EPS

if TYPE_CHECKING:
    from quota_gateway.policy.engine import PolicyEngine


def list_changed(gateway: PolicyEngine, event: EndpointListUpdate) -> None:
    if event.kind is EndpointListKind.FAILED:
        delay = gateway.settings.poll_interval / 8 * (0.5 + gateway.random.random())
        return gateway.actions.append(SetTimer(max(delay, EPS), PollEndpointsTimer()))
    if event.kind is not EndpointListKind.DELTA:
        named = {b.endpoint_id for b in event.endpoints}
        gateway.endpoints = {a: s for a, s in gateway.endpoints.items() if a in named}
    for listed in event.endpoints:
        backend = as_returned(gateway, listed)
        server = gateway.endpoints.get(backend.endpoint_id)
        if backend.status is EndpointStatus.REMOVED:
            gateway.endpoints.pop(backend.endpoint_id, None)
        elif server is None or server.backend.started_at != backend.started_at:
            start_server(gateway, backend)
        else:
            server.backend = backend
    set_order(gateway)
    if event.kind is EndpointListKind.CACHED and not gateway.settings.endpoint_list_pushed:
        gateway.actions.append(PollEndpoints())


def start_server(gateway: PolicyEngine, backend: Endpoint) -> None:
    limit = max(1.0, START_LIMIT / gateway.settings.gateway_count)
    gateway.endpoints[backend.endpoint_id] = Server(backend, limit, gateway.now)


def set_order(gateway: PolicyEngine) -> None:
    gateway.order = [
        s
        for s in gateway.endpoints.values()
        if s.backend.status is EndpointStatus.SERVING and s.backend.endpoint_id not in gateway.banned
    ]
    index, count = gateway.settings.gateway_index, gateway.settings.gateway_count
    gateway.own = set(subset(gateway.order, index, count, lambda s: True))
    set_near(gateway)


def set_near(gateway: PolicyEngine) -> None:
    index, count = gateway.settings.gateway_index, gateway.settings.gateway_count
    gateway.near = subset(gateway.order, index, count, lambda s: s.bad < SHUN)


def as_returned(gateway: PolicyEngine, backend: Endpoint) -> Endpoint:
    """What was put back may have been restarted before the list tells of it."""
    returned = gateway.returned.get(backend.endpoint_id, 0.0)
    return replace(backend, started_at=returned) if returned > (backend.started_at or 0.0) else backend
