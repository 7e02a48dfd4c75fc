"""The discovery client: the order of updates, changes of the agent, and their effect on a gateway."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.discovery.endpoint_update import parse_endpoint_update
from quota_gateway.discovery.poll_schedule import poll_schedule_for
from quota_gateway.errors import EndpointListError
from quota_gateway.model.endpoints import EndpointListKind, EndpointStatus
from quota_gateway.sockets.addresses import parse_address
from tests.discovery_harness import first_id, first_status, running_client
from tests.fakes import FakeDiscovery, http_response, read_message
from tests.harness import GatewayHarness, high_quota_settings, request, running_gateway


async def test_watches_follow_full_list_on_one_connection() -> None:
    peer = FakeDiscovery()
    peer.entries = {"a": peer.entry("a", "127.0.0.1:9")}
    async with running_client(peer) as (_, updates):
        full = await updates.get()
        assert full.is_full
        assert full.entries[0].address == ("127.0.0.1", 9)
        await peer.wait_for_requests(2)
        await peer.publish(peer.entry("a", "127.0.0.1:9", "DRAINING"))
        delta = await updates.get()
        assert delta.kind is EndpointListKind.DELTA
        assert first_status(delta) is EndpointStatus.DRAINING
        await peer.wait_for_requests(3)
        assert "since=2&" in peer.request_lines[2]
        assert peer.connection_count == 1


async def test_rejected_first_poll_does_not_block_startup() -> None:
    """Startup waits for an answer to the first poll, even a rejection, and goes on with the known list."""

    class RejectingDiscovery(FakeDiscovery):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.request_lines.append((await read_message(reader))[0])
            writer.write(http_response(503))

    peer = RejectingDiscovery()
    async with running_client(peer, 1, poll_schedule_for(40, False, drain_timeout=2.0)) as (client, updates):
        await client.first_response_received.wait()  # the event that startup waits for
        assert len(peer.request_lines) == 1
        assert updates.empty()


async def test_startup_waits_at_most_the_connect_timeout() -> None:
    class SilentDiscovery(FakeDiscovery):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.request_lines.append((await read_message(reader))[0])
            await asyncio.Event().wait()

    harness = GatewayHarness(1)
    harness.discovery = SilentDiscovery()
    with pytest.MonkeyPatch.context() as patch:
        timeouts: list[float | None] = []
        timeout = asyncio.timeout

        def record_timeout(seconds: float | None) -> asyncio.Timeout:
            timeouts.append(seconds)
            return timeout(seconds)

        patch.setattr("quota_gateway.gateway_process.asyncio.timeout", record_timeout)
        await harness.start(high_quota_settings(dial_timeout=40.0), 1024)
    assert 0.04 in timeouts
    assert 1.0 not in timeouts
    client = await harness.connect_client()
    assert (await client.exchange(request(1)))[0] == 200
    await harness.process.stop(0.0, 0.0)
    for server in (*harness.backends, harness.discovery, harness.counter):
        await server.stop()


async def test_polling_starts_from_the_known_generation() -> None:
    peer = FakeDiscovery()
    await peer.publish(peer.entry("a", "127.0.0.1:9", "DRAINING"))
    async with running_client(peer, known_generation=1) as (_, updates):
        assert (await updates.get()).kind is EndpointListKind.DELTA
        await peer.wait_for_requests(2)
        assert "since=1&timeout_ms=0 " in peer.request_lines[0]
        assert "since=2&timeout_ms=2000 " in peer.request_lines[1]


async def test_new_agent_takes_over_after_full_list() -> None:
    # Until then, updates from the old agent still apply, so that no change to DRAINING is missed.
    old, new = FakeDiscovery(), FakeDiscovery()
    await new.start()
    async with running_client(old) as (client, updates):
        await updates.get()
        await old.wait_for_requests(2)
        (old_poller,) = client.pollers
        async with new.state_changed:  # delays the new agent's response
            client.change_address(parse_address(new.address))
            await old.publish(old.entry("a", "127.0.0.1:9", "DRAINING"))
            assert first_status(await updates.get()) is EndpointStatus.DRAINING
            new.entries = {"b": new.entry("b", "127.0.0.1:8")}
        update = await updates.get()
        assert update.is_full
        assert first_id(update) == "b"
        await new.wait_for_requests(2)
        await old.publish(old.entry("c", "127.0.0.1:7"))
        await new.publish(new.entry("d", "127.0.0.1:6"))
        assert first_id(await updates.get()) == "d"  # and no update from the old agent
        assert old_poller.task.cancelled()
    await new.stop()


async def test_unreachable_new_agent_keeps_the_old_one() -> None:
    old, unreachable = FakeDiscovery(), FakeDiscovery()
    await unreachable.start()
    await unreachable.stop()
    async with running_client(old) as (client, updates):
        await updates.get()
        await old.wait_for_requests(2)
        client.change_address(parse_address(unreachable.address))
        client.change_address(parse_address(old.address))  # as if an operator reverted a mistake
        await old.publish(old.entry("a", "127.0.0.1:9"))
        assert first_id(await updates.get()) == "a"
        assert len(client.pollers) == 1
        assert old.connection_count == 1


async def test_reassigned_address_replaces_the_old_endpoint() -> None:
    # The removal of the old endpoint may arrive later; requests to it would reach and overload the new one.
    async with running_gateway() as harness:
        client = await harness.connect_client()
        assert (await client.exchange(request(1)))[0] == 200
        discovery = harness.discovery
        polls = len(discovery.request_lines)
        await discovery.publish(discovery.entry("new", harness.backends[0].address))
        await discovery.wait_for_requests(polls + 1)
        dispatcher = harness.process.dispatcher
        assert {"new"} == set(dispatcher.pool.endpoints) == set(dispatcher.engine.endpoints)
        assert (await client.exchange(request(2)))[0] == 200
        assert harness.backends[0].connection_count == 2  # the old endpoint's connection is not reused


async def test_draining_backend_receives_no_requests() -> None:
    async with running_gateway(backends=2) as harness:
        client = await harness.connect_client()
        for number in range(8):
            assert (await client.exchange(request(number)))[0] == 200
        draining, serving = harness.backends
        discovery = harness.discovery
        polls = len(discovery.request_lines)
        await discovery.publish(discovery.entry("b0", draining.address, "DRAINING"))
        await discovery.wait_for_requests(polls + 1)  # the next watch shows that the change was applied
        received = len(draining.requests)
        for number in range(8, 20):
            assert (await client.exchange(request(number)))[0] == 200
        assert len(draining.requests) == received
        assert len(serving.requests) >= 12


@pytest.mark.parametrize(
    ("document", "message"),
    [
        ({}, "instances is missing"),
        ([], "not a JSON object"),
        ({"generation": 1, "reset": True}, "instances is missing"),
        ({"generation": 1, "reset": True, "instances": [{}]}, "instances[0]: lifecycle is missing"),
        (
            {"generation": 1, "reset": True, "instances": [{"instanceId": "a", "lifecycle": "ODD"}]},
            "instances[0]: lifecycle has an invalid value: 'ODD'",
        ),
        (
            {
                "generation": 1,
                "reset": True,
                "instances": [{"instanceId": "a", "lifecycle": "SERVING", "hostPort": "nowhere"}],
            },
            "instances[0]: hostPort has an invalid value: 'nowhere'",
        ),
    ],
)
def test_malformed_list_error_names_the_field(document: object, message: str) -> None:
    with pytest.raises(EndpointListError) as raised:
        parse_endpoint_update(document)
    assert str(raised.value) == message
