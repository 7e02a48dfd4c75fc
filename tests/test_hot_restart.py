"""Upgrades: two processes at one inherited descriptor, and what goes from the older to the newer."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from quota_gateway.hot_restart import coordinator
from quota_gateway.hot_restart.coordinator import NAME
from quota_gateway.model.actions import StartAttempt
from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.events import PeerProcessChanged, SetDraining, SetMaintenance, StateSnapshot
from quota_gateway.model.outcomes import Outcome
from tests.fakes import HOST, SOON, serve_after
from tests.harness import READY, Client, GatewayHarness, request, roomy_settings, run, running
from tests.policy_harness import ended, gateway
from tests.policy_harness import request as asked_for
from tests.test_gateway_process import ROOT, RUN


def sent_on(made: Any, number: int, units: float, now: float = 100.0) -> list[Any]:
    return [
        a
        for a in made.handle(asked_for(number, units=units), now)
        if isinstance(a, StartAttempt | UnitsCharged)
    ]


def handed(made: Any) -> StateSnapshot:
    """The estate as it comes through the link."""
    return StateSnapshot(json.loads(json.dumps(made.snapshot().state)))


def test_a_quota_spent_at_the_older_process_is_spent_at_the_newer() -> None:
    old, new = gateway(), gateway()
    bank = 4.0  # half of the plan's burst
    assert len(sent_on(old, 1, bank)) == 1
    new.handle(handed(old), 100.0)
    assert new.limiters.limiters["c"].balance == 0.0 and not sent_on(new, 2, 1.0)


def test_requests_held_at_the_older_process_are_charged_when_they_are_sent_on() -> None:
    old, new = gateway(), gateway()
    sent_on(old, 1, 4.0)
    assert not sent_on(old, 2, 0.5) and old.limiters.limiters["c"].queued_units == 0.5
    new.handle(handed(old), 100.0)
    assert new.limiters.limiters["c"].balance == 0.0


def test_what_one_of_two_sends_on_is_taken_at_the_other() -> None:
    old, new = gateway(settles_actual_units=True), gateway(settles_actual_units=True)
    new.handle(handed(old), 100.0)
    assert not [a for a in sent_on(old, 1, 1.0) if isinstance(a, UnitsCharged)]  # alone, it tells nobody
    for made in (old, new):
        made.handle(PeerProcessChanged(True), 100.0)
    actions = sent_on(old, 2, 2.0)
    charge = next(a for a in actions if isinstance(a, UnitsCharged))
    assert charge == UnitsCharged("c", "small", 2, 2.0)
    new.handle(charge, 100.0)
    assert new.limiters.limiters["c"].balance == 2.0
    where = next(a.endpoint_id for a in actions if isinstance(a, StartAttempt))
    settled = old.handle(ended(2, 0, where, Outcome.SUCCESS, true_units=3.0), 100.0)
    new.handle(next(a for a in settled if isinstance(a, UnitsCharged)), 100.0)
    assert new.limiters.limiters["c"].balance == 1.0


def test_bans_a_drain_and_a_return_go_over() -> None:
    old, new = gateway(), gateway(now=101.0)
    old.handle(SetMaintenance("a", True), 100.0)
    old.handle(SetMaintenance("b", True), 100.0)
    old.handle(SetMaintenance("b", False), 100.5)
    old.handle(SetDraining(True), 100.0)
    new.handle(handed(old), 101.0)
    assert (
        new.registry.under_maintenance == {"a"}
        and [s.endpoint.endpoint_id for s in new.registry.serving] == ["b"]
        and new.draining
    )
    assert new.slow_start.factor(new.endpoints["b"]) < 0.5


class Pair:
    """Processes of one gateway at one listening socket, as the platform starts them."""

    def __init__(self, bed: GatewayHarness, listener: socket.socket, folder: pathlib.Path) -> None:
        self.bed, self.listener, self.folder = bed, listener, folder
        self.children: list[asyncio.subprocess.Process] = []
        bed.port = listener.getsockname()[1]

    async def start(self) -> tuple[asyncio.subprocess.Process, int]:
        """A process that serves, and the port of its console."""
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            console = probe.getsockname()[1]
        path = self.folder / "config.json"
        env = roomy_settings()
        env["services"][0]["aim"] = env["services"][0]["deadline"] = 1e6  # no time-out ends one in a test
        path.write_text(json.dumps(self.bed.configuration(env, 1024)))
        descriptor = self.listener.fileno()
        child = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            RUN,
            cwd=ROOT,
            pass_fds=(descriptor,),
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                "RELAY_CONFIG": str(path),
                "RELAY_CONSOLE": f"{HOST}:{console}",
                "RELAY_SOCKET_FD": str(descriptor),
                "TMPDIR": str(self.folder),
            },
        )
        self.children.append(child)
        async with asyncio.timeout(SOON):
            while (await self.call(console, "GET", "/healthcheck")) != 200:
                await asyncio.sleep(0.01)
        return child, console

    async def call(self, console: int, method: str, path: str) -> int:
        self.bed.admin_port = console
        try:
            return (await self.bed.call(method, path))[0]
        except (OSError, asyncio.IncompleteReadError):
            return 0  # not there yet

    async def figures(self, console: int) -> dict[str, int]:
        self.bed.admin_port = console
        return await self.bed.metrics()

    async def served(self, number: int) -> int:
        client = await self.bed.client()
        status, _, _ = await client.ask(request(number, customer=f"{number:016x}"))
        client.writer.close()
        return status


@asynccontextmanager
async def pair(folder: pathlib.Path) -> AsyncIterator[Pair]:
    bed = GatewayHarness(2)
    for peer in (*bed.backends, bed.discovery, bed.counter):
        await peer.start()
    entries = [bed.discovery.entry(f"b{n}", b.address) for n, b in enumerate(bed.backends)]
    bed.discovery.entries = {e["instanceId"]: e for e in entries}
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen(128)
        made = Pair(bed, listener, folder)
        try:
            yield made
        finally:
            for child in made.children:
                if child.returncode is None:
                    child.kill()
                await child.communicate()
            for peer in (*bed.backends, bed.discovery, bed.counter):
                await peer.stop()


def test_an_upgrade_loses_nothing_and_keeps_the_operators_word(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with pair(tmp_path) as made:
            bed = made.bed
            old, old_console = await made.start()
            kept, held = await bed.client(), await bed.client()
            assert (await kept.ask(READY))[0] == 200
            assert await made.call(old_console, "POST", "/backends/b0/maint") == 200
            free = asyncio.Event()
            bed.backends[1].script = [serve_after(free)]
            held.send(request(1, budget=900.0))
            await bed.backends[1].until(lambda: len(bed.backends[1].seen) == 1)
            _, new_console = await made.start()
            async with asyncio.timeout(SOON):  # until the older one has heard that the newer one serves
                number = 10
                while (await made.figures(new_console))["success.lookup"] == 0:
                    number += 1
                    assert await made.served(number) == 200
            before = await made.figures(old_console)
            assert [await made.served(n) for n in range(50, 60)] == [200] * 10
            assert (await made.figures(old_console))["success.lookup"] == before["success.lookup"]
            status, headers, _ = await kept.ask(READY)
            assert status == 200 and headers["connection"] == "close" and await kept.closed()
            old.send_signal(signal.SIGTERM)
            free.set()
            assert (await held.answer())[0] == 200 and await held.closed()
            async with asyncio.timeout(SOON):
                assert await old.wait() == 0
            assert [await made.served(n) for n in range(60, 70)] == [200] * 10
            assert not bed.backends[0].seen and (await made.figures(new_console))["targets_disabled"] == 1

    run(test)


def test_an_operator_s_word_to_either_process_holds_for_both(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with pair(tmp_path) as made:
            _, old = await made.start()
            _, new = await made.start()
            for speaker, other in ((old, new), (new, old)):
                for word, disabled in (("maint", 1), ("ready", 0)):
                    assert await made.call(speaker, "POST", f"/backends/b0/{word}") == 200
                    async with asyncio.timeout(SOON):
                        while (await made.figures(other))["targets_disabled"] != disabled:
                            pass

    run(test)


def test_an_older_process_serves_on_if_the_newer_one_dies(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with pair(tmp_path) as made:
            _, old = await made.start()
            child, _ = await made.start()
            child.kill()
            await child.wait()
            waiting = await made.bed.client()  # the descriptor has it, whoever accepts
            assert (await waiting.ask(request(1)))[0] == 200
            assert (await waiting.ask(request(2)))[0] == 200  # and it is kept open again
            assert (await made.figures(old))["success.lookup"] >= 2
            _, again = await made.start()
            assert await made.call(again, "GET", "/healthcheck") == 200

    run(test)


@pytest.mark.parametrize("stale", ["file", "socket", "folder"])
def test_what_an_older_process_has_left_is_no_hindrance(stale: str, tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        path = tmp_path / NAME
        if stale == "file":
            path.write_text("left")
        elif stale == "folder":
            path.mkdir()
        else:
            with socket.socket(socket.AF_UNIX) as left:
                left.bind(str(path))
        async with pair(tmp_path) as made:
            await made.start()
            assert await made.served(1) == 200

    run(test)


def test_an_older_process_that_hangs_is_not_waited_for(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(coordinator, "ESTATE_WITHIN", 0.01)

    async def test() -> None:
        with socket.socket(socket.AF_UNIX) as hung:
            hung.bind(str(tmp_path / NAME))
            hung.listen()
            async with running() as bed:
                program = bed.process
                succession: list[bool] = []
                made = coordinator.HotRestartCoordinator(
                    str(tmp_path), program.dispatcher, program.discovery.answered, succession.append
                )
                await made.restore_from_older()
                assert len(made.links) == 1
                program.dispatcher.set_maintenance("b0", True)
                made.broadcast(maintain=["b0", True])
                older, _ = hung.accept()
                estate = {**program.dispatcher.state_snapshot().state, "banned": []}
                link = next(iter(made.links))
                link.data_received(json.dumps({"estate": estate, "list": []}).encode() + b"\n")
                assert program.dispatcher.engine.registry.under_maintenance == {
                    "b0"
                }  # what was said meanwhile holds
                link.data_received(b"[nonsense\n")
                made.close()
                older.close()
                client: Client = await bed.client()
                assert (await client.ask(READY))[0] == 503  # its one backend is banned

    run(test)
