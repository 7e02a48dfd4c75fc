"""Connections to backends: a pool, one attempt at a time on each, and how every attempt ended.

An attempt is written once, on one connection, and never again by this file: whether a request may be sent
another time depends on how far this one came, and only the decision module judges that.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from quota_gateway.body_streaming import (
    HELD,
    MOST_BODY,
    READ_AT_ONCE,
    RequestBodyStream,
    ResponseHead,
    StreamSink,
)
from quota_gateway.model.outcomes import Outcome
from quota_gateway.sockets.dialing import connect_with_retry, ignore_descriptor_exhaustion

MOST_HEAD = 32 * 1024  # bytes before the body, interim answers too: a sound backend sends a hundredth of it
MOST_FRAMING = 64  # bytes of framing that each byte of a body may bring along: pieces come as small as one
STALLED = 0.5  # seconds that an answer may stand still once it has begun: what it has is ready by then
STREAM_STALLED = 10.0  # the same for a long one, which nobody can try again
STALLED_PART = 0.2  # of the attempt's time, at most, that this may be: another try must still be of use
RESTED = 0.01  # seconds unused before another request goes out: what comes behind an answer shows by then
IDLE_PART = 0.5  # of the backends' idle limit after which a connection is closed here: well before theirs
LEAST_IDLE = 0.05  # seconds that a connection may stay unused, however many kept ones turn out to be dead
IDLE_LESS, IDLE_MORE = 0.7, 1.01  # times the limit for a kept one that was dead, and for one that was not
DEAD_WITHIN = 0.02  # seconds after the write in which a dead connection breaks: an answer's cut comes later
SWEEP_EVERY = 1.0  # seconds between looks for idle connections


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, with the backend's answer if there was a whole one."""

    outcome: Outcome
    body: bytes = b""
    units: float = 0.0
    headers: bytes = b""  # header lines that tell how to read the body


class Owner(Protocol):
    """Who hears how an attempt ended, and says if one whose dial took its time is still wanted."""

    def attempt_ended(self, attempt: UpstreamAttempt, answer: AttemptResult) -> None: ...

    def may_begin(self, now: float) -> bool: ...


class UpstreamAttempt:
    """One attempt: what to write, where to, and what became of it. Its owner hears of the end just once."""

    __slots__ = (
        "endpoint_id",
        "start_stream",
        "body",
        "connection",
        "connect_task",
        "head",
        "owner",
        "index",
        "started_at",
        "timer",
        "deadline",
        "body_stream",
        "written_at",
        "send_deadline",
    )

    def __init__(
        self, backend: str, head: bytes, body: bytes, sent_at: float, until: float, place: int, owner: Owner
    ) -> None:
        self.endpoint_id, self.head, self.body = backend, head, body
        self.started_at, self.deadline, self.index = sent_at, until, place
        self.owner: Owner | None = owner
        self.body_stream: RequestBodyStream | None = None  # in the place of a body, for a long one
        self.send_deadline: float | None = (
            None  # until when it may be begun, if its connection takes its time
        )
        self.written_at: float | None = None  # when its last byte went to the kernel
        # asked to take a long answer as it comes; None: none is taken
        self.start_stream: Callable[[UpstreamAttempt, ResponseHead], StreamSink | None] | None = None
        self.connection: UpstreamConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    @property
    def ended(self) -> bool:
        return self.owner is None

    @property
    def written(self) -> bool:
        """True once any of it was handed to a connection: from then on it may run."""
        return self.connection is not None

    def end(self, answer: AttemptResult) -> None:
        """The first end counts; a dial under way is stopped, and a connection still in use is given up."""
        owner, self.owner = self.owner, None  # also parts the two: they name each other while it is out
        if owner is None:
            return
        if self.timer is not None:
            self.timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:
            self.connection.give_up(self)
        owner.attempt_ended(self, answer)

    @property
    def waiting_since(self) -> float:
        """From when its answer is waited for: a long body takes its time to go."""
        return self.started_at if self.written_at is None else self.written_at

    def extend_deadline(self, until: float, now: float, loop: asyncio.AbstractEventLoop) -> None:
        """A new end for one that is out."""
        self.deadline = until
        if self.timer is not None:
            self.timer.cancel()
        self.timer = loop.call_later(max(until - now, 0.0), self.time_out)

    def time_out(self) -> None:
        # one that still waits for its connection was never written, so it is known not to have run
        connection = self.connection
        self.end(AttemptResult(Outcome.TIMED_OUT if connection is not None else Outcome.CONNECT_FAILED))
        if connection is not None:
            # a machine that is cut off leaves its kept connections open and silent: what is written to them
            # may have run, while a dial that does not come up is known not to have
            connection.endpoint.drop_idle()


class EndpointConnections:
    """A backend as it was told: at this address, since this start. Its connections serve no other.

    An id may come back at another address, or its address go to another id: whatever was dialled before is
    the old one's, and stays with the old Line.
    """

    __slots__ = ("address", "endpoint_id", "idle", "started_at")

    def __init__(self, backend: str, address: tuple[str, int], started: float | None) -> None:
        self.endpoint_id, self.address, self.started_at = backend, address, started
        self.idle: list[UpstreamConnection] = []  # the longest idle first

    def drop_idle(self) -> None:
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.close()


class UpstreamConnection(asyncio.BufferedProtocol):
    """A kept-alive connection that carries one attempt at a time."""

    def __init__(self, pool: ConnectionPool, line: EndpointConnections) -> None:
        self.pool, self.endpoint = pool, line
        self.transport: asyncio.Transport | None = None
        self.descriptor = -1
        self.attempt: UpstreamAttempt | None = None
        self.stall: asyncio.TimerHandle | None = None
        self.idle_since = self.rested = 0.0  # since when it is unused, and how long it was before
        self.unsent = False  # the kernel has not yet taken all that was written
        self.pumping = False
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.start_answer()

    def start_answer(self) -> None:
        self.taken = self.status = 0
        self.complete = self.keep = self.surplus = self.garbled = self.begun = self.in_body = False
        self.sink: StreamSink | None = None  # where a long answer goes
        self.paused = False
        self.start_message()

    def start_message(self) -> None:
        self.parts: list[bytes] = []
        self.size, self.units, self.headers, self.rejected = 0, 0.0, b"", False
        self.length: int | None = None
        self.chunked = self.closes = False
        self.by_close = False  # its end is the connection's, which it has said: else a cut would pass for it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        # with no room above the kernel's buffer, pause_writing tells that the request is not written whole
        self.transport.set_write_buffer_limits(high=0)
        self.descriptor = self.transport.get_extra_info("socket").fileno()
        self.pool.opened(self)

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False
        if self.attempt is not None:
            self.pump(self.attempt)

    def send_attempt(self, attempt: UpstreamAttempt, wait: float) -> None:
        assert self.transport is not None
        self.attempt, attempt.connection = attempt, self
        self.start_answer()
        framing = b""
        if attempt.body_stream is not None:
            framing, wait = attempt.body_stream.framing, attempt.body_stream.time_budget
        self.transport.write(b"%b%bX-Budget: %.3f\r\n\r\n%b" % (attempt.head, framing, wait, attempt.body))
        if attempt.body_stream is not None:
            attempt.body_stream.on_data = lambda: self.pump(attempt)
        self.pump(attempt)

    def pump(self, attempt: UpstreamAttempt) -> None:
        """Writes what has come of a long body as far as the kernel takes it; notes when all has gone."""
        done = attempt.written_at is not None or self.attempt is not attempt
        if self.pumping or done or self.transport is None:
            return
        self.pumping = True
        upload = attempt.body_stream
        while upload is not None and not self.unsent and (piece := upload.next_chunk()):
            self.transport.write(piece)
        if (
            upload is not None
            and upload.is_complete
            and not (self.unsent or upload.chunks)
            and upload.trailer
        ):
            self.transport.write(upload.trailer)
        self.pumping = False
        if not self.unsent and (upload is None or upload.is_complete and not upload.chunks):
            attempt.written_at = self.pool.clock()
            self.pool.attempts_written += 1

    def give_up(self, attempt: UpstreamAttempt) -> None:
        """Closing is how a backend is told that nobody waits for the attempt any more."""
        if self.attempt is attempt:
            self.attempt = self.sink = None
            self.close()

    def pause(self) -> None:
        """For the client of a long answer: nothing more is read while it does not read."""
        if self.sink is not None and not self.paused and self.transport is not None:
            self.paused = True
            self.transport.pause_reading()
            self.rest_stall()

    def resume(self) -> None:
        if self.paused and self.transport is not None:
            self.paused = False
            self.transport.resume_reading()
            if self.attempt is not None:
                self.watch_stall(self.attempt)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def is_quiet(self) -> bool:
        """True if nothing waits to be read: no surplus that would pass for the next answer, and no end."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLIN)
        return not poll.poll(0)

    # what the parser tells

    def on_message_begin(self) -> None:
        self.begun = True
        if self.complete:
            self.surplus = True
        else:
            self.start_message()  # an interim answer ahead has left nothing behind

    def on_header(self, name: bytes, value: bytes) -> None:
        # the answer is whole: what follows it, a second one maybe, belongs to nobody; trailers tell nothing
        if self.complete or self.in_body:
            return
        name, value = name.lower(), value.strip()  # the parser leaves the space behind a value in place
        if name == b"x-rejected":
            self.rejected = value == b"1"
        elif name == b"billed-units":
            self.units = read_units(value)
        elif name == b"content-length":
            # one that is declared too long is not waited for
            self.garbled = self.garbled or not value.isdigit() or int(value) > MOST_BODY
            self.length = int(value) if value.isdigit() else None
        elif name == b"transfer-encoding":
            self.chunked = value.lower().endswith(b"chunked")
        elif name == b"connection":
            self.closes = value.lower() == b"close"
        elif name in (b"content-type", b"content-encoding"):
            self.headers += b"%b: %b\r\n" % (name.title(), value)

    def on_headers_complete(self) -> None:
        if self.complete or self.parser is None or is_interim(self.parser.get_status_code()):
            return
        self.in_body, self.status = True, self.parser.get_status_code()
        self.by_close = self.length is None and self.closes and not self.chunked
        if self.length is not None and self.length > HELD:
            self.begin_stream()

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        self.size += len(body)
        if self.sink is not None:
            if self.size <= MOST_BODY:
                self.sink.write_body(body)
        elif self.size <= HELD or self.is_long():
            self.parts.append(body)
            if self.is_long():
                self.begin_stream()

    def is_long(self) -> bool:
        """True for an answer that has grown too long to be gathered; an error is of no use to anybody."""
        return self.size > HELD and self.status == 200 and not self.garbled

    def begin_stream(self) -> None:
        """Asks for somebody to take the answer as it comes; with nobody it ends as one too long."""
        attempt = self.attempt
        if (
            attempt is not None
            and attempt.start_stream is not None
            and self.status == 200
            and not self.garbled
        ):
            self.sink = attempt.start_stream(attempt, ResponseHead(self.length, self.headers, self.units))
        if self.sink is None:
            self.garbled = True
            return
        parts, self.parts = self.parts, []
        for part in parts:
            self.sink.write_body(part)

    def on_message_complete(self) -> None:
        if self.complete or self.parser is None:
            return
        self.begun = False
        status = self.parser.get_status_code()
        if not is_interim(status):  # an interim answer goes before the real one
            self.complete, self.status = True, status
            self.keep = self.parser.should_keep_alive()  # the parser knows only while in this call

    # what the transport tells

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.pool.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(memoryview(self.pool.buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:
            return self.close()  # nothing was asked, or more came than belonged to the answer
        self.taken += len(data)
        self.parse(data)
        if self.attempt is not attempt:
            return  # its client has gone while it was passed on
        if self.complete:
            self.finish(attempt)
        elif self.is_spoilt():
            # a backend that answers at all may have run the request, however odd the answer is
            attempt.end(AttemptResult(Outcome.BROKEN_RESPONSE))
        elif self.begun and not self.paused:
            self.watch_stall(attempt)

    def watch_stall(self, attempt: UpstreamAttempt) -> None:
        """An answer that comes in pieces is waited for as long as they come."""
        patience = min(STALLED, STALLED_PART * (attempt.deadline - attempt.waiting_since))
        self.rest_stall()
        self.stall = self.pool.loop.call_later(
            STREAM_STALLED if self.sink is not None else max(patience, 0.0), self.has_stalled, attempt
        )

    def rest_stall(self) -> None:
        if self.stall is not None:
            self.stall.cancel()
            self.stall = None

    def parse(self, data: bytes) -> None:
        while self.parser is not None and data:
            try:
                return self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                # a 101 that nobody asked for: the real answer comes behind it, for a parser of its own
                self.parser, data = httptools.HttpResponseParser(self), data[upgrade.args[0] :]
            except httptools.HttpParserError:
                self.garbled = True
                return

    def is_spoilt(self) -> bool:
        most = MOST_HEAD + 2 * HELD + MOST_FRAMING * self.size if self.in_body else MOST_HEAD
        return self.garbled or self.taken > most or self.size > (HELD if self.sink is None else MOST_BODY)

    def has_stalled(self, attempt: UpstreamAttempt) -> None:
        # half an answer whose rest does not come is spoilt; while it is waited for, another try could help
        self.stall = None
        if self.attempt is attempt:
            attempt.end(AttemptResult(Outcome.BROKEN_RESPONSE))

    def finish(self, attempt: UpstreamAttempt) -> None:
        self.rest_stall()
        whole = self.sink is not None or self.size <= HELD
        parts, self.parts = self.parts, []
        self.sink = None
        # the connection is free before anybody hears of the answer: the next attempt may want it
        if self.paused and self.transport is not None:
            self.paused = False
            self.transport.resume_reading()
        sound = whole and attempt.written_at is not None and not (self.surplus or self.garbled)
        if sound and self.keep:
            self.attempt = attempt.connection = None
            self.pool.record_live_connection(self.rested)
            self.pool.release(self)
        if not whole:
            attempt.end(AttemptResult(Outcome.BROKEN_RESPONSE))
        elif self.status == 200:
            attempt.end(AttemptResult(Outcome.SUCCESS, b"".join(parts), self.units, self.headers))
        elif self.status in (503, 504) and self.rejected:
            attempt.end(AttemptResult(Outcome.REJECTED))
        else:
            attempt.end(AttemptResult(Outcome.ERROR))

    def eof_received(self) -> bool:
        sound = self.in_body and self.by_close and not (self.complete or self.garbled)
        if self.attempt is not None and sound:
            self.complete = True  # an answer without a length ends with its connection
            self.finish(self.attempt)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.closed(self)
        attempt, self.attempt = self.attempt, None
        self.parser = self.transport = None  # the parser knows its connection: parted, both are freed at once
        self.rest_stall()
        if attempt is not None:
            if self.rested and not self.taken and self.pool.clock() - attempt.started_at < DEAD_WITHIN:
                self.pool.record_stale_connection(self.rested)
            # an unsent rest proves that the backend never had the whole; a write that went through proves
            # nothing, also not on a kept connection that the backend had closed by then
            attempt.end(
                AttemptResult(
                    Outcome.CONNECT_FAILED if attempt.written_at is None else Outcome.BROKEN_RESPONSE
                )
            )


def is_interim(status: int) -> bool:
    return 100 <= status < 200


def read_units(value: bytes) -> float:
    try:
        units = float(value)
    except ValueError:
        return 0.0
    return units if 0.0 < units < 1e6 else 0.0


class ConnectionPool:
    """All connections to backends, at most `most` of them with the dials under way."""

    def __init__(self, clock: Callable[[], float], dial_timeout: float, keepalive: float, most: int) -> None:
        self.clock, self.connect_timeout, self.max_connections = clock, dial_timeout, most
        self.capacity_fraction = 1.0  # of these that this process may have: two of them at once share all
        self.idle_limit = self.max_idle_time = keepalive * IDLE_PART
        self.loop = asyncio.get_running_loop()
        self.buffer = bytearray(READ_AT_ONCE)
        self.on_descriptor_exhaustion = ignore_descriptor_exhaustion  # called where no descriptor is left
        self.attempts_written = 0  # attempts whose last byte the kernel has taken
        self.endpoints: dict[str, EndpointConnections] = {}
        self.connections: set[UpstreamConnection] = set()
        self.connecting: dict[UpstreamAttempt, EndpointConnections] = {}
        self.sweeper = self.loop.call_later(SWEEP_EVERY, self.sweep)

    def set_address(self, backend: str, address: tuple[str, int], started: float | None = None) -> None:
        """Where a backend listens; connections to where it was, or to before its restart, are of no use."""
        line = self.endpoints.get(backend)
        if line is None or (line.address, line.started_at) != (address, started):
            self.retire(backend)
            self.endpoints[backend] = EndpointConnections(backend, address, started)

    def endpoints_at(self, address: tuple[str, int]) -> list[str]:
        """The backends that were told to listen there."""
        return [b for b, line in self.endpoints.items() if line.address == address]

    def retire(self, backend: str) -> None:
        """For one that drains or is gone: nothing is written to it from now on, not even what is dialling.

        Attempts that are out go on to their ends, and their connections are closed after them.
        """
        line = self.endpoints.pop(backend, None)
        if line is not None:
            line.drop_idle()
            for attempt in [a for a, towards in self.connecting.items() if towards is line]:
                attempt.end(AttemptResult(Outcome.CONNECT_FAILED))

    def close_idle(self, backend: str) -> None:
        """Parts with what was dialled so far, for a backend that stays at its address."""
        line = self.endpoints.get(backend)
        if line is not None:
            self.retire(backend)
            self.endpoints[backend] = EndpointConnections(backend, line.address, line.started_at)

    def retain_only(self, known: Iterable[str]) -> None:
        """After a whole list: what it does not name is gone."""
        for backend in self.endpoints.keys() - set(known):
            self.retire(backend)

    def start(self, attempt: UpstreamAttempt) -> None:
        now = self.clock()
        attempt.timer = self.loop.call_later(max(attempt.deadline - now, 0.0), attempt.time_out)
        line = self.endpoints.get(attempt.endpoint_id)
        if line is None:
            return attempt.end(AttemptResult(Outcome.CONNECT_FAILED))
        connection = self.acquire_idle(line, now)
        if connection is not None:
            return connection.send_attempt(attempt, max(attempt.deadline - now, 0.001))
        if not self.has_room():
            return attempt.end(AttemptResult(Outcome.CONNECT_FAILED))
        self.connecting[attempt] = line
        attempt.connect_task = self.loop.create_task(self.connect(attempt, line))
        return None

    def acquire_idle(self, line: EndpointConnections, now: float) -> UpstreamConnection | None:
        """The last used of those that have rested; what brought more than its answer is closed instead."""
        for place in range(len(line.idle) - 1, -1, -1):
            connection = line.idle[place]
            if now - connection.idle_since < RESTED:
                continue
            del line.idle[place]
            fresh = now - connection.idle_since < self.idle_limit
            if fresh and connection.usable() and connection.is_quiet():
                connection.rested = now - connection.idle_since
                return connection
            connection.close()
        return None

    def record_stale_connection(self, rested: float) -> None:
        """Kept connections that die unannounced cost a request each: they are kept for less long then."""
        self.idle_limit = max(min(self.idle_limit, rested) * IDLE_LESS, LEAST_IDLE)

    def record_live_connection(self, rested: float) -> None:
        if rested > self.idle_limit / 2:
            self.idle_limit = min(self.idle_limit * IDLE_MORE, self.max_idle_time)

    def has_room(self) -> bool:
        """True if one more may be dialled; an idle connection makes way where the bound is reached."""
        if len(self.connections) + len(self.connecting) < self.capacity_fraction * self.max_connections:
            return True
        oldest = min(
            (line.idle[0] for line in self.endpoints.values() if line.idle),
            default=None,
            key=lambda c: c.idle_since,
        )
        if oldest is None:
            return False
        oldest.endpoint.idle.remove(oldest)
        oldest.close()
        return True

    async def connect(self, attempt: UpstreamAttempt, line: EndpointConnections) -> None:
        made, up = UpstreamConnection(self, line), False
        try:
            async with asyncio.timeout(self.connect_timeout):
                await connect_with_retry(lambda: made, line.address, self.on_descriptor_exhaustion)
            up = made.usable() and (attempt.send_deadline is None or self.clock() < attempt.send_deadline)
        except (OSError, TimeoutError):  # refused, unreachable, or not up in time
            pass
        finally:
            self.connecting.pop(attempt, None)
            attempt.connect_task = None
            if not up or attempt.ended:
                made.close()  # also where the attempt ended just as its connection came up
        owner = attempt.owner
        if up and owner is not None and not owner.may_begin(self.clock()):
            made.close()
            attempt.end(AttemptResult(Outcome.NOT_SENT))
        elif up and owner is not None:
            made.send_attempt(attempt, max(attempt.deadline - self.clock(), 0.001))
        else:
            attempt.end(AttemptResult(Outcome.CONNECT_FAILED))

    def opened(self, connection: UpstreamConnection) -> None:
        self.connections.add(connection)

    def closed(self, connection: UpstreamConnection) -> None:
        self.connections.discard(connection)
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)

    def release(self, connection: UpstreamConnection) -> None:
        line = connection.endpoint
        if self.endpoints.get(line.endpoint_id) is not line:
            return connection.close()
        connection.idle_since = self.clock()
        return line.idle.append(connection)

    def sweep(self) -> None:
        """Closes what has been idle for long; the longest idle stand first in their line."""
        before = self.clock() - self.idle_limit
        for line in self.endpoints.values():
            while line.idle and line.idle[0].idle_since < before:
                line.idle.pop(0).close()
        self.sweeper = self.loop.call_later(SWEEP_EVERY, self.sweep)

    def close(self) -> None:
        self.sweeper.cancel()
        for connection in list(self.connections):
            connection.close()
