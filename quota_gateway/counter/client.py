"""Client of the quota counter: RESP2 calls, pipelined over a few connections."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable

import hiredis

from quota_gateway.counter.connection import CounterCall, CounterConnection
from quota_gateway.counter.reply import CounterResult
from quota_gateway.model.events import CounterReply
from quota_gateway.model.outcomes import Outcome
from quota_gateway.sockets.addresses import Address
from quota_gateway.sockets.dialing import connect_with_retry, ignore_descriptor_exhaustion

CONNECTION_COUNT = 4  # names are hashed over the connections, so that one slow call delays fewer others
ADD_COMMAND = "CNT.ADD"
MIN_EXPIRY_MS = 1  # milliseconds; the counter accepts no shorter expiry
LATENCY_FACTOR = 4.0  # times the fastest reply that is waited for: one that takes longer was queued
FASTEST_REPLY_GROWTH = 1.001  # by each reply: lets the fastest reply time follow a path that became slower
MOVED_CLOSE_FACTOR = 2  # times the timeout after which connections to a former address are closed


class CounterClient:
    """Sends one gateway's counter calls; each call is reported once, after its timeout at the latest."""

    def __init__(
        self,
        clock: Callable[[], float],
        address: Address,
        timeout: float,
        connect_timeout: float,
        on_reply: Callable[[CounterReply], None],
    ) -> None:
        """Take the timeouts in seconds; `on_reply` is called with the result of each call."""
        self.clock = clock
        self.address = address
        self.timeout = timeout
        self.connect_timeout = connect_timeout
        self.on_reply = on_reply
        self.on_descriptor_exhaustion = ignore_descriptor_exhaustion
        self.fastest_reply = 0.0  # seconds of the fastest reply, late ones included; 0: none yet
        self.loop = asyncio.get_running_loop()
        self.connections: list[CounterConnection | None] = [None] * CONNECTION_COUNT
        self.closing: set[CounterConnection] = set()  # to a former address, draining
        self.connect_tasks: set[asyncio.Task[None]] = set()

    @property
    def reply_timeout(self) -> float:
        """Seconds that a call waits for its reply: the configured timeout, or more for a distant counter.

        An overloaded counter still answers some calls fast, and its queued calls fail after the configured
        timeout. A distant counter answers no call fast and would never be heard in time.
        """
        return max(self.timeout, LATENCY_FACTOR * self.fastest_reply)

    def add(self, name: str, amount: float, expire_after: float) -> None:
        """Add an amount to a name, with the time in seconds after which the counter may forget it."""
        now = self.clock()
        call = CounterCall(name, _encode_add(name, amount, expire_after), now)
        call.timer = self.loop.call_later(self.reply_timeout, self.time_out, call)
        self._connection_for(name, now).send(call)

    def move(self, address: Address) -> None:
        """Send further calls to another address; calls in flight end on the connections they use."""
        self.address = address
        self.fastest_reply = 0.0  # unknown for the new address
        former = self.connections
        self.connections = [None] * CONNECTION_COUNT
        for connection in former:
            if connection is not None and not connection.closed:
                self.closing.add(connection)
                connection.drain()
                # all its calls have timed out by then
                self.loop.call_later(MOVED_CLOSE_FACTOR * self.timeout, connection.close)

    def close(self) -> None:
        """Abort all connections and attempts to connect."""
        for connection in (*self.connections, *self.closing):
            if connection is not None:
                connection.close()
        for task in self.connect_tasks:
            task.cancel()

    def time_out(self, call: CounterCall) -> None:
        """Complete a call that got no reply in time; one that was never written added nothing."""
        self.complete(call, CounterResult(Outcome.TIMED_OUT if call.written else Outcome.CONNECT_FAILED))

    def reply_received(self, call: CounterCall) -> None:
        """Update the fastest reply time."""
        elapsed = self.clock() - call.started_at
        if self.fastest_reply:
            self.fastest_reply = min(self.fastest_reply * FASTEST_REPLY_GROWTH, elapsed)
        else:
            self.fastest_reply = elapsed

    def complete(self, call: CounterCall, result: CounterResult) -> None:
        """Report a call's result unless the call is completed already."""
        if call.completed:
            return
        call.completed = True
        if call.timer is not None:
            call.timer.cancel()
        elapsed = self.clock() - call.started_at
        self.on_reply(CounterReply(call.name, result.outcome, elapsed, result.total))

    def connection_ended(self, connection: CounterConnection) -> None:
        """Forget a connection to a former address."""
        self.closing.discard(connection)

    def _connection_for(self, name: str, now: float) -> CounterConnection:
        # hashed by the name's first part, the customer: a customer's calls keep their order
        customer = name.partition(".")[0]
        index = zlib.crc32(customer.encode()) % CONNECTION_COUNT
        connection = self.connections[index]
        if connection is not None and connection.is_usable(now):
            return connection
        if connection is not None:
            connection.close()
        replacement = self._open_connection()
        self.connections[index] = replacement
        return replacement

    def _open_connection(self) -> CounterConnection:
        connection = CounterConnection(self)
        task = self.loop.create_task(self._connect(connection))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)
        return connection

    async def _connect(self, connection: CounterConnection) -> None:
        try:
            async with asyncio.timeout(self.connect_timeout):
                await connect_with_retry(lambda: connection, self.address, self.on_descriptor_exhaustion)
        except (OSError, TimeoutError):
            connection.fail_calls()
        if connection.closed:
            connection.close()  # it was closed while it was being opened


def _encode_add(name: str, amount: float, expire_after: float) -> bytes:
    expiry_ms = max(MIN_EXPIRY_MS, round(expire_after * 1000))
    words = (ADD_COMMAND, name, f"{amount:.9g}", str(expiry_ms))
    command: bytes = hiredis.pack_command(words)  # type: ignore[arg-type]  # its stub allows one word only
    return command
