"""The pool of connections to all endpoints, limited in size."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Iterable

from quota_gateway.body_streaming import READ_BUFFER_BYTES
from quota_gateway.invariants import HALF_CLOSE_SLACK, TIME_BUDGET_SLACK, Invariant, InvariantMonitor
from quota_gateway.memory_budget import MemoryBudget
from quota_gateway.model.outcomes import Outcome
from quota_gateway.sockets.addresses import Address
from quota_gateway.sockets.dialing import connect_with_retry, ignore_descriptor_exhaustion
from quota_gateway.upstream.attempt import AttemptResult, UpstreamAttempt, refused_result
from quota_gateway.upstream.connection import UpstreamConnection
from quota_gateway.upstream.endpoint_connections import EndpointConnections
from quota_gateway.upstream.idle_timeout import AdaptiveIdleTimeout

# Seconds between checks for connections that exceed the idle timeout; short compared to that timeout.
SWEEP_INTERVAL = 1.0


class ConnectionPool:
    """Opens connections, sends attempts on them, and keeps them for reuse."""

    def __init__(
        self,
        clock: Callable[[], float],
        connect_timeout: float,
        keepalive_timeout: float,
        max_connections: int,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Initialize an empty pool.

        `keepalive_timeout` is that of the endpoints; timeouts are in seconds. `max_connections` includes
        connects in progress. `memory` bounds what all responses buffer; without it they are not bounded.
        """
        self.memory = memory or MemoryBudget(sys.maxsize)
        self.clock = clock
        self.connect_timeout = connect_timeout
        self.max_connections = max_connections
        # The usable fraction of `max_connections`, which two processes share during a hot restart.
        self.capacity_fraction = 1.0
        self.idle_timeout = AdaptiveIdleTimeout(keepalive_timeout)
        self.loop = asyncio.get_running_loop()
        self.read_buffer = bytearray(READ_BUFFER_BYTES)
        self.on_descriptor_exhaustion = ignore_descriptor_exhaustion
        self.invariants = InvariantMonitor()
        self.attempts_written = 0  # number of attempts whose last byte the kernel has accepted
        self.endpoints: dict[str, EndpointConnections] = {}  # by endpoint id
        self.connections: set[UpstreamConnection] = set()  # all that are established
        self.connecting_attempts: dict[UpstreamAttempt, EndpointConnections] = {}  # by attempt that waits
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self.close_expired_connections)

    # Endpoints.

    def set_endpoint(self, endpoint_id: str, address: Address, started_at: float | None = None) -> None:
        """Set an endpoint's address and start time in Unix seconds; a change retires its connections."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None or (endpoint.address, endpoint.started_at) != (address, started_at):
            self.retire_endpoint(endpoint_id)
            self.endpoints[endpoint_id] = EndpointConnections(endpoint_id, address, started_at)

    def endpoint_ids_at(self, address: Address) -> list[str]:
        """Return the ids of the endpoints that listen at `address`."""
        return [endpoint.endpoint_id for endpoint in self.endpoints.values() if endpoint.address == address]

    def retire_endpoint(self, endpoint_id: str) -> None:
        """Stop sending to an endpoint that drains or was removed, and end its attempts that are connecting.

        Attempts that were sent continue, and their connections are closed afterwards.
        """
        endpoint = self.endpoints.pop(endpoint_id, None)
        if endpoint is None:
            return
        endpoint.close_all_idle()
        attempts = [attempt for attempt, target in self.connecting_attempts.items() if target is endpoint]
        for attempt in attempts:
            attempt.end(AttemptResult(Outcome.CONNECT_FAILED))

    def retire_connections(self, endpoint_id: str) -> None:
        """Retire the connections to an endpoint that remains available at its address."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is not None:
            self.retire_endpoint(endpoint_id)
            self.endpoints[endpoint_id] = EndpointConnections(
                endpoint_id, endpoint.address, endpoint.started_at
            )

    def retain_only_endpoints(self, endpoint_ids: Iterable[str]) -> None:
        """Retire all endpoints except those in `endpoint_ids`."""
        for endpoint_id in self.endpoints.keys() - set(endpoint_ids):
            self.retire_endpoint(endpoint_id)

    # Attempts.

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt on an idle connection, or on a new one once it is established.

        The attempt ends at once if the endpoint is unknown or no more connections are allowed.
        """
        now = self.clock()
        attempt.start_timer(now, self.loop)
        endpoint = self.endpoints.get(attempt.endpoint_id)
        if endpoint is None:
            attempt.end(AttemptResult(Outcome.CONNECT_FAILED))
            return
        connection = endpoint.acquire_idle(now, self.idle_timeout.current)
        if connection is not None:
            connection.send_attempt(attempt, now)
        elif self._ensure_capacity():
            self.connecting_attempts[attempt] = endpoint
            task = self.loop.create_task(self._connect(attempt, endpoint))
            # A task that is cancelled before its first step runs none of its code, not even `finally`.
            task.add_done_callback(lambda _: self.connecting_attempts.pop(attempt, None))
            attempt.connect_task = task
        else:
            attempt.end(AttemptResult(Outcome.CONNECT_FAILED))

    def _ensure_capacity(self) -> bool:
        """Return whether another connection may be opened; at the limit, close an idle one to allow it."""
        if (
            len(self.connections) + len(self.connecting_attempts)
            < self.capacity_fraction * self.max_connections
        ):
            return True
        endpoint = min(
            (endpoint for endpoint in self.endpoints.values() if endpoint.idle_connections),
            default=None,
            key=lambda endpoint: endpoint.idle_connections[0].idle_since,
        )
        if endpoint is None:
            return False
        endpoint.close_oldest_idle()
        return True

    async def _connect(self, attempt: UpstreamAttempt, endpoint: EndpointConnections) -> None:
        """Open a connection and send the attempt on it, if it may still be sent by then."""
        connection = UpstreamConnection(self, endpoint)
        is_ready = False
        try:
            async with asyncio.timeout(self.connect_timeout):
                await connect_with_retry(lambda: connection, endpoint.address, self.on_descriptor_exhaustion)
            is_ready = connection.is_open()
        except (OSError, TimeoutError):
            pass  # refused, unreachable or not established in time: the attempt ends below
        finally:
            self.connecting_attempts.pop(attempt, None)
            attempt.connect_task = None
            if not is_ready or attempt.has_ended:
                connection.close()  # also if the attempt ended just as the connection was established
            if not is_ready:
                connection.release()
        owner = attempt.owner
        if not is_ready or owner is None:
            attempt.end(AttemptResult(Outcome.CONNECT_FAILED))
        elif (refusal := owner.find_refusal(attempt.send_deadline, self.clock())) is not None:
            connection.close()
            attempt.end(refused_result(refusal))
        else:
            connection.send_attempt(attempt, self.clock())

    def check_send_invariants(
        self, attempt: UpstreamAttempt, endpoint: EndpointConnections, now: float
    ) -> None:
        """Check the invariants of an attempt that is about to be written."""
        owner = attempt.owner
        record_violation = self.invariants.record_violation
        if attempt.connection is not None:
            record_violation(Invariant.SENT_ONCE, attempt.head)
        if self.endpoints.get(endpoint.endpoint_id) is not endpoint:
            record_violation(Invariant.SENT_TO_LISTED, attempt.head)
        if owner is None or owner.answered:
            record_violation(Invariant.SENT_UNANSWERED, attempt.head)
            return
        client_deadline = owner.client_deadline
        if now >= client_deadline:
            record_violation(Invariant.SENT_IN_TIME, attempt.head)
        if attempt.body_stream is None and attempt.deadline > client_deadline + TIME_BUDGET_SLACK:
            record_violation(Invariant.TOLD_IN_TIME, attempt.head)
        if owner.attempt_start_deadline is not None and now > owner.attempt_start_deadline + HALF_CLOSE_SLACK:
            record_violation(Invariant.SENT_TO_PRESENT, attempt.head)

    # Connections.

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """Register an established connection."""
        self.connections.add(connection)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        connection.endpoint.discard(connection)

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse, or close it if its endpoint was retired."""
        endpoint = connection.endpoint
        if self.endpoints.get(endpoint.endpoint_id) is not endpoint:
            connection.close()
            return
        connection.idle_since = self.clock()
        endpoint.idle_connections.append(connection)

    def close_expired_connections(self) -> None:
        """Close the connections that exceed the idle timeout, now and every SWEEP_INTERVAL seconds."""
        cutoff = self.clock() - self.idle_timeout.current
        for endpoint in self.endpoints.values():
            endpoint.close_idle_before(cutoff)
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self.close_expired_connections)

    def close(self) -> None:
        """Close all connections at once and stop the checks for idle ones."""
        self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.close()
