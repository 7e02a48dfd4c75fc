"""One pipelined RESP2 connection to the counter."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol, cast

import hiredis

from quota_gateway.counter.reply import CounterResult, parse_reply
from quota_gateway.model.outcomes import Outcome

STALL_FACTOR = 10.0  # times the call timeout that the oldest call may wait before its connection is replaced
IDLE_TIMEOUT = 3.0  # seconds; the counter closes idle connections without notice, so they are not reused


class CounterCall:
    """One call to the counter.

    It is completed exactly once. A call that timed out keeps its place among the calls in flight, because
    replies are matched to calls by their order alone.
    """

    __slots__ = ("command", "completed", "name", "started_at", "timer", "written")

    def __init__(self, name: str, command: bytes, started_at: float) -> None:
        self.name = name
        self.command = command  # in RESP2
        self.started_at = started_at
        self.written = False
        self.completed = False
        self.timer: asyncio.TimerHandle | None = None


class CounterConnectionOwner(Protocol):
    """What a connection reports to."""

    timeout: float  # seconds allowed for a call

    def reply_received(self, call: CounterCall) -> None:
        """Note that a call has its reply, which may have come after its timeout."""

    def complete(self, call: CounterCall, result: CounterResult) -> None:
        """Report a call's result unless the call is completed already."""

    def connection_ended(self, connection: CounterConnection) -> None:
        """Note that a connection is closed or could not be opened."""


class CounterConnection(asyncio.Protocol):
    """A connection with its calls that wait for it to open and its calls in flight."""

    def __init__(self, owner: CounterConnectionOwner) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.pending: list[CounterCall] = []  # to be written when the connection is open
        self.in_flight: deque[CounterCall] = deque()  # written, without a reply, in the order of writing
        self.reader = hiredis.Reader()
        self.last_used_at = 0.0
        self.write_paused = False  # the last call written is not completely handed to the kernel
        self.closed = False
        self.draining = False

    def is_usable(self, now: float) -> bool:
        """Return False if the next call needs a new connection: this one is closed, stalled or idle."""
        if self.closed or (self.transport is not None and self.transport.is_closing()):
            return False
        if self.in_flight:
            return now - self.in_flight[0].started_at < STALL_FACTOR * self.owner.timeout
        return now - self.last_used_at < IDLE_TIMEOUT

    def send(self, call: CounterCall) -> None:
        """Write a call, or queue it until the connection is open."""
        self.last_used_at = call.started_at
        if self.transport is None:
            self.pending.append(call)
        else:
            self._write(call, self.transport)

    def drain(self) -> None:
        """Close the connection when its last call has its reply; no further call may be sent."""
        self.draining = True
        if not (self.in_flight or self.pending):
            self.close()

    def close(self) -> None:
        """Abort the connection; its calls are completed when the event loop reports its end."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def fail_calls(self) -> None:
        """Complete all calls of a connection that ended or could not be opened.

        Calls that were not written completely added nothing: CONNECT_FAILED. The others may have: TIMED_OUT.
        """
        self.closed = True
        self.owner.connection_ended(self)
        if self.write_paused and self.in_flight:
            self.owner.complete(self.in_flight.pop(), CounterResult(Outcome.CONNECT_FAILED))
        while self.in_flight:
            self.owner.complete(self.in_flight.popleft(), CounterResult(Outcome.TIMED_OUT))
        for call in self.pending:
            self.owner.complete(call, CounterResult(Outcome.CONNECT_FAILED))
        self.pending = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the calls that were queued while the connection was being opened."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's has its methods but not its base class
        # with a limit of 0 pause_writing reports every write that the kernel has not taken completely
        self.transport.set_write_buffer_limits(high=0)
        queued = self.pending
        self.pending = []
        for call in queued:
            if not call.completed:  # a call that timed out meanwhile was reported as not written
                self._write(call, self.transport)

    def pause_writing(self) -> None:
        """Note that the last write is still buffered."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Note that the kernel has taken all writes."""
        self.write_paused = False

    def data_received(self, data: bytes) -> None:
        """Complete the calls whose replies arrived; close the connection where replies can't be matched."""
        self.reader.feed(data)
        try:
            while (reply := self.reader.gets()) is not False:
                if not self._handle_reply(reply):
                    self.close()
                    return
        except hiredis.ProtocolError:
            self.close()

    def eof_received(self) -> bool:
        """Have the transport close itself."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the calls that are left."""
        self.fail_calls()

    def _write(self, call: CounterCall, transport: asyncio.Transport) -> None:
        call.written = True
        self.in_flight.append(call)
        transport.write(call.command)

    def _handle_reply(self, reply: object) -> bool:
        """Complete the oldest call in flight; return False if the connection has to be closed."""
        if not self.in_flight:
            return False  # a reply to no call: later replies can't be matched to calls either
        result = parse_reply(reply)
        call = self.in_flight.popleft()
        self.owner.reply_received(call)
        self.owner.complete(call, result or CounterResult(Outcome.TIMED_OUT))
        if result is None:
            return False  # the next reply may not belong to the next call
        return bool(self.in_flight) or not self.draining
