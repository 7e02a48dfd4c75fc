"""The HTTP server side: accepts clients, reads their requests, and writes each its answer in order."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections import deque
from collections.abc import Callable
from operator import attrgetter
from typing import cast

import httptools

from quota_gateway.body_streaming import HELD, MOST_BODY, READ_AT_ONCE, RequestBodyStream
from quota_gateway.dispatch.client_request import ClientRequest
from quota_gateway.dispatch.dispatcher import RequestDispatcher
from quota_gateway.downstream.disconnect_monitor import DisconnectMonitor
from quota_gateway.downstream.request_parser import RequestParser
from quota_gateway.downstream.response_writer import ResponseWriter
from quota_gateway.errors import InvalidRequestError
from quota_gateway.model.settings import Settings
from quota_gateway.sockets.dialing import AGAIN, LACKING

MOST_HEAD = 32 * 1024  # bytes of request line and headers: a generous browser sends a quarter of it
MOST_PIPELINED = 16  # requests under way on one connection: further ones stay unread
PIECE = 8192  # bytes given to the parser at a time: so many small requests at most go past that bound
SETTLED = 0.1  # seconds unused from which a connection may make way: a new one brings its request at once
READ_WITHIN = 2.5  # seconds for a head to come whole, and for a new connection to send anything at all
BODY_STALLED = 2.0  # seconds that a body may stand still which has not come far
LONG_STALLED = 6.0  # the same for one of which much has come
LEAST_RATE = 16 * 1024  # bytes a second that a body comes with at least, until much of it has come
IDLE_LIMIT = 10.0  # seconds unused after which a connection is closed
IDLE_LIMIT_FULL, FULL_FROM = 2.1, 0.5  # the same from this part of the connections there may be
UNREAD_LIMIT = 10.0  # seconds in which a client that has answers to read must read some
SWEEP_EVERY = 0.1  # seconds between looks for those whose time is up
GONE_AFTER = 0.03  # seconds after a client's end of sending in which an attempt may begin: one that only
# ended its sending is served if that takes no longer than a dial; 0.1 s are allowed, on a busy core too
STILL_SENT = 0.5  # seconds of a drain in which the front still sends connections, and a little
MOST_ERRORS = 4  # requests out of form on one connection, after which it is closed
ERROR_PAUSE = 0.1  # seconds after one in which no more is read: each costs as much work as a request
LINGER = 1.0  # seconds for a peer to read an error answer before its connection goes
LINGER_SENDING = 4.0  # the same for one that is still sending a long body, and may not look until then
MAKE_WAY = 16  # connections at most that make way at one look: the look costs more than they do
LEAST_CLIENTS = 8  # connections that clients may have at least, however short descriptors are
ACCEPTS = 64  # connections taken in at one go, so that those at hand get their turn

SINGLE = frozenset(
    (
        b"x-call-id",
        b"x-call-class",
        b"plan",
        b"x-budget",
        b"idempotency-key",
        b"quota-info",
        b"x-again",
        b"content-length",
        b"host",
    )
)

TOO_LONG = "the body is over 32 MiB"

log = logging.getLogger("quota_gateway")


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection: requests in, answers out in the same order."""

    def __init__(self, front: ClientListener) -> None:
        self.listener = front
        self.transport: asyncio.Transport | None = None
        self.exchanges: deque[ResponseWriter] = deque()
        self.descriptor = -1
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.idle_since = self.begun = front.clock()  # without a request; the one half read came
        self.heard_at = self.body_since = self.begun  # when something was last read; when a head was whole
        self.version = "1.1"
        self.expects = False  # the client waits for a word before it sends its body
        self.body_stream: RequestBodyStream | None = None  # of the long body that is coming
        self.streaming_request: ResponseWriter | None = None  # and its request
        self.sent = 0  # bytes that a stuck client has left unread
        self.received = self.ended_at = self.stuck_since = 0.0
        self.errors = 0
        self.rest: asyncio.TimerHandle | None = None  # until when nothing more is read, after an error
        self.going: asyncio.TimerHandle | None = None  # until when its client counts as there, after its end
        self.unread = b""
        self.used = False  # a request was begun on it: empty lines are none
        self.paused = self.ended = self.closing = self.stuck = self.parsing = False
        self.gone = False  # its client has ended its sending: nothing that is read from now on is sent on
        self.in_request, self.in_head, self.head_size = False, False, 0
        self.start_request()

    def start_request(self) -> None:
        self.target, self.body_size = b"", 0
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.bad: InvalidRequestError | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.descriptor = self.transport.get_extra_info("socket").fileno()
        self.listener.connections.add(self)

    # what the parser tells

    def on_message_begin(self) -> None:
        self.start_request()
        if self.used:  # a new connection's time runs from its start
            self.begun = self.received
        self.used = True
        self.in_request = self.in_head = True
        self.head_size = 0  # pieces end in the midst of many heads: each has the whole bound

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            return  # trailers tell nothing
        name = name.lower()
        if name in SINGLE and name in self.headers:
            self.bad = InvalidRequestError(400, f"{name.decode()} stands twice")
        self.headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        self.in_head = False
        self.body_since = self.received
        if self.parser is None or self.ended:
            return
        self.version = self.parser.get_http_version()
        text = self.headers.get(b"content-length", b"")
        length = int(text) if text.isdigit() else 0
        self.expects = b"expect" in self.headers and self.version != "1.0"
        if length > MOST_BODY:
            self.bad = InvalidRequestError(413, TOO_LONG)
        elif length > HELD:
            self.begin_upload(length)
        self.invite()

    def invite(self) -> None:
        """The word to send a body, once the answers before it have gone."""
        first = not self.exchanges or self.exchanges[0] is self.streaming_request
        if self.expects and first and self.bad is None and not self.ended and self.transport is not None:
            self.expects = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def begin_upload(self, length: int | None) -> None:
        """A body too long to be gathered: its request is taken as it is, and the rest goes on as it comes."""
        if self.bad is not None or self.parser is None:
            return
        if self.gone:
            self.bad = InvalidRequestError(429, "its client has ended its sending")
            return
        try:
            call = self.read_call(b"", True, length)
        except InvalidRequestError as error:
            self.bad = error
            return
        exchange = self.streaming_request = ResponseWriter(self, False)
        self.exchanges.append(exchange)
        upload = self.body_stream = call.body_stream
        assert upload is not None
        upload.on_capacity = self.have_room
        for piece in self.body:
            upload.feed(piece)
        self.body = []
        exchange.number = self.listener.dispatcher.submit(call, exchange)

    def read_call(self, body: bytes, long: bool = False, length: int | None = None) -> ClientRequest:
        assert self.parser is not None
        method, path = self.parser.get_method(), self.target.partition(b"?")[0]
        if path != b"/api":
            raise InvalidRequestError(404, "no such path")
        if method not in (b"GET", b"POST"):
            raise InvalidRequestError(405, "only GET and POST", b"Allow: GET, POST\r\n")
        call = self.listener.request_parser.read(
            self.received, method, self.target, self.headers, body, long, length
        )
        if self.listener.dispatcher.is_call_open(call.call_id):  # an answer to the one would end the other
            raise InvalidRequestError(409, "a request with this X-Call-Id is open")
        return call

    def have_room(self) -> None:
        """The backend has taken some of a long body."""
        if not self.parsing:
            self.read_on()

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        self.expects = False  # it did not wait
        if self.body_size > MOST_BODY:
            self.bad = InvalidRequestError(413, TOO_LONG)
        elif self.body_stream is not None:
            self.body_stream.feed(body)
        elif self.bad is None:
            self.body.append(body)
            if self.body_size > HELD:
                self.begin_upload(None)

    def on_message_complete(self) -> None:
        self.in_request = False
        upload, self.body_stream = self.body_stream, None
        exchange, self.streaming_request = self.streaming_request, None
        if upload is not None and exchange is not None:
            if exchange.text is None:  # not refused meanwhile, in which case the connection ends
                exchange.keep = not self.ended and self.keeps()
                self.ended = self.ended or not exchange.keep
            self.listener.dispatcher.request_body_received(exchange.number, self.received)
            return
        if self.ended or self.parser is None:
            return
        keep = self.keeps()
        exchange = ResponseWriter(self, keep)
        self.exchanges.append(exchange)
        self.ended = not keep  # nothing after it is read
        try:
            if self.bad is not None:
                raise self.bad
            self.route(exchange)
        except InvalidRequestError as error:
            self.refuse(exchange, error)

    def keeps(self) -> bool:
        return self.parser is not None and self.parser.should_keep_alive() and self.version == "1.1"

    def refuse(self, exchange: ResponseWriter, error: InvalidRequestError) -> None:
        """An error for what is out of form, and a pause: the same may come again at once."""
        self.errors += 1
        if self.errors >= MOST_ERRORS:
            exchange.keep, self.ended = False, True
        elif self.rest is None:
            self.rest = self.listener.loop.call_later(ERROR_PAUSE, self.rested)
        head = self.parser is not None and self.parser.get_method() == b"HEAD"
        exchange.send(error.status, b"" if head else f"{error}\n".encode(), error.headers)

    def rested(self) -> None:
        self.rest = None
        self.read_on()

    def route(self, exchange: ResponseWriter) -> None:
        assert self.parser is not None
        method, path = self.parser.get_method(), self.target.partition(b"?")[0]
        if path != b"/ready" and self.gone:
            exchange.send(429, b"")
        elif path != b"/ready":
            call = self.read_call(b"".join(self.body))
            exchange.number = self.listener.dispatcher.submit(call, exchange)
        elif method != b"GET":
            raise InvalidRequestError(405, "only GET", b"Allow: GET\r\n")
        else:
            exchange.send(200 if self.listener.is_ready() else 503, b"")

    # what the transport tells

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.listener.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(memoryview(self.listener.buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self.ended:
            return  # the last answer is on its way; what still comes is read only so that it gets there
        self.received = self.heard_at = self.listener.clock()
        self.unread = self.unread + data if self.unread else data
        self.read_on()

    def read_on(self) -> None:
        """Parses what has come, as far as the bound on requests under way allows."""
        while self.unread and not (self.ended or self.is_full() or self.rest):
            piece = self.unread
            if len(piece) > PIECE:
                piece = piece[:PIECE]
            self.unread = self.unread[len(piece) :]
            self.parse(piece)
        self.pace()

    def parse(self, piece: bytes) -> None:
        if self.parser is None:
            return
        self.parsing = True  # an answer given at once must not start the parser again from inside itself
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserError:
            self.break_off(400, "not HTTP")
        except httptools.HttpParserUpgrade:
            self.ended = True  # the answer to the request itself has been or will be given
        self.parsing = False
        self.head_size += len(piece) if self.in_head else 0
        if self.bad is not None and self.in_request and not self.in_head and self.is_beyond_reading():
            self.break_off(self.bad.status, str(self.bad))
        elif self.head_size > MOST_HEAD:
            self.break_off(431, "the head is over 32 KiB")

    def break_off(self, status: int, text: str) -> None:
        """Answers a request that can't be read to its end; what follows it can't be read either."""
        if self.ended:
            return
        self.ended = True
        if self.streaming_request is not None:
            return self.listener.dispatcher.abandon(self.streaming_request.number, status)
        exchange = ResponseWriter(self, False)
        self.exchanges.append(exchange)
        exchange.send(status, f"{text}\n".encode())
        return None

    def is_beyond_reading(self) -> bool:
        """True for a body that is not worth its reading for the sake of what comes behind it."""
        text = self.headers.get(b"content-length", b"")
        return self.body_size > HELD or text.isdigit() and int(text) > HELD

    def is_full(self) -> bool:
        waits = self.body_stream is not None and self.body_stream.is_full()
        return waits or self.stuck or len(self.exchanges) >= MOST_PIPELINED

    def pace(self) -> None:
        """Stops reading while enough is under way: a client that only sends can't fill the memory."""
        full = self.is_full() or bool(self.unread) or self.rest is not None
        if self.transport is None or full == self.paused or self.ended:
            return
        if full:
            self.paused = True
            self.transport.pause_reading()
            self.listener.disconnect_monitor.watch(self.descriptor, self.hung_up)
        else:
            self.heard_at = self.listener.clock()
            self.read_again()

    def read_again(self) -> None:
        if self.paused and self.transport is not None:
            self.paused = False
            self.listener.disconnect_monitor.unwatch(self.descriptor, self.hung_up)
            self.transport.resume_reading()

    def hung_up(self, broken: bool) -> None:
        """Its client's end, told of while nothing is read."""
        if broken:
            self.cut_off()
        else:
            self.client_closed()

    def pause_writing(self) -> None:
        self.stuck = True  # the client does not read its answers: it gets no further ones
        self.stuck_since = self.listener.clock()
        self.sent = self.transport.get_write_buffer_size() if self.transport is not None else 0
        if self.exchanges and self.exchanges[0].source is not None:
            self.exchanges[0].source.pause()
        self.pace()

    def resume_writing(self) -> None:
        self.stuck = False
        if self.exchanges and self.exchanges[0].source is not None:
            self.exchanges[0].source.resume()
        self.read_on()

    def flush(self) -> None:
        """Writes the answers that are due, up to the first request that has none yet."""
        if self.transport is None:
            return
        while self.exchanges and self.exchanges[0].text is not None:
            exchange = self.exchanges[0]
            exchange.live, text, exchange.text = True, exchange.text, b""
            if text:
                self.transport.write(text)
            if exchange.streaming:
                if exchange.source is not None and not self.stuck:
                    exchange.source.resume()
                return None
            self.exchanges.popleft()
            if not exchange.keep:
                return self.end()
        self.invite()
        self.idle_since = self.listener.clock()
        if self.ended and not self.exchanges:
            return self.end()
        if self.unread and not self.parsing:
            return self.read_on()
        return self.pace()

    def end(self) -> None:
        """Closes after the last answer; the peer may have more on its way, which must not cut it off."""
        self.ended = True
        if self.closing or self.transport is None or self.transport.is_closing():
            return
        self.closing, self.ended_at = True, self.listener.clock()
        self.read_again()
        self.unread = b""
        try:
            self.transport.write_eof()
        except OSError:  # reset meanwhile, of which not every loop tells first
            self.transport.abort()

    def cut_off(self) -> None:
        """Breaks the connection, so that its client can tell that a long answer is not whole."""
        self.ended = self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def drop(self) -> None:
        """Closes at once, for one to which nothing is owed or that had its time to read it."""
        self.ended = self.closing = True
        if self.transport is not None:
            self.transport.abort() if self.stuck else self.transport.close()

    def eof_received(self) -> bool:
        """The client sends no more. It may still read: only a broken connection tells that it has gone."""
        if self.streaming_request is not None:
            self.break_off(400, "the body is not whole")
        self.ended = True
        if self.closing or not self.exchanges:
            return False
        self.client_closed()
        return True

    def client_closed(self) -> None:
        """By the protocol the client has gone, which a client that only ended its sending looks like."""
        if self.gone:
            return
        self.gone = True
        by = self.listener.clock() + GONE_AFTER
        for exchange in self.exchanges:
            if exchange.number and exchange.text is None:
                self.listener.dispatcher.limit_attempt_start(exchange.number, by)
        self.going = self.listener.loop.call_later(GONE_AFTER, self.part_with_client)

    def part_with_client(self) -> None:
        self.going = None
        for exchange in list(self.exchanges):
            if exchange.number and exchange.text is None:
                self.listener.dispatcher.client_half_closed(exchange.number)

    def client_disconnected(self) -> bool:
        """A last look before an attempt begins: on a busy core the loop tells of an end only later."""
        return self.transport is None or self.gone or self.has_closed()

    def has_closed(self) -> bool:
        """True if the client has ended its sending, also where the loop has not told of it yet."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLRDHUP)
        return bool(poll.poll(0))

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.connections.discard(self)
        self.listener.disconnect_monitor.unwatch(self.descriptor, self.hung_up)
        self.body_stream = self.streaming_request = None
        self.transport = self.parser = None  # the parser knows its connection: parted, both are freed at once
        self.ended = True
        for timer in (self.rest, self.going):
            if timer is not None:
                timer.cancel()
        exchanges, self.exchanges = self.exchanges, deque()
        for exchange in exchanges:
            if exchange.number and (exchange.text is None or exchange.streaming):
                self.listener.dispatcher.client_disconnected(exchange.number)

    def ends_with(self, exchange: ResponseWriter) -> bool:
        """While this process takes its leave: True for the last taken here, whose answer is to say so.

        Said any earlier, it would leave those that were sent behind it without theirs.
        """
        leaving = self.listener.stopping or self.listener.draining or self.listener.superseded
        half_read = self.in_request and exchange is not self.streaming_request
        if not leaving or self.unread or half_read or self.exchanges[-1] is not exchange:
            return False
        self.ended = True
        return True

    def drained(self) -> bool:
        """True once the kernel has all that was written here."""
        return self.transport is None or self.transport.get_write_buffer_size() == 0

    def is_idle(self) -> bool:
        """True if closing it loses nothing: no request was taken here, nor is one half read."""
        return not (self.exchanges or self.closing or self.unread or self.in_request)

    def is_quiet(self) -> bool:
        """True if nothing that the client sent waits to be read."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLIN)
        return not poll.poll(0)

    def part(self, now: float) -> None:
        """While the gateway drains: ends a connection on which nothing was sent, or that has its answers."""
        if self.is_idle() and now - max(self.idle_since, self.received) >= SETTLED and self.is_quiet():
            self.end()

    def look_after(self, now: float, idle_limit: float) -> None:
        """Ends what has had its time: a client is owed an error or a close soon, whatever it sent."""
        if self.closing:
            if now - self.ended_at > (LINGER_SENDING if self.in_request else LINGER):
                self.drop()
        elif self.stuck:
            self.look_after_stuck(now)
        elif self.in_request and not (self.unread or self.paused) and not self.waits_behind():
            if self.in_head and now - self.begun > READ_WITHIN or not self.in_head and self.body_stands(now):
                self.break_off(408, "the request did not come whole in time")
        elif self.is_idle():
            limit = idle_limit if self.used else READ_WITHIN
            if now - self.idle_since > limit and self.is_quiet():
                self.drop()

    def look_after_stuck(self, now: float) -> None:
        """A client that reads slowly is waited for as long as it reads."""
        unread = self.transport.get_write_buffer_size() if self.transport is not None else 0
        if unread < self.sent:
            self.sent, self.stuck_since = unread, now
        elif now - self.stuck_since > UNREAD_LIMIT:
            self.drop()

    def waits_behind(self) -> bool:
        """True for a request half read behind others that have no answer yet."""
        return bool(self.exchanges) and self.exchanges[0] is not self.streaming_request

    def body_stands(self, now: float) -> bool:
        """True for a body that comes no more, or by so little that it never ends."""
        if self.body_size >= HELD:
            return now - self.heard_at > LONG_STALLED
        since = now - self.body_since
        slow = since > READ_WITHIN and self.body_size < LEAST_RATE * since
        return slow or now - self.heard_at > BODY_STALLED

    def make_way(self, now: float) -> bool:
        """Gives up its place to another client, if that loses nothing that was taken."""
        if self.closing:
            self.drop()
            return True
        if self.exchanges or self.unread or now - max(self.idle_since, self.received) < SETTLED:
            return False
        if self.in_request:
            self.break_off(408, "the request did not come whole, and others wait")
        if not self.in_request and not self.is_quiet():
            return False
        self.drop()
        return True


class ClientListener:
    """The listening socket and its connections.

    Connections are accepted here and not by the loop's own server: where no descriptor is left that one
    would close them, and a request that was written to one of them would be lost.
    """

    def __init__(
        self,
        driver: RequestDispatcher,
        settings: Settings,
        clock: Callable[[], float],
        most: int,
        is_ready: Callable[[], bool],
    ) -> None:
        self.dispatcher, self.clock, self.max_connections = driver, clock, most
        self.withheld = 0  # of these, while descriptors are short
        self.buffer = bytearray(READ_AT_ONCE)
        self.request_parser = RequestParser(settings)
        self.serves = is_ready
        self.connections: set[ClientConnection] = set()
        self.accepting: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()
        self.disconnect_monitor = DisconnectMonitor(self.loop)
        self.listener: socket.socket | None = None
        self.again: asyncio.TimerHandle | None = None
        self.stopping = self.draining = False
        self.superseded = False  # a newer process takes what comes: what it says of itself holds for both
        self.drained_since = 0.0
        self.sweeper = self.loop.call_later(SWEEP_EVERY, self.sweep)

    def is_ready(self) -> bool:
        return self.serves() and (self.superseded or not self.stopping)

    def drain(self, on: bool) -> None:
        """Has connections end with their answers; what still comes is taken in and served."""
        if on and not self.draining:
            self.drained_since = self.clock()
        self.draining = on

    def listen(self, listener: socket.socket) -> None:
        self.listener = listener
        self.loop.add_reader(listener, self.accept)

    def set_superseded(self, on: bool) -> None:
        """Leaves what waits at the descriptor to a newer process, or takes it again if that one is gone."""
        self.superseded = on
        if self.listener is None:
            return
        if on:
            self.loop.remove_reader(self.listener)
            if self.again is not None:
                self.again.cancel()
                self.again = None
        else:
            self.loop.add_reader(self.listener, self.accept)

    def accept(self) -> bool:
        """Takes in what waits, up to a bound; True if more may wait that there is room for."""
        self.again = None
        for _ in range(ACCEPTS):
            if self.listener is None or self.superseded:
                return False
            if not self.has_room():
                self.pause()
                return False
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                if error.errno in LACKING:
                    self.handle_descriptor_exhaustion()
                    self.pause()
                    return False
                continue  # that client has gone again
            sock.setblocking(False)
            task = self.loop.create_task(self.take_in(sock))
            self.accepting.add(task)
            task.add_done_callback(self.accepting.discard)
        return True

    async def take_in(self, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: ClientConnection(self), sock)
        except OSError:
            sock.close()

    def has_room(self) -> bool:
        """True if one more fits; those longest without a request make way: a crowd may never send one."""
        return (
            len(self.connections) + len(self.accepting) < self.max_connections - self.withheld
            or self.make_way()
        )

    def handle_descriptor_exhaustion(self) -> None:
        """None was left, though fewer than may be were taken: the others need them, so clients have fewer."""
        bound = min(self.max_connections - self.withheld, len(self.connections)) - MAKE_WAY
        self.withheld = self.max_connections - max(bound, min(LEAST_CLIENTS, self.max_connections))
        self.make_way()

    def make_way(self) -> bool:
        now, gone = self.clock(), 0
        for connection in sorted(self.connections, key=attrgetter("used", "idle_since")):
            if connection.make_way(now):
                self.connections.discard(connection)  # its descriptor is free before the loop's next round
                gone += 1
                if gone == MAKE_WAY:
                    break
        return gone > 0

    def sweep(self) -> None:
        self.sweeper.cancel()
        now = self.clock()
        self.withheld = max(self.withheld - 1, 0)
        full = len(self.connections) >= FULL_FROM * (self.max_connections - self.withheld)
        parting = self.draining and now - self.drained_since >= STILL_SENT
        for connection in list(self.connections):
            connection.look_after(now, IDLE_LIMIT_FULL if full else IDLE_LIMIT)
            if parting:
                connection.part(now)
        self.sweeper = self.loop.call_later(SWEEP_EVERY, self.sweep)

    def pause(self) -> None:
        """Leaves connections in the kernel's queue, where nothing is lost, until there is room again."""
        if self.listener is not None and self.again is None:
            self.loop.remove_reader(self.listener)
            self.again = self.loop.call_later(AGAIN, self.resume)

    def resume(self) -> None:
        self.again = None
        if self.listener is not None:
            self.loop.add_reader(self.listener, self.accept)
            self.accept()

    def stop_listening(self) -> bool:
        """Takes in what already waits, then listens no more; False while there is no room for what waits."""
        while self.accept():
            pass
        if self.again is not None:
            return False
        self.end_listening()
        return True

    def end_listening(self) -> None:
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def has_open_connections(self) -> bool:
        """True while there is a connection on which a request may be taken yet."""
        return bool(self.accepting) or any(not c.closing for c in self.connections)

    async def wait_until_flushed(self, at_most: float) -> None:
        """Waits until the kernel has every answer, but not for ever on a client that reads nothing."""
        end = self.clock() + at_most
        while any(not c.drained() for c in self.connections) and self.clock() < end:
            await asyncio.sleep(0.01)

    def close_idle(self) -> None:
        for connection in list(self.connections):
            if connection.is_idle() and connection.is_quiet():  # what waits there is read and answered first
                connection.end()

    def close(self) -> None:
        self.sweeper.cancel()
        self.end_listening()
        for connection in list(self.connections):
            connection.drop()
        self.disconnect_monitor.close()
