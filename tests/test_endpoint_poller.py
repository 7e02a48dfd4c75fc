"""Polling of a discovery agent: retries, backoff, timeouts, and the logging of failures."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from quota_gateway.discovery import poller as poller_module
from quota_gateway.discovery.connection import DiscoveryConnection, parse_retry_after
from quota_gateway.discovery.endpoint_update import EndpointUpdate
from quota_gateway.discovery.poll_schedule import MAX_PROPAGATION_DELAY, poll_schedule_for
from quota_gateway.discovery.poller import EndpointPoller
from quota_gateway.errors import DiscoveryUnavailableError, EndpointListError
from quota_gateway.model.endpoints import EndpointStatus
from tests.discovery_harness import first_id, first_status, running_client
from tests.fakes import FakeDiscovery, http_response, read_message
from tests.harness import run

DRAIN_TIMEOUT = 2.0  # seconds


def idle_poller() -> EndpointPoller:
    """Return a poller with a known generation, whose task has not run yet."""
    return EndpointPoller(("127.0.0.1", 9), 1.0, lambda poller, update: None, generation=7)


BAD_RESPONSES = {
    "unavailable": http_response(503),
    "rejected": http_response(410),
    "malformed": http_response(200, b"rubbish"),
    "older generation": http_response(200, b'{"generation": 0, "reset": false, "instances": []}'),
}


@pytest.mark.parametrize(
    ("fault", "keeps_generation"),
    [
        ("reset", True),
        ("unavailable", True),
        ("rejected", False),
        ("malformed", False),
        ("older generation", False),
    ],
)
async def test_failed_watch_is_followed_by_immediate_poll(fault: str, keeps_generation: bool) -> None:
    # Another watch would wait for the next change, and a rejected watch would be rejected again.
    peer = FakeDiscovery()
    async with running_client(peer) as (_, updates):
        await updates.get()
        await peer.wait_for_requests(2)
        (writer,) = peer.open_writers
        if fault == "reset":
            writer.transport.abort()
        else:
            writer.write(BAD_RESPONSES[fault])
        if keeps_generation:
            await peer.publish(peer.entry("b", "127.0.0.1:9"))
        assert (await updates.get()).is_full != keeps_generation
        is_immediate_watch = peer.request_lines[2].startswith("GET /v1/endpoints?since=1&timeout_ms=0 ")
        assert is_immediate_watch == keeps_generation
        await peer.wait_for_requests(4)
        assert "timeout_ms=2000 " in peer.request_lines[3]
        await peer.publish({"instanceId": "a", "lifecycle": "DELETED"})
        assert first_status(await updates.get()) is EndpointStatus.REMOVED


async def test_retries_use_jittered_and_growing_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    async def record_delays() -> list[float]:
        delays: list[float] = []
        done = asyncio.Event()

        async def record_sleep(seconds: float) -> None:
            delays.append(seconds)
            if len(delays) == 9:
                done.set()
                await asyncio.Event().wait()

        async def fail_poll(poller: EndpointPoller) -> EndpointUpdate:
            raise EndpointListError("status 503", 3.0 if len(delays) == 7 else 0.0)

        monkeypatch.setattr("quota_gateway.discovery.poller.asyncio.sleep", record_sleep)
        monkeypatch.setattr(EndpointPoller, "poll", fail_poll)
        poller = EndpointPoller(("127.0.0.1", 9), 1.0, lambda poller, update: None)
        await done.wait()
        poller.stop()
        return delays

    first, second = await record_delays(), await record_delays()
    assert first != second  # gateways whose polls fail at the same time retry at different times
    assert all(0 < delays[0] < 0.1 for delays in (first, second))
    # Retry-After is capped by the maximum backoff, and jittered, because all gateways receive the same value.
    assert first[7] != second[7]
    assert all(0.5 <= delay <= 1.0 for delay in (*first[7:], *second[7:]))


VIRTUAL_CONNECT_TIMEOUT = 0.25  # seconds


class ControlledAsyncio:
    """Replaces asyncio in the poller: timeouts expire when a test says so, and sleeps return at once."""

    def __init__(self) -> None:
        self.elapsed = 0.0  # seconds of expired timeouts and of sleeps
        self.timeouts: list[tuple[float, asyncio.Timeout]] = []

    def __getattr__(self, name: str) -> object:
        return getattr(asyncio, name)

    def timeout(self, seconds: float) -> asyncio.Timeout:
        if seconds == VIRTUAL_CONNECT_TIMEOUT:  # runs within the poll's own timeout, and never expires
            return asyncio.timeout(None)
        self.timeouts.append((seconds, asyncio.timeout(None)))
        return self.timeouts[-1][1]

    async def sleep(self, seconds: float) -> None:
        self.elapsed += seconds

    def expire_last_timeout(self) -> None:
        seconds, timeout = self.timeouts[-1]
        self.elapsed += seconds
        timeout.reschedule(asyncio.get_running_loop().time())


class StallingDiscovery(FakeDiscovery):
    """Agent that, while `stalls` is set, sends no responses or, with `trickles`, incomplete ones."""

    stalls = False

    def __init__(self, trickles: bool) -> None:
        super().__init__()
        self.trickles = trickles

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request_line, _, _ = await read_message(reader)
            async with self.state_changed:
                self.request_lines.append(request_line)
                self.state_changed.notify_all()
            if self.stalls:
                if self.trickles:
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\n{")
                await asyncio.Event().wait()
            if "since" not in request_line:
                writer.write(http_response(200, self.list_body(True, list(self.entries.values()))))
            elif "timeout_ms=0 " in request_line:
                writer.write(http_response(200, self.list_body(False, self.last_delta)))


@pytest.mark.parametrize("trickles", [False, True])
@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("gateway_count", [1, 3, 40, 200])
async def test_stalled_watch_is_replaced_within_propagation_delay(
    gateway_count: int, pushed: bool, trickles: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The delay counts from the start of the stall, and includes a second poll that stalls.
    peer, clock = StallingDiscovery(trickles), ControlledAsyncio()
    peer.entries = {"a": peer.entry("a", "127.0.0.1:9")}
    schedule = poll_schedule_for(gateway_count, pushed, DRAIN_TIMEOUT)
    monkeypatch.setattr(poller_module, "asyncio", clock)
    monkeypatch.setattr("quota_gateway.discovery.poll_schedule.random.uniform", lambda lower, upper: upper)
    async with running_client(peer, None, schedule, VIRTUAL_CONNECT_TIMEOUT) as (_, updates):
        await updates.get()
        await peer.wait_for_requests(2)
        peer.stalls = True
        clock.expire_last_timeout()  # the timeout of the watch
        await peer.wait_for_requests(3)
        peer.stalls = False
        await peer.publish(peer.entry("a", "127.0.0.1:9", "DRAINING"))
        clock.expire_last_timeout()  # the timeout of the poll after the watch
        assert first_status(await updates.get()) is EndpointStatus.DRAINING
        assert clock.elapsed <= MAX_PROPAGATION_DELAY


async def test_polling_survives_nested_json_and_infinite_numbers() -> None:
    peer = FakeDiscovery()
    async with running_client(peer) as (_, updates):
        await updates.get()
        bodies = (b"[" * 200_000, b'{"generation": 1e999, "reset": true, "instances": []}')
        for number, body in enumerate(bodies):
            await peer.wait_for_requests(2 + 2 * number)
            for writer in list(peer.open_writers):
                writer.write(http_response(200, body))
            assert (await updates.get()).is_full


async def test_failure_type_determines_timeout_and_generation() -> None:
    """Only timeouts extend the answer timeout, and only unusable lists reset the generation."""
    poller = idle_poller()
    for timeouts in (1, 2):
        poller.handle_failure(TimeoutError())
        assert (poller.consecutive_timeouts, poller.generation) == (timeouts, 7)
    poller.handle_failure(DiscoveryUnavailableError("status 503"))
    assert (poller.consecutive_timeouts, poller.generation) == (2, 7)
    poller.handle_failure(EndpointListError("status 410"))
    assert poller.generation is None
    poller.stop()


def test_unusable_list_is_logged_on_one_line(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        peer = FakeDiscovery()
        async with running_client(peer) as (_, updates):
            await updates.get()
            for body in (b'{"generation": 2,\n "instances": 7}', b"rubbish" * 99):
                await peer.wait_for_requests(len(peer.request_lines))
                for writer in list(peer.open_writers):
                    writer.write(http_response(200, body))
                await peer.publish(peer.entry("a", "127.0.0.1:9"))
                assert first_id(await updates.get()) == "a"

    run(test)
    messages = [record.getMessage() for record in caplog.records]
    assert messages
    assert all("\n" not in text and len(text) < 300 for text in messages)


def test_failure_series_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        poller = idle_poller()
        errors = (TimeoutError(), EndpointListError("bad\nlist"), DiscoveryUnavailableError("status 503"))
        for error in errors:
            poller.handle_failure(error)
        poller.stop()

    run(test)
    assert [record.getMessage() for record in caplog.records] == [
        "endpoint list poll of 127.0.0.1:9 failed, keeping the last known list: timed out"
    ]


@pytest.mark.parametrize(
    ("value", "seconds"),
    [(b"1.5", 1.5), (b"nan", 0), (b"inf", 0), (b"-3", 0), (b"Tue, 01 Dec 2026", 0)],
)
def test_retry_after_must_be_positive_seconds(value: bytes, seconds: float) -> None:
    assert parse_retry_after(value) == seconds


class DiscardingTransport:
    """Transport that discards all written data."""

    def write(self, data: bytes) -> None:
        pass

    def abort(self) -> None:
        pass


async def test_retry_after_does_not_affect_later_error() -> None:
    connection = DiscoveryConnection()
    connection.connection_made(cast(asyncio.Transport, DiscardingTransport()))
    response = connection.request("/", "host")
    connection.data_received(http_response(200, b"{}", "Retry-After: 5"))
    assert await response == b"{}"
    rejected = connection.request("/", "host")
    connection.data_received(http_response(503))
    with pytest.raises(DiscoveryUnavailableError) as raised:
        await rejected
    assert raised.value.retry_after == 0.0
