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

from quota_gateway.discovery.client import Entry, Listing
from quota_gateway.dispatch.dispatcher import Driver
from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.endpoints import Endpoint, EndpointListKind, EndpointStatus
from quota_gateway.model.events import PeerProcessChanged, StateSnapshot

NAME = "embersill.handover"  # of the socket: processes of older versions look for it
ESTATE_WITHIN = 2.0  # seconds for the older process to give its estate: it may be slow, or hang
MOST_MESSAGE = 16 * 1024 * 1024  # bytes: an estate of a hundred thousand customers
SHARED = 0.5  # of the connections to backends that each may have while both live

log = logging.getLogger("quota_gateway")
Message = dict[str, Any]


class Link(asyncio.Protocol):
    """One connection between two processes: a JSON object a line."""

    def __init__(self, handover: Handover, older: bool) -> None:
        self.handover, self.older = handover, older  # older: the process at the other end is
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.handover.opened(self)

    def tell(self, **message: Any) -> None:
        if self.transport is not None:
            self.transport.write(json.dumps(message).encode() + b"\n")

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = rest
        try:
            for line in lines:
                self.handover.heard(self, json.loads(line))
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
            self.handover.closed(self)


class Handover:
    """This process's links: to the older one as it starts, and to a newer one when that comes."""

    def __init__(
        self, folder: str, driver: Driver, list_heard: asyncio.Event, succeed: Callable[[bool], None]
    ) -> None:
        self.folder, self.driver, self.list_heard, self.succeed = folder, driver, list_heard, succeed
        self.descriptor = -1  # of the folder, where its path is too long for a socket's
        self.loop = asyncio.get_running_loop()
        self.links: set[Link] = set()
        self.heir: Link | None = None  # the newer one, once it serves
        self.inherited = asyncio.Event()
        self.words: list[Message] | None = []  # operators', as long as the estate may still come
        self.listener: socket.socket | None = None
        self.taking_in: set[asyncio.Task[Any]] = set()

    # the newer process's side

    async def inherit(self) -> None:
        """Asks an older process for its estate; without one, or with a silent one, it is done without."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(ESTATE_WITHIN):
                await self.loop.sock_connect(sock, self.path(NAME))
                _, link = await self.loop.create_unix_connection(lambda: Link(self, True), sock=sock)
                link.tell(hello=True)
                await self.inherited.wait()
        except TimeoutError:
            log.warning("the older process did not give its estate in time")
        except OSError:  # nobody is there, or only the file that one has left
            sock.close()
        if not self.links:
            self.words = None

    def serve(self) -> None:
        """From now on this process serves: it says so to the older one, and waits for a newer one."""
        for link in self.links:
            link.tell(serving=True)
        own = f"{NAME}.{os.getpid()}"
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        listener.setblocking(False)
        try:
            self.unlink(own)
            listener.bind(self.path(own))
            listener.listen()
            os.replace(os.path.join(self.folder, own), os.path.join(self.folder, NAME))
        except OSError as error:  # clients are served all the same
            listener.close()
            self.unlink(own)
            return log.warning("a newer process will not find this one: %s", error.strerror or error)
        self.listener = listener
        self.loop.add_reader(listener, self.accept)
        return None

    def unlink(self, name: str) -> None:
        try:
            os.unlink(os.path.join(self.folder, name))
        except OSError:
            pass

    def path(self, name: str) -> str:
        """A socket's path has room for some hundred bytes; a long folder is reached by its descriptor."""
        path = os.path.join(self.folder, name)
        if len(os.fsencode(path)) < 100:
            return path
        if self.descriptor < 0:
            self.descriptor = os.open(self.folder, os.O_PATH | os.O_DIRECTORY)
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
        task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: Link(self, False), sock))
        self.taking_in.add(task)
        task.add_done_callback(self.taking_in.discard)

    # both

    def opened(self, link: Link) -> None:
        self.links.add(link)
        self.pair()

    def closed(self, link: Link) -> None:
        self.links.discard(link)
        self.pair()
        if link is self.heir:
            self.heir = None
            self.succeed(False)
        self.inherited.set()

    def pair(self) -> None:
        self.driver.pool.share = SHARED if self.links else 1.0
        self.driver.post(PeerProcessChanged(bool(self.links)))

    def heard(self, link: Link, message: Message) -> None:
        if "hello" in message:
            link.tell(estate=self.driver.estate().state, list=write_list(self.driver))
        elif "estate" in message:
            self.take_over(message)
        elif "serving" in message:
            self.heir = link
            self.succeed(True)
        elif "charged" in message:
            self.driver.post(UnitsCharged(*message["charged"]))
        else:
            self.obey(message)

    def take_over(self, message: Message) -> None:
        if not self.list_heard.is_set():  # what the older one was told is newer than what was remembered
            self.driver.list_told(read_list(message["list"]))
        self.driver.post(StateSnapshot(message["estate"]))
        words, self.words = self.words, None
        for word in words or ():
            self.obey(word)
        self.inherited.set()

    def obey(self, message: Message) -> None:
        if "drain" in message:
            self.driver.drain(message["drain"])
        elif "maintain" in message:
            self.driver.maintain(*message["maintain"])

    def tell(self, **message: Any) -> None:
        """An operator's word, or units sent on, to the other process if there is one."""
        if self.words is not None and self.links and "charged" not in message:
            self.words.append(message)
        for link in self.links:
            link.tell(**message)

    def close(self) -> None:
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        for link in list(self.links):
            link.close()


def write_list(driver: Driver) -> list[Any]:
    backends = (s.backend for s in driver.gateway.endpoints.values())
    lines = driver.pool.lines
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


def read_list(rows: list[Any]) -> Listing:
    entries = tuple(
        Entry(Endpoint(address, zone, kind, cell, EndpointStatus(status), rating, started), (host, port))
        for address, zone, kind, cell, status, rating, started, host, port in rows
    )
    return Listing(EndpointListKind.CACHED, 0, entries)
