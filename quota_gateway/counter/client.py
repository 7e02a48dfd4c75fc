"""Client of the quota counter, which pipelines RESP2 calls over a few connections."""

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

CONNECTION_COUNT = 4  # customers are hashed over the connections, so that one slow call delays fewer others
ADD_COMMAND = "CNT.ADD"
MIN_EXPIRY_MS = 1  # the counter accepts no shorter expiry than 1 millisecond
# A call waits at least this multiple of the fastest reply time: a slower reply was queued at the counter.
REPLY_TIMEOUT_FACTOR = 4.0
# Each reply raises the fastest reply time by this factor, so that it follows a path that becomes slower.
FASTEST_REPLY_GROWTH = 1.001
DRAIN_TIMEOUT_FACTOR = 2  # connections to a former address are closed after this multiple of the timeout


class CounterClient:
    """Sends a gateway's calls to the counter.

    The result of each call is reported exactly once, when the call times out at the latest.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        address: Address,
        timeout: float,
        connect_timeout: float,
        on_reply: Callable[[CounterReply], None],
    ) -> None:
        """Initialize the client; timeouts are in seconds, `on_reply` receives the result of each call."""
        self.clock = clock
        self.address = address
        self.timeout = timeout
        self.connect_timeout = connect_timeout
        self.on_reply = on_reply
        self.on_descriptor_exhaustion = ignore_descriptor_exhaustion
        self.fastest_reply = 0.0  # seconds that the fastest reply took, late ones included; 0 before any
        self.loop = asyncio.get_running_loop()
        self.connections: list[CounterConnection | None] = [None] * CONNECTION_COUNT
        # Connections to a former address that are draining
        self.draining_connections: set[CounterConnection] = set()
        self.connect_tasks: set[asyncio.Task[None]] = set()

    @property
    def reply_timeout(self) -> float:
        """Seconds that a call waits for its reply: the configured timeout, or more for a distant counter.

        An overloaded counter still answers some calls fast, so its queued calls fail after the configured
        timeout. A distant counter answers no call fast: with the configured timeout all calls would fail.
        """
        return max(self.timeout, REPLY_TIMEOUT_FACTOR * self.fastest_reply)

    def increment(self, name: str, amount: float, expire_after: float) -> None:
        """Add `amount` to the total of `name`, which the counter may discard after `expire_after` seconds."""
        now = self.clock()
        call = CounterCall(name, _encode_add(name, amount, expire_after), now)
        call.timer = self.loop.call_later(self.reply_timeout, self.time_out, call)
        self._connection_for(name, now).send(call)

    def change_address(self, address: Address) -> None:
        """Send further calls to another address; calls in flight stay on their connections."""
        self.address = address
        self.fastest_reply = 0.0  # unknown for the new address
        former_connections = self.connections
        self.connections = [None] * CONNECTION_COUNT
        for connection in former_connections:
            if connection is not None and not connection.closed:
                self.draining_connections.add(connection)
                connection.drain()
                # all its calls have timed out by then
                self.loop.call_later(DRAIN_TIMEOUT_FACTOR * self.timeout, connection.close)

    def close(self) -> None:
        """Abort all connections, including those that are being opened."""
        for connection in (*self.connections, *self.draining_connections):
            if connection is not None:
                connection.close()
        for task in self.connect_tasks:
            task.cancel()

    def time_out(self, call: CounterCall) -> None:
        """Complete a call whose reply did not arrive in time; a call that was never written added nothing."""
        self.complete(call, CounterResult(Outcome.TIMED_OUT if call.written else Outcome.CONNECT_FAILED))

    def reply_received(self, call: CounterCall) -> None:
        """Update the fastest reply time from a reply, which may be late."""
        elapsed = self.clock() - call.started_at
        if self.fastest_reply:
            self.fastest_reply = min(self.fastest_reply * FASTEST_REPLY_GROWTH, elapsed)
        else:
            self.fastest_reply = elapsed

    def complete(self, call: CounterCall, result: CounterResult) -> None:
        """Report a call's result unless the call is already completed."""
        if call.completed:
            return
        call.completed = True
        if call.timer is not None:
            call.timer.cancel()
        elapsed = self.clock() - call.started_at
        self.on_reply(CounterReply(call.name, result.outcome, elapsed, result.total))

    def connection_ended(self, connection: CounterConnection) -> None:
        """Remove a closed connection from those to a former address."""
        self.draining_connections.discard(connection)

    def _connection_for(self, name: str, now: float) -> CounterConnection:
        # the hash is of the customer, the first part of the name, so that a customer's calls stay in order
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
            connection.close()  # close() was called while the connection was being opened


def _encode_add(name: str, amount: float, expire_after: float) -> bytes:
    expiry_ms = max(MIN_EXPIRY_MS, round(expire_after * 1000))
    arguments = (ADD_COMMAND, name, f"{amount:.9g}", str(expiry_ms))
    command: bytes = hiredis.pack_command(arguments)  # type: ignore[arg-type]  # its stub takes one string
    return command
