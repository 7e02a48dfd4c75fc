"""Runs a discovery client under test against a fake agent."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from quota_gateway.discovery.client import DiscoveryClient
from quota_gateway.discovery.endpoint_update import EndpointUpdate
from quota_gateway.discovery.poll_schedule import DEFAULT_POLL_SCHEDULE, PollSchedule
from quota_gateway.model.endpoints import EndpointStatus
from quota_gateway.sockets.addresses import parse_address
from tests.fakes import FakeDiscovery

CONNECT_TIMEOUT = 5.0  # seconds

Updates = asyncio.Queue[EndpointUpdate]


@asynccontextmanager
async def running_client(
    peer: FakeDiscovery,
    known_generation: int | None = None,
    schedule: PollSchedule = DEFAULT_POLL_SCHEDULE,
    connect_timeout: float = CONNECT_TIMEOUT,
) -> AsyncIterator[tuple[DiscoveryClient, Updates]]:
    """Start a fake agent and a client that polls it, and stop both at the end."""
    updates = Updates()
    await peer.start()
    client = DiscoveryClient(
        parse_address(peer.address), connect_timeout, updates.put_nowait, known_generation, schedule
    )
    client.start()
    try:
        yield client, updates
    finally:
        client.stop()
        await peer.stop()


def first_status(update: EndpointUpdate) -> EndpointStatus:
    return update.entries[0].endpoint.status


def first_id(update: EndpointUpdate) -> str:
    return update.entries[0].endpoint.endpoint_id
