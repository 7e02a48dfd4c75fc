"""The link between the two processes of an upgrade, over a socket in the folder that they share.

The older one listens. The newer one asks for the older one's estate, says when it serves, and from then on
both tell each other what operators say and what they send on. The link's end tells that the other is gone.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
from collections.abc import Callable
from typing import Any, cast

from quota_gateway.discovery.endpoint_update import EndpointEntry, EndpointUpdate
from quota_gateway.dispatch.dispatcher import RequestDispatcher
from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.endpoints import Endpoint, EndpointListKind, EndpointStatus
from quota_gateway.model.events import PeerProcessChanged, StateSnapshot

NAME = "embersill.handover"  # of the socket: processes of older versions look for it
ESTATE_WITHIN = 2.0  # seconds for the older process to give its estate: it may be slow, or hang
MOST_MESSAGE = 16 * 1024 * 1024  # bytes: an estate of a hundred thousand customers
SHARED = 0.5  # of the connections to backends that each may have while both live

log = logging.getLogger("quota_gateway")
Message = dict[str, Any]


class ProcessLink(asyncio.Protocol):
    """One connection between two processes: a JSON object a line."""

    def __init__(self, handover: HotRestartCoordinator, older: bool) -> None:
        self.coordinator, self.peer_is_older = handover, older  # older: the process at the other end is
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.coordinator.opened(self)

    def send(self, **message: Any) -> None:
        if self.transport is not None:
            self.transport.write(json.dumps(message).encode() + b"\n")

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = rest
        try:
            for line in lines:
                self.coordinator.handle_message(self, json.loads(line))
        except Exception:  # the other may be of any version: what it says must not harm this one
            log.exception("a message of the other process went wrong")
            self.close()
        if len(self.buffer) > MOST_MESSAGE:
            self.close()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None:
            self.transport = None
            self.coordinator.closed(self)


class HotRestartCoordinator:
    """This process's links: to the older one as it starts, and to a newer one when that comes."""

    def __init__(
        self,
        folder: str,
        driver: RequestDispatcher,
        list_heard: asyncio.Event,
        succeed: Callable[[bool], None],
    ) -> None:
        self.shared_folder, self.dispatcher, self.list_received, self.on_superseded = (
            folder,
            driver,
            list_heard,
            succeed,
        )
        self.descriptor = -1  # of the folder, where its path is too long for a socket's
        self.loop = asyncio.get_running_loop()
        self.links: set[ProcessLink] = set()
        self.successor: ProcessLink | None = None  # the newer one, once it serves
        self.restored = asyncio.Event()
        self.deferred_commands: list[Message] | None = []  # operators', as long as the estate may still come
        self.listener: socket.socket | None = None
        self.taking_in: set[asyncio.Task[Any]] = set()

    # the newer process's side

    async def restore_from_older(self) -> None:
        """Asks an older process for its estate; without one, or with a silent one, it is done without."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(ESTATE_WITHIN):
                await self.loop.sock_connect(sock, self.path(NAME))
                _, link = await self.loop.create_unix_connection(lambda: ProcessLink(self, True), sock=sock)
                link.send(hello=True)
                await self.restored.wait()
        except TimeoutError:
            log.warning("the older process did not give its estate in time")
        except OSError:  # nobody is there, or only the file that one has left
            sock.close()
        if not self.links:
            self.deferred_commands = None

    def announce_serving(self) -> None:
        """From now on this process serves: it says so to the older one, and waits for a newer one."""
        for link in self.links:
            link.send(serving=True)
        own = f"{NAME}.{os.getpid()}"
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        listener.setblocking(False)
        try:
            self.unlink(own)
            listener.bind(self.path(own))
            listener.listen()
            os.replace(os.path.join(self.shared_folder, own), os.path.join(self.shared_folder, NAME))
        except OSError as error:  # clients are served all the same
            listener.close()
            self.unlink(own)
            return log.warning("a newer process will not find this one: %s", error.strerror or error)
        self.listener = listener
        self.loop.add_reader(listener, self.accept)
        return None

    def unlink(self, name: str) -> None:
        try:
            os.unlink(os.path.join(self.shared_folder, name))
        except OSError:
            pass

    def path(self, name: str) -> str:
        """A socket's path has room for some hundred bytes; a long folder is reached by its descriptor."""
        path = os.path.join(self.shared_folder, name)
        if len(os.fsencode(path)) < 100:
            return path
        if self.descriptor < 0:
            self.descriptor = os.open(self.shared_folder, os.O_PATH | os.O_DIRECTORY)
        return f"/proc/self/fd/{self.descriptor}/{name}"

    # the older process's side

    def accept(self) -> None:
        if self.listener is None:
            return
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        task = self.loop.create_task(
            self.loop.connect_accepted_socket(lambda: ProcessLink(self, False), sock)
        )
        self.taking_in.add(task)
        task.add_done_callback(self.taking_in.discard)

    # both

    def opened(self, link: ProcessLink) -> None:
        self.links.add(link)
        self.update_peer_state()

    def closed(self, link: ProcessLink) -> None:
        self.links.discard(link)
        self.update_peer_state()
        if link is self.successor:
            self.successor = None
            self.on_superseded(False)
        self.restored.set()

    def update_peer_state(self) -> None:
        self.dispatcher.pool.capacity_fraction = SHARED if self.links else 1.0
        self.dispatcher.post(PeerProcessChanged(bool(self.links)))

    def handle_message(self, link: ProcessLink, message: Message) -> None:
        if "hello" in message:
            link.send(estate=self.dispatcher.state_snapshot().state, list=write_list(self.dispatcher))
        elif "estate" in message:
            self.restore(message)
        elif "serving" in message:
            self.successor = link
            self.on_superseded(True)
        elif "charged" in message:
            self.dispatcher.post(UnitsCharged(*message["charged"]))
        else:
            self.apply_command(message)

    def restore(self, message: Message) -> None:
        if not self.list_received.is_set():  # what the older one was told is newer than what was remembered
            self.dispatcher.apply_endpoint_update(read_list(message["list"]))
        self.dispatcher.post(StateSnapshot(message["estate"]))
        words, self.deferred_commands = self.deferred_commands, None
        for word in words or ():
            self.apply_command(word)
        self.restored.set()

    def apply_command(self, message: Message) -> None:
        if "drain" in message:
            self.dispatcher.set_draining(message["drain"])
        elif "maintain" in message:
            self.dispatcher.set_maintenance(*message["maintain"])

    def broadcast(self, **message: Any) -> None:
        """An operator's word, or units sent on, to the other process if there is one."""
        if self.deferred_commands is not None and self.links and "charged" not in message:
            self.deferred_commands.append(message)
        for link in self.links:
            link.send(**message)

    def close(self) -> None:
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        for link in list(self.links):
            link.close()


def write_list(driver: RequestDispatcher) -> list[Any]:
    backends = (s.backend for s in driver.engine.endpoints.values())
    lines = driver.pool.endpoints
    return [
        [
            b.endpoint_id,
            b.zone,
            b.machine_type,
            b.cell,
            b.status.value,
            b.weight,
            b.started_at,
            *(lines[b.endpoint_id].address if b.endpoint_id in lines else ("", 0)),
        ]
        for b in backends
    ]


def read_list(rows: list[Any]) -> EndpointUpdate:
    entries = tuple(
        EndpointEntry(
            Endpoint(address, zone, kind, cell, EndpointStatus(status), rating, started), (host, port)
        )
        for address, zone, kind, cell, status, rating, started, host, port in rows
    )
    return EndpointUpdate(EndpointListKind.CACHED, 0, entries)
