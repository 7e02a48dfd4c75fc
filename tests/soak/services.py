"""Fake discovery agents, which share one list of endpoints, and the fake counter of a run."""

from __future__ import annotations

import asyncio
import json
import re
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from tests.fakes import FakeCounter, FakeServer, http_response, read_message
from tests.soak.event_log import EventLog


class ServiceMode(StrEnum):
    """How a service behaves."""

    SERVES = "serves"
    UNRESPONSIVE = "unresponsive"  # accepts calls and answers none
    OVERLOADED = "overloaded"  # answers that it has no capacity
    DOWN = "down"  # resets all connections, new and open ones


@dataclass
class EndpointList:
    """The list of endpoints, with the generation in which each entry changed last."""

    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    generations: dict[str, int] = field(default_factory=dict)
    generation: int = 1
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def publish(self, entry: dict[str, Any]) -> None:
        """Replace an entry and wake up the calls that wait for a change."""
        async with self.changed:
            self.generation += 1
            self.entries[entry["instanceId"]] = entry
            self.generations[entry["instanceId"]] = self.generation
            self.changed.notify_all()

    def changed_since(self, generation: int) -> list[dict[str, Any]]:
        """Return the entries that changed after a generation."""
        return [
            self.entries[name] for name, changed_in in self.generations.items() if changed_in > generation
        ]


class Agent(FakeServer):
    """A discovery agent of one gateway."""

    def __init__(self, gateway: int, endpoints: EndpointList, log: EventLog) -> None:
        super().__init__()
        self.gateway = gateway
        self.endpoints = endpoints
        self.log = log
        self.mode = ServiceMode.SERVES

    def set_mode(self, mode: ServiceMode) -> None:
        """Change the mode, also for calls that are waiting; being down resets all open connections."""
        self.mode = mode
        self.log.write("agent_mode_changed", gateway=self.gateway, mode=mode)
        if mode is ServiceMode.DOWN:
            for writer in list(self.open_writers):
                writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer polls and long polls on one connection."""
        if self.mode is ServiceMode.DOWN:
            writer.transport.abort()
            return
        while True:
            request = await read_message(reader)
            since = re.search(r"since=(\d+)", request.start_line)
            timeout = re.search(r"timeout_ms=(\d+)", request.start_line)
            known_generation = int(since[1]) if since is not None else 0
            if since is not None and timeout is not None:
                await self.wait_for_change(known_generation, int(timeout[1]) / 1000)
            if self.mode is ServiceMode.UNRESPONSIVE:
                await asyncio.sleep(30.0)
                return
            if self.mode is ServiceMode.OVERLOADED:
                writer.write(http_response(503, b"", "Retry-After: 1"))
                continue
            writer.write(http_response(200, self.changes_since(known_generation)))

    async def wait_for_change(self, known_generation: int, seconds: float) -> None:
        """Wait until the list is newer than a generation, but at most `seconds`."""
        endpoints = self.endpoints
        try:
            async with asyncio.timeout(seconds), endpoints.changed:
                await endpoints.changed.wait_for(lambda: endpoints.generation > known_generation)
        except TimeoutError:
            pass

    def changes_since(self, known_generation: int) -> bytes:
        """Return and log the entries changed since a generation; 0 gives the complete list."""
        endpoints = self.endpoints
        entries = (
            endpoints.changed_since(known_generation)
            if known_generation
            else list(endpoints.entries.values())
        )
        for entry in entries:
            self.log.write(
                "endpoint_reported",
                gateway=self.gateway,
                backend=entry["instanceId"],
                lifecycle=entry["lifecycle"],
            )
        document = {"generation": endpoints.generation, "reset": not known_generation, "instances": entries}
        return json.dumps(document).encode()


class SoakCounter(FakeCounter):
    """A counter that can be unresponsive or busy."""

    def __init__(self) -> None:
        super().__init__()
        self.mode = ServiceMode.SERVES

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        while True:
            increment = await self.read_increment(reader)
            if self.mode is ServiceMode.UNRESPONSIVE:
                continue
            if self.mode is ServiceMode.OVERLOADED:
                writer.write(b"-BUSY\r\n")
                continue
            total = self.totals.get(increment.key, 0.0) + increment.amount
            self.totals[increment.key] = total
            writer.write(self.bulk_string(f"{total:.7g}"))
