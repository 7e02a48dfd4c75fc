"""A gateway process: creates and connects its components, and runs them until SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import signal
import time
from collections.abc import Callable

from quota_gateway.admin.operations import AdminOperations
from quota_gateway.admin.server import AdminServer
from quota_gateway.configuration.descriptor_budget import divide_descriptors
from quota_gateway.configuration.file import Configuration
from quota_gateway.configuration.reload import ConfigurationReloader
from quota_gateway.counter.client import CounterClient
from quota_gateway.discovery.client import DiscoveryClient
from quota_gateway.discovery.poll_schedule import poll_schedule_for
from quota_gateway.dispatch.dispatcher import RequestDispatcher
from quota_gateway.downstream.client_listener import ClientListener
from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.hot_restart.coordinator import HotRestartCoordinator
from quota_gateway.hot_restart.messages import Notification
from quota_gateway.memory_budget import MemoryBudget, buffer_limit, max_limiters
from quota_gateway.model.events import SetDraining, SetMaintenance
from quota_gateway.process_memory import resident_bytes
from quota_gateway.shutdown import ACCEPT_WINDOW, GracefulShutdown, shutdown_timeout_for
from quota_gateway.sockets.addresses import format_address
from quota_gateway.sockets.listening import bind_with_retry, inherit_listener
from quota_gateway.upstream.connection_pool import ConnectionPool

BIND_TIMEOUT = 8.0  # seconds to retry binding the listening address; a gateway should be ready within 10 s
ADMIN_RETRY_DELAY = 0.5  # seconds between two tries of the admin server to listen
MAX_FIRST_LIST_TIMEOUT = 1.0  # maximum seconds that a start waits for discovery's first endpoint list

log = logging.getLogger("quota_gateway")


def create_clock() -> Callable[[], float]:
    """Return a clock of Unix time in seconds that is not affected by changes of the system time.

    Gateways compare quota periods and endpoints' start times, so plain monotonic time cannot be used.
    """
    offset = time.time() - time.monotonic()
    monotonic = time.monotonic
    return lambda: offset + monotonic()


class GatewayProcess:
    """Creates and owns the components of one gateway, and starts and stops them."""

    def __init__(self, configuration: Configuration) -> None:
        """Create all components; none of them listens or connects before `start`."""
        settings = configuration.settings
        limits = configuration.connection_limits
        descriptors = divide_descriptors(configuration.max_descriptors)
        clock = create_clock()
        self.loop = asyncio.get_running_loop()
        self.listen_address = configuration.listen_address
        self.listen_descriptor = configuration.listen_descriptor
        self.admin_address = configuration.admin_address
        self._admin_retry_timer: asyncio.TimerHandle | None = None  # set while the admin server cannot listen
        self.is_endpoint_list_ready = False  # set once discovery has answered or timed out at the start
        # a local discovery agent that is slower than a connect is overloaded, and clients are waiting
        self.first_list_timeout = min(MAX_FIRST_LIST_TIMEOUT, limits.connect_timeout)
        self.shutdown_timeout = shutdown_timeout_for(settings)
        self.memory = MemoryBudget(buffer_limit(configuration.memory_limit, descriptors.downstream))
        self.pool = ConnectionPool(
            clock, limits.connect_timeout, limits.keepalive_timeout, descriptors.upstream, self.memory
        )
        engine = PolicyEngine(settings, configuration.seed, clock())
        engine.limiter_registry.max_limiters = max_limiters(configuration.memory_limit)
        self.dispatcher = RequestDispatcher(engine, clock, self.pool)
        self.dispatcher.counter = self._create_counter(configuration, clock)
        self.dispatcher.apply_endpoint_update(configuration.cached_endpoints)
        self.listener = ClientListener(
            self.dispatcher, settings, clock, descriptors.downstream, self.is_serving, self.memory
        )
        self.dispatcher.set_client_draining = self.listener.drain
        self.discovery = self._create_discovery(configuration)
        self._connect_descriptor_exhaustion()
        self.hot_restart = self._create_hot_restart(configuration)
        self.admin = AdminServer(
            AdminOperations(self.is_healthy, self.metrics_text, self.set_maintenance, self.set_draining)
        )
        self.reloader = ConfigurationReloader(
            configuration, self.discovery, self.dispatcher.counter, self.dispatcher.metrics
        )

    def _create_counter(
        self, configuration: Configuration, clock: Callable[[], float]
    ) -> CounterClient | None:
        if configuration.counter_address is None:
            return None
        return CounterClient(
            clock,
            configuration.counter_address,
            configuration.settings.counter_timeout,
            configuration.connection_limits.connect_timeout,
            self.dispatcher.handle_counter_reply,
        )

    def _create_discovery(self, configuration: Configuration) -> DiscoveryClient:
        settings = configuration.settings
        limits = configuration.connection_limits
        cached = configuration.cached_endpoints
        return DiscoveryClient(
            configuration.discovery_address,
            limits.connect_timeout,
            self.dispatcher.apply_endpoint_update,
            cached.generation if cached.entries else None,
            poll_schedule_for(settings.gateway_count, settings.push_discovery_enabled, limits.drain_timeout),
            self.listener.handle_descriptor_exhaustion,
        )

    def _connect_descriptor_exhaustion(self) -> None:
        """Close idle client connections when the pool or the counter runs out of file descriptors."""
        self.pool.on_descriptor_exhaustion = self.listener.handle_descriptor_exhaustion
        if self.dispatcher.counter is not None:
            self.dispatcher.counter.on_descriptor_exhaustion = self.listener.handle_descriptor_exhaustion

    def _create_hot_restart(self, configuration: Configuration) -> HotRestartCoordinator | None:
        """Return None if hot restart is unavailable: it needs an inherited socket and a shared folder."""
        if configuration.listen_descriptor is None or configuration.shared_folder is None:
            return None
        self.dispatcher.report_charged_units = self.notify_peer
        self.dispatcher.report_sent_calls = self.notify_peer
        return HotRestartCoordinator(
            configuration.shared_folder,
            self.dispatcher,
            self.discovery.first_response_received,
            self.listener.set_superseded,
        )

    def is_serving(self) -> bool:
        """Return whether requests can be forwarded, for the readiness check of clients at `/ready`."""
        return self.is_endpoint_list_ready and self.dispatcher.engine.is_accepting_clients()

    def is_healthy(self) -> bool:
        """Return whether this process is serving and not shutting down, for the health check of operators."""
        return self.listener.is_ready() and not self.listener.stopping

    def metrics_text(self) -> str:
        """Return all metrics in the text format for operators."""
        gauges = {
            **self.dispatcher.gauges(),
            "client_connections": len(self.listener.connections),
            "resident_bytes": resident_bytes(),
            "buffered_bytes": self.memory.used,
            "memory_shortages": self.memory.exhausted_count,
        }
        return self.dispatcher.metrics.format_text(gauges)

    def set_maintenance(self, endpoint_id: str, enabled: bool) -> bool:
        """Start or end maintenance of an endpoint, in this process and in the other one of a hot restart.

        Return False if the endpoint is unknown.
        """
        known = self.dispatcher.set_maintenance(endpoint_id, enabled)
        if known:
            self.notify_peer(SetMaintenance(endpoint_id, enabled))
        return known

    def set_draining(self, enabled: bool) -> None:
        """Start or stop draining clients, in this process and in the other one of a hot restart."""
        self.dispatcher.set_draining(enabled)
        self.notify_peer(SetDraining(enabled))

    def notify_peer(self, notification: Notification) -> None:
        """Send a notification to the other process of a hot restart, if there is one."""
        if self.hot_restart is not None:
            self.hot_restart.notify_peer(notification)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully; SIGHUP reloads the configuration."""
        stop = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, stop.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reloader.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        await self.start()
        gc.freeze()  # the objects created so far live until exit, so the garbage collector can skip them
        await stop.wait()
        await self.stop()

    async def start(self) -> None:
        """Start serving; raise OSError if the listening address or descriptor cannot be used."""
        self._start_admin_server()
        if self.listen_descriptor is None:
            self.listener.listen(await bind_with_retry(self.listen_address, BIND_TIMEOUT))
        self.discovery.start()
        restore_task = None
        if self.hot_restart is not None:
            restore_task = self.loop.create_task(self.hot_restart.restore_from_older_process())
        await self._wait_for_first_list()
        if restore_task is not None:
            await restore_task
        self.is_endpoint_list_ready = True
        if self.listen_descriptor is not None:
            # until now an older process accepted connections; if it still responds, it has emptied the queue
            has_acceptor = self.hot_restart is not None and self.hot_restart.is_older_process_linked()
            self.listener.listen(inherit_listener(self.listen_descriptor), is_queue_old=not has_acceptor)
        if self.hot_restart is not None:
            self.hot_restart.announce_serving()

    def _start_admin_server(self) -> None:
        """Start the admin server, and retry if it cannot listen, as clients can be served without it."""
        if self.admin_address is None:
            return
        is_first_try = self._admin_retry_timer is None
        self._admin_retry_timer = None
        try:
            self.admin.listen(self.admin_address)
        except OSError as error:
            if is_first_try:
                address = format_address(self.admin_address)
                log.warning("admin server cannot listen on %s, will retry: %s", address, error.strerror)
            self._admin_retry_timer = self.loop.call_later(ADMIN_RETRY_DELAY, self._start_admin_server)

    async def _wait_for_first_list(self) -> None:
        """Wait for the first answer of discovery; the cached endpoint list is used if it is late."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.first_list_timeout):
                await self.discovery.first_response_received.wait()

    async def stop(self, accept_window: float = ACCEPT_WINDOW, shutdown_timeout: float | None = None) -> None:
        """Shut down gracefully: wait until every received request has its response, then close everything.

        Both times are in seconds; by default `shutdown_timeout` is what the settings leave before SIGKILL.
        """
        if shutdown_timeout is None:
            shutdown_timeout = self.shutdown_timeout
        await GracefulShutdown(self.listener, self.dispatcher, shutdown_timeout).run(accept_window)
        self._close()

    def _close(self) -> None:
        """Close the remaining components after all client connections are closed."""
        self.discovery.stop()
        self.reloader.close()
        if self._admin_retry_timer is not None:
            self._admin_retry_timer.cancel()
        self.admin.close()
        if self.hot_restart is not None:
            self.hot_restart.close()
        self.pool.close()
        if self.dispatcher.counter is not None:
            self.dispatcher.counter.close()
