"""Discovery: the whole list once, then one watch after the other, over one connection."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import httptools

from quota_gateway.configuration.settings_reader import STATUSES
from quota_gateway.errors import DiscoveryUnavailableError, EndpointListError
from quota_gateway.model.endpoints import Endpoint, EndpointListKind, EndpointStatus
from quota_gateway.sockets.dialing import connect_with_retry, ignore_descriptor_exhaustion

TOLD_WITHIN = 6.0  # seconds after discovery has a change and can be reached from which it counts as told
PUSHED_WAIT, ASKED_WAIT = 1.0, 2.0  # seconds of a watch: one that has fallen silent shows only after it
ASKED_WITHIN = 1.0  # seconds past the wait that an answer may take, the dial included
PUSHED_PART = 0.375  # the same for an agent that lists are pushed to, as part of the time to stop sending
MOST_PATIENCE = 2  # times that, after calls for lists without an answer: each gave up its place in a line
BUSY = (429, 503)  # statuses of an agent short of room, which say nothing of what was asked for
SLOT = 0.05  # seconds before a failed call is made again, for each gateway that may have failed with it
MOST_FIRST = 0.75  # seconds that this may be after a first failure: it may be a watch that fell silent
PUSHED_AGAIN = 0.125  # part of that time before a failed call to such an agent is made again, at most
LEAST_PART = 0.5  # of these that is waited at least: the rest is drawn, so that a herd does not stay one
MOST_WORDS = 200  # characters of a reason in the log: it may quote what came
MOST_LIST = 4 * 1024 * 1024  # bytes: a fleet of thousands fits

log = logging.getLogger("quota_gateway")


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    endpoint: Endpoint
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    kind: EndpointListKind
    generation: int
    entries: tuple[EndpointEntry, ...]

    @property
    def is_full(self) -> bool:
        return self.kind is not EndpointListKind.DELTA


def read_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def read_endpoint_entry(entry: dict[str, Any]) -> EndpointEntry:
    started = float(entry.get("startedAtMs") or 0.0) / 1000.0
    status = STATUSES[entry["lifecycle"]]
    backend = Endpoint(
        endpoint_id=str(entry["instanceId"]),
        zone=str(entry.get("zone", "")),
        machine_type=str(entry.get("machineType", "")),
        cell=int(entry.get("cell", 0)),
        status=status,
        weight=float(entry.get("weight", 1.0)),
        started_at=started or None,
    )
    host_port = entry.get("hostPort")
    gone = status is EndpointStatus.REMOVED and not host_port  # nothing is dialled there any more
    return EndpointEntry(backend, ("", 0) if gone else read_address(str(host_port)))


def read_endpoint_update(loaded: Any, kind: EndpointListKind | None = None) -> EndpointUpdate:
    """A list in discovery's form; BadList says what is wrong with it."""
    try:
        entries = tuple(read_endpoint_entry(e) for e in loaded["instances"])
        told = kind or (EndpointListKind.FULL if loaded["reset"] else EndpointListKind.DELTA)
        return EndpointUpdate(told, int(loaded["generation"]), entries)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise EndpointListError(f"{type(error).__name__}: {error}") from error


def read_seconds(value: bytes) -> float:
    """A Retry-After in seconds; dates are not kept to."""
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    return seconds if 0.0 < seconds < math.inf else 0.0


@dataclass(frozen=True, slots=True)
class PollSchedule:
    """How a list is followed, in seconds, but for the number of times that patience may grow to."""

    wait: float  # of a watch
    answer_timeout: float  # past its wait in which a call has to be answered, from its dial on
    max_timeout_factor: int  # times that which is waited at most, after calls without an answer
    first_backoff: float  # before a failed call is made again
    max_backoff: float  # the same after many failures, and whatever a Retry-After says

    @property
    def propagation_bound(self) -> float:
        """Seconds until a change is known at the latest, once discovery has it and answers calls in time.

        The call that is out then may be lost, and may have begun just before: as a watch, or as one that is
        waited for the longest. Then comes the longest pause, and the next call takes as long as it may.
        """
        longest = self.max_timeout_factor * self.answer_timeout
        return max(self.wait + self.answer_timeout, longest) + self.max_backoff + longest

    def pause(self, back_off: float, advised: float) -> float:
        """Seconds before the next call after a failure: drawn, and no more than the bound on news allows."""
        until = min(max(back_off, advised / LEAST_PART), self.max_backoff)
        return until * random.uniform(LEAST_PART, 1.0)


def poll_schedule_for(gateways: int, pushed: bool, grace: float) -> PollSchedule:
    """By what counts as told: a gateway has this grace from then on to stop sending.

    An agent that lists are pushed to answers at no cost, and what it has counts at once: two calls have to
    fit into the grace. Discovery itself answers so many calls a second, whoever makes them: waits that grow
    with the fleet and with each failure leave it room. But what it has counts as told after a time that no
    refusal, silence or advice puts off: the longest pause is what a lost watch and one more call leave.
    """
    if pushed:
        grace = min(grace, TOLD_WITHIN - PUSHED_WAIT)
        most = PUSHED_AGAIN * grace
        return PollSchedule(PUSHED_WAIT, PUSHED_PART * grace, 1, min(SLOT, most), most)
    longest = MOST_PATIENCE * ASKED_WITHIN
    most = TOLD_WITHIN - max(ASKED_WAIT + ASKED_WITHIN, longest) - longest
    return PollSchedule(ASKED_WAIT, ASKED_WITHIN, MOST_PATIENCE, min(SLOT * gateways, MOST_FIRST, most), most)


class DiscoveryConnection(asyncio.Protocol):
    """One connection to the agent; a call's answer, or its end, resolves the call's future."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[bytes] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.keep = False
        self.retry_after = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases

    def ask(self, target: str, host: str) -> asyncio.Future[bytes]:
        assert self.transport is not None
        self.body.clear()
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        return self.answer

    def fail(self, why: EndpointListError) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(why)
        if self.transport is not None:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self.retry_after = read_seconds(value)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if self.answer is None or self.answer.done():
            return
        self.keep = self.parser.should_keep_alive()  # the parser knows only while in this call
        status = self.parser.get_status_code()
        if status == 200:
            self.answer.set_result(bytes(self.body))
        else:
            kind = DiscoveryUnavailableError if status in BUSY else EndpointListError
            self.answer.set_exception(kind(f"status {status}", self.retry_after))

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail(EndpointListError(str(error)))
        if len(self.body) > MOST_LIST:
            self.fail(EndpointListError("an oversized list"))

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail(DiscoveryUnavailableError("the connection ended"))


LONE = poll_schedule_for(1, False, 2.0)


class EndpointPoller:
    """Follows the list at one address until it is stopped, and tells every answer in order."""

    def __init__(
        self,
        address: tuple[str, int],
        dial_timeout: float,
        told: Callable[[EndpointPoller, EndpointUpdate], None],
        generation: int | None = None,
        pace: PollSchedule = LONE,
        refused: Callable[[], None] | None = None,
        short: Callable[[], None] = ignore_descriptor_exhaustion,
    ) -> None:
        self.address, self.connect_timeout, self.on_update = address, dial_timeout, told
        self.schedule, self.on_unavailable, self.on_descriptor_exhaustion = pace, refused, short
        self.host = f"{address[0]}:{address[1]}"
        self.connection: DiscoveryConnection | None = None
        self.generation = generation  # of the list that is known; None: the whole list is needed
        self.next_wait = pace.wait if generation is None else 0.0  # of the next watch
        self.unanswered = 0  # calls without an answer, one after the other
        self.failure_logged = False  # of the calls that have failed since the last list
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        back_off = self.schedule.first_backoff
        while True:
            try:
                listing = await self.call()
            except (OSError, TimeoutError, ValueError, EndpointListError) as error:
                self.drop()
                self.failed(error)
                advised = error.retry_after if isinstance(error, EndpointListError) else 0.0
                await asyncio.sleep(self.schedule.pause(back_off, advised))
                back_off = min(2 * back_off, self.schedule.max_backoff)
                continue
            back_off, self.next_wait, self.unanswered = self.schedule.first_backoff, self.schedule.wait, 0
            self.failure_logged = False
            if not listing.is_full and self.generation is not None and listing.generation < self.generation:
                self.generation = None  # discovery counts anew: its changes say nothing of what was before
                continue
            self.generation = listing.generation
            try:
                self.on_update(self, listing)
            except Exception:  # one list that goes wrong must not end the following of all later ones
                log.exception("a list from discovery went wrong")

    def failed(self, error: Exception) -> None:
        """How the next call is to be made after one that failed."""
        waited, self.next_wait = (
            self.next_wait,
            0.0,
        )  # a silent agent is noticed sooner by a call that does not wait
        if not self.failure_logged:
            self.failure_logged = True
            why = " ".join(str(error).split())[:MOST_WORDS] or "no answer in time"
            log.warning("no list from discovery at %s, the one at hand stays: %s", self.host, why)
        if isinstance(error, DiscoveryUnavailableError) and self.on_unavailable is not None:
            self.on_unavailable()
        if isinstance(error, TimeoutError):
            self.unanswered += not waited  # a watch without an answer is a broken one, no line to stand in
        elif isinstance(error, EndpointListError | ValueError) and not isinstance(
            error, DiscoveryUnavailableError
        ):
            self.generation = None  # asked the same way again it may say the same again

    async def call(self) -> EndpointUpdate:
        if self.generation is None:
            target, wait = "/v1/endpoints", 0.0
        else:
            wait = self.next_wait
            target = f"/v1/endpoints?since={self.generation}&timeout_ms={round(1000 * wait)}"
        patience = self.schedule.answer_timeout * min(1 + self.unanswered, self.schedule.max_timeout_factor)
        async with asyncio.timeout(wait + patience):
            connection = self.connection or await self.connect()
            body = await connection.ask(target, self.host)
        if not connection.keep:
            self.drop()
        try:
            return read_endpoint_update(json.loads(body))
        except RecursionError as error:
            raise EndpointListError("a list nested without end") from error

    async def connect(self) -> DiscoveryConnection:
        async with asyncio.timeout(self.connect_timeout):
            self.connection = await connect_with_retry(
                DiscoveryConnection, self.address, self.on_descriptor_exhaustion
            )
        return self.connection

    def drop(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def stop(self) -> None:
        self.task.cancel()
        self.drop()


class DiscoveryClient:
    """The list as told by one agent after another: an old one serves until the new one has told it whole."""

    def __init__(
        self,
        address: tuple[str, int],
        dial_timeout: float,
        told: Callable[[EndpointUpdate], None],
        known: int | None = None,
        pace: PollSchedule = LONE,
        short: Callable[[], None] = ignore_descriptor_exhaustion,
    ) -> None:
        self.address, self.connect_timeout, self.on_update = address, dial_timeout, told
        self.schedule, self.on_descriptor_exhaustion = pace, short
        self.known_generation = (
            known  # the version of the list that this gateway starts with, for the first agent
        )
        # set once discovery has answered at all, be it that it has no room: it won't tell more any sooner
        self.answered = asyncio.Event()
        self.pollers: list[
            EndpointPoller
        ] = []  # the one that is believed, and behind it the one that is to follow it

    def start(self) -> None:
        known, self.known_generation = self.known_generation, None
        self.pollers.append(
            EndpointPoller(
                self.address,
                self.connect_timeout,
                self.poller_updated,
                known,
                self.schedule,
                self.answered.set,
                self.on_descriptor_exhaustion,
            )
        )

    def move(self, address: tuple[str, int]) -> None:
        self.address = address
        for overtaken in self.pollers[1:]:
            overtaken.stop()
        del self.pollers[1:]
        if not self.pollers or self.pollers[0].address != address:
            self.start()

    def poller_updated(self, agent: EndpointPoller, listing: EndpointUpdate) -> None:
        for old in self.pollers[: self.pollers.index(agent)]:
            old.stop()  # what it would still tell is older
            self.pollers.remove(old)
        self.answered.set()
        self.on_update(listing)

    def stop(self) -> None:
        for agent in self.pollers:
            agent.stop()
