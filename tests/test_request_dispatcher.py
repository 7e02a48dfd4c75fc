"""The request dispatcher: one final response per request, the engine's actions, and the watchdog."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.actions import Action, FailRequest, StartAttempt
from quota_gateway.model.events import Event, RequestReceived
from tests.fakes import HttpMessage, ResponseStep, http_response, send_success
from tests.harness import GatewayHarness, high_quota_settings, request, running_gateway


def respond_with(data: bytes) -> ResponseStep:
    return lambda writer, received: writer.write(data)


def abort_connection(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    writer.transport.abort()


def script_first_attempt(harness: GatewayHarness, step: ResponseStep) -> None:
    """Answer the first attempt by `step`, whichever backend the engine picks, and later ones with success."""
    is_first = True

    def answer(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
        nonlocal is_first
        if is_first:
            is_first = False
            step(writer, received)
        else:
            send_success(writer, received)

    for backend in harness.backends:
        backend.script = [answer, answer, answer]


@pytest.mark.parametrize(
    ("step", "request_class", "status", "attempts"),
    [
        (respond_with(http_response(503, b"", "X-Rejected: 1")), "extract", 200, 2),
        (respond_with(http_response(503)), "extract", 502, 1),
        (respond_with(http_response(500)), "extract", 502, 1),
        (respond_with(b"rubbish\r\n\r\n"), "extract", 502, 1),
        (abort_connection, "extract", 502, 1),
        (abort_connection, "lookup", 200, 2),
        (abort_connection, "report", 200, 2),
    ],
)
async def test_non_idempotent_request_is_retried_only_if_unexecuted(
    step: ResponseStep, request_class: str, status: int, attempts: int
) -> None:
    async with running_gateway(backends=2) as harness:
        script_first_attempt(harness, step)
        client = await harness.connect_client()
        assert (await client.exchange(request(1, request_class)))[0] == status
        assert len(harness.received_requests()) == attempts


async def test_non_idempotent_requests_succeed_despite_refused_connections() -> None:
    async with running_gateway(backends=2) as harness:
        await harness.backends[0].stop()
        client = await harness.connect_client()
        for number in range(6):
            assert (await client.exchange(request(number, "extract")))[0] == 200


async def test_endpoint_moves_to_another_address() -> None:
    async with running_gateway(backends=2) as harness:
        client = await harness.connect_client()
        discovery = harness.discovery
        await discovery.publish(discovery.entry("b1", harness.backends[1].address, "DELETED"))
        await discovery.wait_for_requests(3)
        assert (await client.exchange(request(1)))[0] == 200
        await discovery.publish(discovery.entry("b0", harness.backends[1].address))
        await discovery.wait_for_requests(4)
        assert (await client.exchange(request(2)))[0] == 200
        assert [len(backend.requests) for backend in harness.backends] == [1, 1]


async def test_unresponsive_backend_fails_request_before_client_timeout() -> None:
    async with running_gateway() as harness:
        backend = harness.backends[0]
        backend.script = [respond_with(b"")]
        client = await harness.connect_client()
        client.send(request(1, "extract", budget=0.4))
        client_timeout = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(0.4, client_timeout.set_result, None)
        status, _, _ = await client.read_response()
        assert status == 502 and not client_timeout.done()
        await backend.wait_until(lambda: backend.closed_count == 1)


@pytest.mark.parametrize("engine_raises", [False, True], ids=["no action", "an error"])
async def test_watchdog_fails_unanswered_request(
    engine_raises: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    def handle(self: PolicyEngine, event: Event, now: float) -> list[Action]:
        if engine_raises and isinstance(event, RequestReceived):
            raise RuntimeError("it broke")
        return []

    async with running_gateway() as harness:
        client = await harness.connect_client()
        monkeypatch.setattr(PolicyEngine, "handle", handle)
        status, _, _ = await client.exchange(request(1, budget=0.3))
        assert status == 504 and not harness.process.dispatcher.active_requests


async def test_actions_after_final_response_are_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    """The actions are a second final response and an attempt."""

    def handle(self: PolicyEngine, event: Event, now: float) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [
                FailRequest(event.request_id),
                FailRequest(event.request_id),
                StartAttempt(event.request_id, "b0", 1.0),
            ]
        return []

    async with running_gateway() as harness:
        client = await harness.connect_client()
        monkeypatch.setattr(PolicyEngine, "handle", handle)
        assert (await client.exchange(request(1)))[0] == 502
        assert (await client.exchange(request(2)))[0] == 502  # not the second response to request 1
        assert not harness.received_requests()


@pytest.mark.parametrize("allowed", [True, False])
async def test_rejection_has_retry_after_only_if_allowed(allowed: bool) -> None:
    settings = high_quota_settings(retry_after=allowed)
    settings["packages"][0].update(peak_units=16.0, units_per_s=0.001)
    async with running_gateway(settings=settings) as harness:
        client = await harness.connect_client()
        answers = [await client.exchange(request(number, units="8")) for number in range(3)]
        assert [status for status, _, _ in answers] == [200, 429, 429]
        _, headers, _ = answers[1]
        assert ("retry-after" in headers) == allowed


async def test_small_quota_units_are_added_at_counter() -> None:
    settings = high_quota_settings()
    settings["packages"][0].update(peak_units=8.0, units_per_s=2.0)
    settings["domain"]["count_limit"] = 5000.0
    async with running_gateway(settings=settings) as harness:
        client = await harness.connect_client()
        assert (await client.exchange(request(1, units="3")))[0] == 200
        assert harness.counter.increments[0][1] == 3.0
