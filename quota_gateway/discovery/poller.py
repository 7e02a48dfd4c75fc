"""Polls one discovery agent: the full endpoint list once, then watches for changes, one at a time."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from quota_gateway.discovery.connection import DiscoveryConnection
from quota_gateway.discovery.endpoint_update import (
    MILLISECONDS_PER_SECOND,
    EndpointUpdate,
    decode_endpoint_update,
)
from quota_gateway.discovery.poll_schedule import DEFAULT_POLL_SCHEDULE, PollSchedule
from quota_gateway.errors import DiscoveryUnavailableError, EndpointListError
from quota_gateway.sockets.addresses import Address, format_address
from quota_gateway.sockets.dialing import connect_with_retry, ignore_descriptor_exhaustion

ENDPOINTS_PATH = "/v1/endpoints"
MAX_REASON_LENGTH = 200  # characters of an error that are logged; it may quote the response

log = logging.getLogger("quota_gateway")


class EndpointPoller:
    """Polls the endpoint list at one address until it is stopped, and passes on every update in order."""

    def __init__(
        self,
        address: Address,
        connect_timeout: float,
        on_update: Callable[[EndpointPoller, EndpointUpdate], None],
        generation: int | None = None,
        schedule: PollSchedule = DEFAULT_POLL_SCHEDULE,
        on_unavailable: Callable[[], None] | None = None,
        on_descriptor_exhaustion: Callable[[], None] = ignore_descriptor_exhaustion,
    ) -> None:
        """Start polling in a task of the running event loop.

        `connect_timeout` is in seconds. `generation` is the version of the list that is already known, or
        None. `on_unavailable` is called after each poll that the agent rejected or dropped.
        """
        self.address = address
        self.connect_timeout = connect_timeout  # seconds
        self.on_update = on_update
        self.schedule = schedule
        self.on_unavailable = on_unavailable
        self.on_descriptor_exhaustion = on_descriptor_exhaustion
        self.host = format_address(address)
        self.connection: DiscoveryConnection | None = None
        self.generation = generation  # None: the next poll requests the full list
        # the first watch from a known generation returns at once, as the list may be out of date
        self.next_watch_timeout = schedule.watch_timeout if generation is None else 0.0
        self.consecutive_timeouts = 0
        self.failure_logged = False  # since the last update: only the first failure of a series is logged
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        """Poll until cancelled, with exponential backoff after failures."""
        backoff = self.schedule.first_backoff
        while True:
            try:
                update = await self.poll()
            except (OSError, TimeoutError, ValueError, EndpointListError) as error:
                self.drop_connection()
                self.handle_failure(error)
                retry_after = error.retry_after if isinstance(error, EndpointListError) else 0.0
                await asyncio.sleep(self.schedule.jittered_delay(backoff, retry_after))
                backoff = min(2 * backoff, self.schedule.max_backoff)
                continue
            backoff = self.schedule.first_backoff
            self.handle_update(update)

    async def poll(self) -> EndpointUpdate:
        """Make one poll: a watch if a generation is known, otherwise a request for the full list.

        Raises OSError or ValueError if connecting fails, TimeoutError if no response arrives in time, and
        EndpointListError if the response is not a valid list.
        """
        watch_timeout = 0.0 if self.generation is None else self.next_watch_timeout
        response_timeout = self.schedule.response_timeout_after(self.consecutive_timeouts)
        async with asyncio.timeout(watch_timeout + response_timeout):
            connection = self.connection or await self.connect()
            body = await connection.request(self.request_target(watch_timeout), self.host)
        if not connection.keep_alive:
            self.drop_connection()
        return decode_endpoint_update(body)

    def request_target(self, watch_timeout: float) -> str:
        """Return the path and query of the next poll."""
        if self.generation is None:
            return ENDPOINTS_PATH
        timeout_ms = round(MILLISECONDS_PER_SECOND * watch_timeout)
        return f"{ENDPOINTS_PATH}?since={self.generation}&timeout_ms={timeout_ms}"

    def handle_update(self, update: EndpointUpdate) -> None:
        """Pass an update on, but discard changes whose generation is older than the known one."""
        self.next_watch_timeout = self.schedule.watch_timeout
        self.consecutive_timeouts = 0
        self.failure_logged = False
        if not update.is_full and self.generation is not None and update.generation < self.generation:
            self.generation = None  # discovery restarted its generations: this is a change to another list
            return
        self.generation = update.generation
        try:
            self.on_update(self, update)
        except Exception:  # an update that can't be applied must not end the polling
            log.exception("failed to apply an endpoint list update")

    def handle_failure(self, error: Exception) -> None:
        """Log the failure of a poll, and decide how the next one is made."""
        failed_watch_timeout = self.next_watch_timeout
        self.next_watch_timeout = 0.0  # a poll that returns at once detects sooner that the agent is back
        self.log_failure(error)
        match error:
            case DiscoveryUnavailableError():
                if self.on_unavailable is not None:
                    self.on_unavailable()
            case TimeoutError():
                if not failed_watch_timeout:  # an unanswered watch means a broken connection, not overload
                    self.consecutive_timeouts += 1
            case EndpointListError() | ValueError():
                self.generation = None  # the same request might get the same invalid response

    def log_failure(self, error: Exception) -> None:
        """Log a failure on one line, if it is the first of a series."""
        if self.failure_logged:
            return
        self.failure_logged = True
        reason = " ".join(str(error).split())[:MAX_REASON_LENGTH] or "timed out"
        log.warning("endpoint list poll of %s failed, keeping the last known list: %s", self.host, reason)

    async def connect(self) -> DiscoveryConnection:
        """Open the connection for the following polls; raises OSError or TimeoutError if that fails."""
        async with asyncio.timeout(self.connect_timeout):
            self.connection = await connect_with_retry(
                DiscoveryConnection, self.address, self.on_descriptor_exhaustion
            )
        return self.connection

    def drop_connection(self) -> None:
        """Abort the connection, if there is one; the next poll opens another."""
        connection = self.connection
        self.connection = None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def stop(self) -> None:
        """Cancel the polling and abort the connection."""
        self.task.cancel()
        self.drop_connection()
