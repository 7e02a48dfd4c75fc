"""Discovery: watches follow each other, failures are got over, and drains reach the pool and the module."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.discovery import poller
from quota_gateway.discovery.client import DiscoveryClient
from quota_gateway.discovery.connection import parse_retry_after
from quota_gateway.discovery.endpoint_update import EndpointUpdate, read_endpoint_update
from quota_gateway.discovery.poll_schedule import (
    DEFAULT_POLL_SCHEDULE,
    MAX_PROPAGATION_DELAY,
    PollSchedule,
    poll_schedule_for,
)
from quota_gateway.discovery.poller import EndpointPoller
from quota_gateway.errors import DiscoveryUnavailableError, EndpointListError
from quota_gateway.model.endpoints import EndpointListKind, EndpointStatus
from quota_gateway.sockets.addresses import parse_address
from tests.fakes import FakeDiscovery, message, read_message
from tests.harness import GatewayHarness, request, roomy_settings, run, running


async def follow(peer: FakeDiscovery) -> tuple[DiscoveryClient, asyncio.Queue[EndpointUpdate]]:
    told: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
    discovery = DiscoveryClient(parse_address(peer.address), 5.0, told.put_nowait)
    discovery.start()
    return discovery, told


def test_the_whole_list_then_watches_over_one_connection() -> None:
    async def test() -> None:
        peer = FakeDiscovery()
        await peer.start()
        peer.entries = {"a": peer.entry("a", "127.0.0.1:9")}
        discovery, told = await follow(peer)
        first = await told.get()
        assert first.is_full and first.entries[0].address == ("127.0.0.1", 9)
        await peer.until_asked(2)
        await peer.change(peer.entry("a", "127.0.0.1:9", "DRAINING"))
        second = await told.get()
        assert (
            second.kind is EndpointListKind.DELTA
            and second.entries[0].endpoint.status is EndpointStatus.DRAINING
        )
        await peer.until_asked(3)
        assert "since=2&" in peer.asked[2] and peer.connections == 1
        discovery.stop()
        await peer.stop()

    run(test)


@pytest.mark.parametrize("way", ["broken", "busy", "refused", "rubbish", "older"])
def test_after_a_failed_watch_what_has_changed_is_asked_for(way: str) -> None:
    # a watch that waits would wait for a next change; after a refusal it would be refused again
    async def test() -> None:
        peer = FakeDiscovery()
        await peer.start()
        discovery, told = await follow(peer)
        await told.get()
        await peer.until_asked(2)
        older = b'{"generation": 0, "reset": false, "instances": []}'
        for writer in list(peer.open):
            if way in ("broken", "busy"):
                writer.transport.abort() if way == "broken" else writer.write(message(503))
                await peer.change(peer.entry("b", "127.0.0.1:9"))
            else:
                text = {
                    "refused": message(410),
                    "rubbish": message(200, b"rubbish"),
                    "older": message(200, older),
                }
                writer.write(text[way])
        listing = await told.get()
        kept = way in ("broken", "busy")
        assert listing.is_full != kept
        assert peer.asked[2].startswith("GET /v1/endpoints?since=1&timeout_ms=0 ") == kept
        await peer.until_asked(4)
        assert "timeout_ms=2000 " in peer.asked[3]
        await peer.change({"instanceId": "a", "lifecycle": "DELETED"})
        assert (await told.get()).entries[0].endpoint.status is EndpointStatus.REMOVED
        discovery.stop()
        await peer.stop()

    run(test)


def test_failed_calls_are_made_again_at_drawn_and_growing_times(monkeypatch: pytest.MonkeyPatch) -> None:
    async def waits() -> list[float]:
        slept: list[float] = []
        done = asyncio.Event()

        async def sleep(seconds: float) -> None:
            slept.append(seconds)
            if len(slept) == 9:
                done.set()
                await asyncio.Event().wait()

        async def refuse(agent: EndpointPoller) -> EndpointUpdate:
            raise EndpointListError("status 503", 3.0 if len(slept) == 7 else 0.0)

        monkeypatch.setattr("quota_gateway.discovery.poller.asyncio.sleep", sleep)
        monkeypatch.setattr(EndpointPoller, "poll", refuse)
        agent = EndpointPoller(("127.0.0.1", 9), 1.0, lambda agent, listing: None)
        await done.wait()
        agent.stop()
        return slept

    async def test() -> None:
        first, second = await waits(), await waits()
        assert first != second  # those that failed together don't come back together
        assert all(0 < early < 0.1 for early in (first[0], second[0]))
        # advice is kept to as far as news may wait, and drawn like the rest: it came to all at once
        assert first[7] != second[7] and all(0.5 <= late <= 1.0 for late in (*first[7:], *second[7:]))

    run(test)


def test_failed_calls_of_a_large_fleet_come_no_faster_than_those_of_a_small_one() -> None:
    # discovery answers so many calls a second, whoever makes them: past that each one is given up in its line
    small, large = poll_schedule_for(4, False, 2.0), poll_schedule_for(40, False, 2.0)
    assert (
        large.first_backoff == 0.75 > 3 * small.first_backoff
        and large.max_backoff == small.max_backoff == 1.0
    )
    assert poll_schedule_for(1000, False, 2.0) == large
    assert poll_schedule_for(1, False, 2.0) == DEFAULT_POLL_SCHEDULE == PollSchedule(2.0, 1.0, 2, 0.05, 1.0)


@pytest.mark.parametrize("grace", [0.5, 2.0])
def test_an_agent_that_lists_are_pushed_to_is_asked_twice_within_the_time_to_stop(grace: float) -> None:
    # it answers at no cost, and what it has at its return, or at a start, counts as told at once
    for gateways in (1, 3, 40, 200):
        pace = poll_schedule_for(gateways, True, grace)
        assert 2 * pace.answer_timeout + pace.max_backoff < grace and pace.max_timeout_factor == 1
        assert pace == poll_schedule_for(1, True, grace)


DIAL = 0.25  # seconds


class Time:
    """Stands in for asyncio in the module: its limits end when the test says so, and its waits at once."""

    def __init__(self) -> None:
        self.spent = 0.0
        self.limits: list[tuple[float, asyncio.Timeout]] = []

    def __getattr__(self, name: str) -> object:
        return getattr(asyncio, name)

    def timeout(self, seconds: float) -> asyncio.Timeout:
        if seconds == DIAL:  # a part of the call's own, and its end is not the test's to say
            return asyncio.timeout(None)
        self.limits.append((seconds, asyncio.timeout(None)))
        return self.limits[-1][1]

    async def sleep(self, seconds: float) -> None:
        self.spent += seconds

    def expire(self) -> None:
        seconds, limit = self.limits[-1]
        self.spent += seconds
        limit.reschedule(asyncio.get_running_loop().time())


class Mute(FakeDiscovery):
    """Leaves calls unanswered while it is mute, or answers them byte by byte and never to the end."""

    mute = trickles = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, _, _ = await read_message(reader)
            async with self.changed:
                self.asked.append(first)
                self.changed.notify_all()
            if self.mute:
                if self.trickles:
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\n{")
                await asyncio.Event().wait()
            if "since" not in first:
                writer.write(message(200, self.listing(True, list(self.entries.values()))))
            elif "timeout_ms=0 " in first:
                writer.write(message(200, self.listing(False, self.changes)))


@pytest.mark.parametrize("trickles", [False, True])
@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("gateways", [1, 3, 40, 200])
def test_a_silent_watch_is_opened_anew_before_what_it_missed_has_to_be_kept(
    gateways: int, pushed: bool, trickles: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # counted as told 6 s after the silence began: also where the next call has no whole answer either
    async def test() -> None:
        peer, time, told = Mute(), Time(), asyncio.Queue[EndpointUpdate]()
        await peer.start()
        peer.entries = {"a": peer.entry("a", "127.0.0.1:9")}
        peer.trickles = trickles
        with monkeypatch.context() as patch:
            patch.setattr(poller, "asyncio", time)
            patch.setattr("quota_gateway.discovery.poll_schedule.random.uniform", lambda least, most: most)
            made = DiscoveryClient(
                parse_address(peer.address),
                DIAL,
                told.put_nowait,
                schedule=poll_schedule_for(gateways, pushed, 2.0),
            )
            made.start()
            await told.get()
            await peer.until_asked(2)
            peer.mute = True
            time.expire()  # the watch
            await peer.until_asked(3)
            peer.mute = False
            await peer.change(peer.entry("a", "127.0.0.1:9", "DRAINING"))
            time.expire()  # the call after it
            assert (await told.get()).entries[0].endpoint.status is EndpointStatus.DRAINING
            assert time.spent <= MAX_PROPAGATION_DELAY
            made.stop()
        await peer.stop()

    run(test)


def test_a_list_nested_without_end_or_past_all_numbers_does_not_end_the_following() -> None:
    async def test() -> None:
        peer = FakeDiscovery()
        await peer.start()
        made, told = await follow(peer)
        await told.get()
        endless = b"[" * 200_000
        for number, wrong in enumerate((endless, b'{"generation": 1e999, "reset": true, "instances": []}')):
            await peer.until_asked(2 + 2 * number)
            for writer in list(peer.open):
                writer.write(message(200, wrong))
            assert (await told.get()).is_full
        made.stop()
        await peer.stop()

    run(test)


def test_a_gateway_whose_first_call_finds_no_room_serves_from_the_list_that_it_knows() -> None:
    class Full(FakeDiscovery):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.asked.append((await read_message(reader))[0])
            writer.write(message(503))

    async def test() -> None:
        peer, told = Full(), asyncio.Queue[EndpointUpdate]()
        await peer.start()
        made = DiscoveryClient(
            parse_address(peer.address), 5.0, told.put_nowait, 1, poll_schedule_for(40, False, 2.0)
        )
        made.start()
        await made.answered.wait()  # what the start waits for
        assert len(peer.asked) == 1 and told.empty()
        made.stop()
        await peer.stop()

    run(test)


def test_a_start_is_not_held_up_by_a_line_at_discovery() -> None:
    class Silent(FakeDiscovery):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.asked.append((await read_message(reader))[0])
            await asyncio.Event().wait()

    async def test() -> None:
        bed = GatewayHarness(1)
        bed.discovery = Silent()
        with pytest.MonkeyPatch.context() as patch:
            waits: list[float | None] = []
            timeout = asyncio.timeout

            def listen(seconds: float | None) -> asyncio.Timeout:
                waits.append(seconds)
                return timeout(seconds)

            patch.setattr("quota_gateway.gateway_process.asyncio.timeout", listen)
            await bed.start(roomy_settings(dial_timeout=40.0), 1024)
        assert 0.04 in waits and 1.0 not in waits
        client = await bed.client()
        assert (await client.ask(request(1)))[0] == 200
        await bed.process.stop(0.0, 0.0)
        for peer in (*bed.backends, bed.discovery, bed.counter):
            await peer.stop()

    run(test)


def test_a_process_starts_from_the_version_that_it_was_given() -> None:
    async def test() -> None:
        peer, told = FakeDiscovery(), asyncio.Queue[EndpointUpdate]()
        await peer.start()
        await peer.change(peer.entry("a", "127.0.0.1:9", "DRAINING"))
        made = DiscoveryClient(parse_address(peer.address), 5.0, told.put_nowait, known_generation=1)
        made.start()
        assert (await told.get()).kind is EndpointListKind.DELTA
        await peer.until_asked(2)
        assert "since=1&timeout_ms=0 " in peer.asked[0] and "since=2&timeout_ms=2000 " in peer.asked[1]
        made.stop()
        await peer.stop()

    run(test)


def test_a_call_that_had_no_answer_is_waited_for_longer_the_next_time() -> None:
    async def test() -> None:
        agent = EndpointPoller(("127.0.0.1", 9), 1.0, lambda agent, listing: None, generation=7)
        for unanswered in (1, 2):
            agent.handle_failure(TimeoutError())
            assert (agent.consecutive_timeouts, agent.generation) == (unanswered, 7)
        agent.handle_failure(DiscoveryUnavailableError("status 503"))
        assert (agent.consecutive_timeouts, agent.generation) == (2, 7)
        agent.handle_failure(EndpointListError("status 410"))
        assert agent.generation is None
        agent.stop()

    run(test)


def test_a_list_that_can_not_be_used_is_told_of_in_one_plain_line(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        peer = FakeDiscovery()
        await peer.start()
        made, told = await follow(peer)
        await told.get()
        for wrong in (b'{"generation": 2,\n "instances": 7}', b"rubbish" * 99):
            asked = len(peer.asked)
            await peer.until_asked(asked)
            for writer in list(peer.open):
                writer.write(message(200, wrong))
            await peer.change(peer.entry("a", "127.0.0.1:9"))
            assert (await told.get()).entries[0].endpoint.endpoint_id == "a"
        made.stop()
        await peer.stop()

    run(test)
    assert [r.getMessage().count("\n") for r in caplog.records] == [0] * len(caplog.records)
    assert caplog.records and all(len(r.getMessage()) < 300 for r in caplog.records)


def test_a_streak_of_failures_is_told_of_once(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        agent = EndpointPoller(("127.0.0.1", 9), 1.0, lambda agent, listing: None, generation=7)
        for error in (
            TimeoutError(),
            EndpointListError("bad\nlist"),
            DiscoveryUnavailableError("status 503"),
        ):
            agent.handle_failure(error)
        agent.stop()

    run(test)
    assert [r.getMessage() for r in caplog.records] == [
        "endpoint list poll of 127.0.0.1:9 failed, keeping the last known list: timed out"
    ]


def test_advice_that_makes_no_sense_is_not_kept_to() -> None:
    texts = (b"1.5", b"nan", b"inf", b"-3", b"Tue, 01 Dec 2026")
    assert [parse_retry_after(text) for text in texts] == [1.5, 0, 0, 0, 0]


def test_a_new_agent_takes_over_with_its_first_whole_list() -> None:
    # until then what the old one tells still counts: a drain told in between has to be kept
    async def test() -> None:
        old, new = FakeDiscovery(), FakeDiscovery()
        await old.start()
        await new.start()
        discovery, told = await follow(old)
        await told.get()
        await old.until_asked(2)
        async with new.changed:  # holds back the new one's answer
            discovery.move(parse_address(new.address))
            await old.change(old.entry("a", "127.0.0.1:9", "DRAINING"))
            assert (await told.get()).entries[0].endpoint.status is EndpointStatus.DRAINING
            new.entries = {"b": new.entry("b", "127.0.0.1:8")}
        listing = await told.get()
        assert listing.is_full and listing.entries[0].endpoint.endpoint_id == "b"
        await new.until_asked(2)
        await old.change(old.entry("c", "127.0.0.1:7"))
        await new.change(new.entry("d", "127.0.0.1:6"))
        assert (await told.get()).entries[0].endpoint.endpoint_id == "d"  # and nothing of the old one's
        discovery.stop()
        await old.stop()
        await new.stop()

    run(test)


def test_an_agent_that_can_not_be_reached_leaves_the_old_one_in_place() -> None:
    async def test() -> None:
        old, never = FakeDiscovery(), FakeDiscovery()
        await old.start()
        await never.start()
        await never.stop()
        discovery, told = await follow(old)
        await told.get()
        await old.until_asked(2)
        discovery.move(parse_address(never.address))
        discovery.move(parse_address(old.address))  # put back, as after a mistake
        await old.change(old.entry("a", "127.0.0.1:9"))
        assert (await told.get()).entries[0].endpoint.endpoint_id == "a"
        assert len(discovery.pollers) == 1 and old.connections == 1
        discovery.stop()
        await old.stop()

    run(test)


def test_an_address_that_goes_to_a_new_id_is_no_longer_the_old_one_s() -> None:
    # the old id's end may be told later: what is sent to it until then would reach, and push over, the new
    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            assert (await client.ask(request(1)))[0] == 200
            asked = len(bed.discovery.asked)
            await bed.discovery.change(bed.discovery.entry("new", bed.backends[0].address))
            await bed.discovery.until_asked(asked + 1)
            driver = bed.process.dispatcher
            assert {"new"} == set(driver.pool.endpoints) == set(driver.engine.endpoints)
            assert (await client.ask(request(2)))[0] == 200
            assert bed.backends[0].connections == 2  # none that was dialled for the old one

    run(test)


@pytest.mark.parametrize(
    "wrong",
    [
        {},
        [],
        {"generation": 1, "reset": True},
        {"generation": 1, "reset": True, "instances": [{}]},
        {"generation": 1, "reset": True, "instances": [{"instanceId": "a", "lifecycle": "ODD"}]},
        {
            "generation": 1,
            "reset": True,
            "instances": [{"instanceId": "a", "lifecycle": "SERVING", "hostPort": "nowhere"}],
        },
    ],
)
def test_a_list_out_of_form_is_told(wrong: object) -> None:
    with pytest.raises(EndpointListError):
        read_endpoint_update(wrong)


def test_nothing_is_written_to_a_backend_that_drains() -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            client = await bed.client()
            for number in range(8):
                assert (await client.ask(request(number)))[0] == 200
            draining, other = bed.backends
            asked = len(bed.discovery.asked)
            await bed.discovery.change(bed.discovery.entry("b0", draining.address, "DRAINING"))
            await bed.discovery.until_asked(asked + 1)  # the next watch: the change was taken in
            seen = len(draining.seen)
            for number in range(8, 20):
                assert (await client.ask(request(number)))[0] == 200
            assert len(draining.seen) == seen and len(other.seen) >= 12

    run(test)
