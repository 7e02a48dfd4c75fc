"""Applies updates of the endpoint list to the connection pool."""

from __future__ import annotations

from dataclasses import replace

from quota_gateway.discovery.endpoint_update import EndpointEntry, EndpointUpdate
from quota_gateway.model.endpoints import Endpoint, EndpointStatus
from quota_gateway.model.events import EndpointListUpdate
from quota_gateway.upstream.connection_pool import ConnectionPool


def update_pool(pool: ConnectionPool, update: EndpointUpdate) -> EndpointListUpdate:
    """Apply an endpoint update to the pool and return the event that reports it to the policy engine."""
    endpoints: list[Endpoint] = []
    for entry in update.entries:
        endpoint = entry.endpoint
        if endpoint.status is EndpointStatus.SERVING:
            endpoints += _retire_previous_endpoints(pool, entry)
            pool.set_endpoint(endpoint.endpoint_id, entry.address, endpoint.started_at)
        else:
            pool.retire_endpoint(endpoint.endpoint_id)
        endpoints.append(endpoint)
    if update.is_full:
        pool.retain_only_endpoints({endpoint.endpoint_id for endpoint in endpoints})
    return EndpointListUpdate(update.kind, tuple(endpoints))


def _retire_previous_endpoints(pool: ConnectionPool, entry: EndpointEntry) -> list[Endpoint]:
    """Retire other endpoints at the entry's address, whose removal discovery may report only later."""
    endpoint = entry.endpoint
    removed = []
    for endpoint_id in pool.endpoint_ids_at(entry.address):
        if endpoint_id != endpoint.endpoint_id:
            pool.retire_endpoint(endpoint_id)
            removed.append(replace(endpoint, endpoint_id=endpoint_id, status=EndpointStatus.REMOVED))
    return removed
