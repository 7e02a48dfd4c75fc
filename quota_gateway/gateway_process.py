"""The parts of one gateway process, from its start to its end on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import time
from collections.abc import Callable

from quota_gateway.admin.server import AdminOperations, AdminServer
from quota_gateway.configuration.file import Configuration, read_configuration
from quota_gateway.counter.client import CounterClient
from quota_gateway.discovery.client import DiscoveryClient, poll_schedule_for
from quota_gateway.dispatch.dispatcher import RequestDispatcher
from quota_gateway.downstream.client_listener import ClientListener
from quota_gateway.errors import ConfigurationError
from quota_gateway.hot_restart.coordinator import HotRestartCoordinator
from quota_gateway.model.charges import UnitsCharged
from quota_gateway.policy.engine import PolicyEngine
from quota_gateway.sockets.listening import bind, inherit
from quota_gateway.upstream.connection_pool import ConnectionPool

RESERVE = 64  # descriptors kept for the listener, discovery, the counter, and what the run-time itself needs
RESERVE_PART = 0.25  # of the descriptors, at most, that this may be
CLIENTS_PART = 0.6  # of the other descriptors: held requests need none at the backends' side
FIRST_LIST_WITHIN = 1.0  # seconds to wait for discovery's own word, at most
STILL_COMING = 0.5  # seconds after SIGTERM in which clients still connect, by the protocol, and a little
MOST_DEADLINE, KILLED_AFTER = 3.0, 0.7  # seconds: the longest deadline that counts, and SIGKILL past it
BEFORE_KILL = 0.3  # seconds before that by which all is answered
LAST_READ = 0.15  # seconds in which the last connections taken in bring what was already sent on them
LAST_LOOK = 0.02  # seconds for what came just then to be read
LAST_BYTES = 0.25  # seconds for clients to take what was written to them

log = logging.getLogger("quota_gateway")


def start_clock() -> Callable[[], float]:
    """Unix time that never jumps: periods and backends' starts are told by it at every gateway alike."""
    began = time.time() - time.monotonic()
    monotonic = time.monotonic
    return lambda: began + monotonic()


class GatewayProcess:
    """The parts of one gateway, from start to stop."""

    def __init__(self, told: Configuration) -> None:
        clock = start_clock()
        self.loop = asyncio.get_running_loop()
        free = told.max_descriptors - min(RESERVE, int(told.max_descriptors * RESERVE_PART))
        clients = int(free * CLIENTS_PART)
        self.pool = ConnectionPool(
            clock,
            told.connection_limits.connect_timeout,
            told.connection_limits.keepalive_timeout,
            free - clients,
        )
        self.dispatcher = RequestDispatcher(PolicyEngine(told.settings, told.seed, clock()), clock, self.pool)
        if told.counter is not None:
            self.dispatcher.counter = CounterClient(
                clock,
                told.counter,
                told.settings.counter_timeout,
                told.connection_limits.connect_timeout,
                self.dispatcher.handle_counter_reply,
            )
        self.dispatcher.apply_endpoint_update(told.known_endpoints)
        self.discovery = DiscoveryClient(
            told.discovery,
            told.connection_limits.connect_timeout,
            self.dispatcher.apply_endpoint_update,
            told.known_endpoints.generation if told.known_endpoints.entries else None,
            poll_schedule_for(
                told.settings.gateway_count,
                told.settings.endpoint_list_pushed,
                told.connection_limits.drain_timeout,
            ),
            self.handle_descriptor_exhaustion,
        )
        self.pool.on_descriptor_exhaustion = self.handle_descriptor_exhaustion
        if self.dispatcher.counter is not None:
            self.dispatcher.counter.on_descriptor_exhaustion = self.handle_descriptor_exhaustion
        # its agent is on this machine: what takes longer than a dial stands in a line, and clients wait too
        self.first_list_timeout = min(FIRST_LIST_WITHIN, told.connection_limits.connect_timeout)
        deadline = max(c.deadline for c in told.settings.request_classes)
        self.answer_timeout = min(deadline, MOST_DEADLINE) + KILLED_AFTER - BEFORE_KILL  # after SIGTERM
        self.listener = ClientListener(self.dispatcher, told.settings, clock, clients, self.is_serving)
        self.dispatcher.drain_clients = self.listener.drain
        self.listen_address, self.listen_descriptor = told.listen_address, told.listen_descriptor
        self.hot_restart: HotRestartCoordinator | None = None
        if (
            told.listen_descriptor is not None and told.shared_folder is not None
        ):  # else no other process can take over
            self.hot_restart = HotRestartCoordinator(
                told.shared_folder, self.dispatcher, self.discovery.answered, self.listener.set_superseded
            )
            self.dispatcher.report_units = self.forward_units
        self.admin_address = told.admin_address
        self.admin = AdminServer(
            AdminOperations(self.is_healthy, self.metrics_text, self.set_maintenance, self.set_draining)
        )
        self.configured_addresses = told.file_discovery, told.counter
        self.list_settled = False  # the list is discovery's own, or as good as can be had

    def handle_descriptor_exhaustion(self) -> None:
        self.listener.handle_descriptor_exhaustion()

    def is_serving(self) -> bool:
        return self.list_settled and self.dispatcher.engine.accepts_clients()

    def set_maintenance(self, backend: str, out: bool) -> bool:
        known = self.dispatcher.set_maintenance(backend, out)
        if known and self.hot_restart is not None:
            self.hot_restart.broadcast(maintain=[backend, out])
        return known

    def set_draining(self, on: bool) -> None:
        self.dispatcher.set_draining(on)
        if self.hot_restart is not None:
            self.hot_restart.broadcast(drain=on)

    def forward_units(self, charged: UnitsCharged) -> None:
        if self.hot_restart is not None:
            self.hot_restart.broadcast(
                charged=[charged.customer, charged.plan, charged.quota_spread, charged.units]
            )

    def is_healthy(self) -> bool:
        return self.listener.is_ready() and not self.listener.stopping

    def metrics_text(self) -> str:
        return self.dispatcher.metrics.text(self.dispatcher.gauges())

    async def run(self) -> None:
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, stop.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        await self.start()
        gc.freeze()  # what start-up made stays: no need to look through it again
        await stop.wait()
        await self.stop()

    async def start(self) -> None:
        self.open_admin()
        if self.listen_descriptor is None:
            self.listener.listen(bind(self.listen_address))
        self.discovery.start()
        inheriting = (
            self.loop.create_task(self.hot_restart.restore_from_older())
            if self.hot_restart is not None
            else None
        )
        try:
            async with asyncio.timeout(self.first_list_timeout):
                await self.discovery.answered.wait()
        except TimeoutError:
            pass
        if inheriting is not None:
            await inheriting
        self.list_settled = True
        if self.listen_descriptor is not None:  # what waits there is left to an older process until now
            self.listener.listen(inherit(self.listen_descriptor))
        if self.hot_restart is not None:
            self.hot_restart.announce_serving()

    def open_admin(self) -> None:
        if self.admin_address is None:
            return
        try:
            self.admin.listen(self.admin_address)
        except OSError as error:  # clients are served all the same
            log.warning("no console at %s:%d: %s", *self.admin_address, error.strerror)

    def reload(self) -> None:
        """Moves discovery and counter to where the file says now; without a usable file nothing changes."""
        try:
            fresh = read_configuration(dict(os.environ))
        except ConfigurationError as error:
            self.dispatcher.metrics.reloaded(False)
            return log.warning("the configuration stays as it was: %s", error)
        self.dispatcher.metrics.reloaded(True)
        # an address in the environment holds until the file's own is changed: that is the later word
        before, self.configured_addresses = self.configured_addresses, (fresh.file_discovery, fresh.counter)
        if fresh.file_discovery is not None and fresh.file_discovery != before[0]:
            self.discovery.move(fresh.file_discovery)
        counter = self.dispatcher.counter
        if counter is not None and fresh.counter is not None and fresh.counter != before[1]:
            counter.move(fresh.counter)
        return None

    async def stop(self, still_coming: float = STILL_COMING, all_answered: float | None = None) -> None:
        """Takes what still comes, answers all of it, and leaves nothing behind."""
        began = self.loop.time()
        end = began + (self.answer_timeout if all_answered is None else all_answered)
        self.listener.stopping = True
        await asyncio.sleep(still_coming)
        while not self.listener.stop_listening() and self.loop.time() < end:
            await asyncio.sleep(LAST_LOOK)  # for room: what waits there would be reset
        await asyncio.sleep(LAST_READ)
        self.listener.close_idle()
        await asyncio.sleep(LAST_LOOK)
        while await self.dispatcher.wait_until_answered(end - self.loop.time()):
            self.listener.close_idle()
            if not self.listener.has_open_connections() or self.loop.time() >= end:
                break
            await asyncio.sleep(LAST_LOOK)  # the rest of one half read, which may have come by then
        self.dispatcher.fail_all_unanswered()
        self.listener.close_idle()
        await self.listener.wait_until_flushed(LAST_BYTES)
        self.listener.close()
        self.discovery.stop()
        self.admin.close()
        if self.hot_restart is not None:
            self.hot_restart.close()
        self.pool.close()
        if self.dispatcher.counter is not None:
            self.dispatcher.counter.close()
