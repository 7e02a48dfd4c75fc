"""Coordinates a hot restart, in which a newer process of a gateway takes over from an older one.

The older process listens on a Unix socket in a folder that both share. The newer one requests the older
one's state, restores it, and announces when it serves clients. From then until one of them ends, each sends
the other the operators' commands and the units that it charges. When the link closes, the other process has
ended.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Iterator

from quota_gateway.discovery.endpoint_update import EndpointEntry
from quota_gateway.dispatch.dispatcher import RequestDispatcher
from quota_gateway.hot_restart.messages import (
    Hello,
    Message,
    Notification,
    OperatorCommand,
    Serving,
    StateTransfer,
    encode_endpoint_list,
)
from quota_gateway.hot_restart.process_link import ProcessLink
from quota_gateway.hot_restart.shared_folder import SOCKET_NAME, SharedFolder
from quota_gateway.model.charges import CallsSent, UnitsCharged
from quota_gateway.model.events import PeerProcessChanged, SetDraining, SetMaintenance, StateSnapshot
from quota_gateway.policy.repeated_calls import RepeatedCalls
from quota_gateway.sockets.acceptor import Acceptor
from quota_gateway.transient_errors import is_transient

STATE_TRANSFER_TIMEOUT = 2.0  # seconds; an older process that hangs must not delay the start longer
SHARED_CAPACITY_FRACTION = 0.5  # fraction of the upstream connections that each of two processes may use
UNKNOWN_ADDRESS = ("", 0)  # address sent for an endpoint without connections
RETRY_DELAY = 0.1  # seconds after which a failed access to the folder or a failed accept is retried

log = logging.getLogger("quota_gateway")


class HotRestartCoordinator:
    """Links this process to an older one when it starts, and later to a newer one."""

    def __init__(
        self,
        shared_folder: str,
        dispatcher: RequestDispatcher,
        list_received: asyncio.Event,
        on_superseded: Callable[[bool], None],
    ) -> None:
        """Initialize the coordinator; `shared_folder` is the path of the folder that the processes share.

        `list_received` is set once discovery has sent an endpoint list, which is newer than a restored one.
        `on_superseded` is called with True when a newer process serves, and with False when it has ended.
        """
        self.dispatcher = dispatcher
        self.list_received = list_received
        self.on_superseded = on_superseded
        self.loop = asyncio.get_running_loop()
        self.links: set[ProcessLink] = set()
        self.successor: ProcessLink | None = None  # link to the newer process, once it serves
        self._folder = SharedFolder(shared_folder)
        self._acceptor = Acceptor(self._create_link, RETRY_DELAY)
        self._publish_timer: asyncio.TimerHandle | None = None  # scheduled retry of publishing the socket
        self._is_closed = False
        self._is_serving = False
        self._search_task: asyncio.Task[None] | None = None  # search for the older process
        self._restore_finished = asyncio.Event()
        # operators' commands to apply again after the restore; None once no more state can arrive
        self._deferred_commands: list[OperatorCommand] | None = []

    async def restore_from_older_process(self) -> None:
        """Request and restore an older process's state; continue without it if it does not arrive in time."""
        self._search_task = self.loop.create_task(self._link_to_older_process())
        try:
            async with asyncio.timeout(STATE_TRANSFER_TIMEOUT):
                await asyncio.shield(self._search_task)  # the search continues after a timeout
                if self.links:
                    await self._restore_finished.wait()
        except TimeoutError:
            log.warning("the older process did not send its state in time")

    def is_older_process_linked(self) -> bool:
        """Return whether an older process has sent its state and its link is still open."""
        return bool(self.links) and self._restore_finished.is_set()

    async def _link_to_older_process(self) -> None:
        """Request the older process's state once it is found, which may be after this process serves."""
        connection = await self._connect_to_older_process()
        if connection is None:
            self._deferred_commands = None
            return
        try:
            _, link = await self.loop.create_unix_connection(self._create_link, sock=connection)
        except OSError as error:  # it has just ended, or memory is short: clients are served without the link
            log.warning("failed to connect to the older process: %s", error.strerror or error)
            connection.close()
            self._deferred_commands = None
            return
        link.send(Hello())
        if self._is_serving:
            link.send(Serving())

    async def _connect_to_older_process(self) -> socket.socket | None:
        """Return a connection to the older process, or None; retry while access to the folder fails."""
        while True:
            try:
                return await self._connect()
            except OSError as error:
                if not is_transient(error):  # there is no socket, or no process listens on it
                    return None
            await asyncio.sleep(RETRY_DELAY)

    async def _connect(self) -> socket.socket:
        connection = _unix_socket()
        try:
            await self.loop.sock_connect(connection, self._folder.socket_path(SOCKET_NAME))
        except BaseException:  # cancellation included
            connection.close()
            raise
        return connection

    def announce_serving(self) -> None:
        """Notify the older process that this one serves clients, and listen for a newer process."""
        self._is_serving = True
        for link in self.links:
            link.send(Serving())
        if self._search_task is not None and not self._search_task.done():
            # publishing replaces the older process's socket, which the search still needs
            self._search_task.add_done_callback(self._publish_after_search)
        else:
            self._publish()

    def _publish_after_search(self, search: asyncio.Task[None]) -> None:
        if not self._is_closed:
            self._publish()

    def _publish(self) -> None:
        """Listen for a newer process on a socket in the folder; retry while that fails."""
        is_first_try = self._publish_timer is None
        if self._publish_timer is not None:
            self._publish_timer.cancel()
            self._publish_timer = None
        listener: socket.socket | None = None
        try:
            listener = _unix_socket()
            self._folder.publish(listener)
        except OSError as error:  # clients are served regardless
            if listener is not None:
                listener.close()
            if is_first_try:
                log.warning("failed to listen for a newer process, retrying: %s", error.strerror or error)
            self._publish_timer = self.loop.call_later(RETRY_DELAY, self._publish)
            return
        self._acceptor.close()
        self._acceptor.start(listener)

    def notify_peer(self, notification: Notification) -> None:
        """Send an operator's command, units charged here or calls sent on, to the other process if any."""
        if not isinstance(notification, UnitsCharged | CallsSent):
            self._defer_command(notification)
        for link in self.links:
            link.send(notification)

    def _defer_command(self, command: OperatorCommand) -> None:
        """Keep a command to apply again, while a state saved before it may still arrive."""
        is_searching = self._search_task is not None and not self._search_task.done()
        if self._deferred_commands is not None and (self.links or is_searching):
            self._deferred_commands.append(command)

    def close(self) -> None:
        """Stop listening and close the links."""
        self._is_closed = True
        if self._search_task is not None:
            self._search_task.cancel()
        if self._publish_timer is not None:
            self._publish_timer.cancel()
        self._acceptor.close()
        for link in list(self.links):
            link.close()
        self._folder.close()

    def link_opened(self, link: ProcessLink) -> None:
        """Share the upstream connections with the other process."""
        self.links.add(link)
        self._update_peer_state()

    def link_closed(self, link: ProcessLink) -> None:
        """Reclaim the upstream connections, and accept clients again if the newer process has ended."""
        self.links.discard(link)
        self._update_peer_state()
        if link is self.successor:
            self.successor = None
            self.on_superseded(False)
            if not self._is_closed:
                self._publish()  # the newer process had replaced this one's socket
        self._restore_finished.set()

    def handle_message(self, link: ProcessLink, message: Message) -> None:
        """Handle a message from the other process; raises HotRestartError if its contents are malformed."""
        match message:
            case Hello():
                link.send(self._state_transfer())
                link.send(calls_sent(self.dispatcher.repeated_calls))
            case StateTransfer():
                self._restore(message)
            case Serving():
                self.successor = link
                self.on_superseded(True)
            case CallsSent():
                record_calls(self.dispatcher.repeated_calls, message, self.dispatcher.clock())
            case UnitsCharged() | SetDraining() | SetMaintenance():
                self.dispatcher.post(message)  # the endpoint may not be in this process's list yet

    def _create_link(self) -> ProcessLink:
        return ProcessLink(self)

    def _update_peer_state(self) -> None:
        self.dispatcher.pool.capacity_fraction = SHARED_CAPACITY_FRACTION if self.links else 1.0
        self.dispatcher.post(PeerProcessChanged(bool(self.links)))

    def _state_transfer(self) -> StateTransfer:
        state = self.dispatcher.state_snapshot().state
        return StateTransfer(state, encode_endpoint_list(self._endpoint_entries()))

    def _endpoint_entries(self) -> Iterator[EndpointEntry]:
        for endpoint_state in self.dispatcher.engine.endpoints.values():
            connections = self.dispatcher.pool.endpoints.get(endpoint_state.endpoint.endpoint_id)
            address = connections.address if connections is not None else UNKNOWN_ADDRESS
            yield EndpointEntry(endpoint_state.endpoint, address)

    def _restore(self, transfer: StateTransfer) -> None:
        if not self.list_received.is_set():  # discovery's list is newer than the transferred one
            self.dispatcher.apply_endpoint_update(transfer.endpoint_update())
        self.dispatcher.post(StateSnapshot(transfer.state))
        commands = self._deferred_commands or []
        self._deferred_commands = None
        for command in commands:
            self.dispatcher.post(command)
        self._restore_finished.set()


def calls_sent(repeated_calls: RepeatedCalls) -> CallsSent:
    """Return the message with all calls that the other process must not execute."""
    return CallsSent(tuple(call_id.decode() for call_id in repeated_calls.ids()))


def record_calls(repeated_calls: RepeatedCalls, message: CallsSent, now: float) -> None:
    """Remember the calls that the other process has sent on."""
    for call_id in message.call_ids:
        repeated_calls.add(call_id.encode(), now)


def _unix_socket() -> socket.socket:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock
