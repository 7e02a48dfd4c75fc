"""Messages between two processes of a gateway are read and written as the program of commit 005a91a did."""

from __future__ import annotations

import asyncio
import json
import pathlib
from typing import Any, cast

import pytest

from quota_gateway.hot_restart.coordinator import HotRestartCoordinator, ProcessLink
from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.events import StateSnapshot
from tests.harness import GatewayHarness, run, running
from tests.policy_harness import gateway

RECORDED = json.loads((pathlib.Path(__file__).parent / "recorded/hot_restart_messages.json").read_text())
FROM_OLDER: list[str] = RECORDED["older"]
FROM_NEWER: list[str] = RECORDED["newer"]
LEVEL, STAMP = 7, 8  # places of a throttle's level and its time: they go on with the clock


class Written:
    """In the place of a link's transport: keeps what is written."""

    def __init__(self) -> None:
        self.text = b""

    def write(self, data: bytes) -> None:
        self.text += data

    def abort(self) -> None:
        pass

    def lines(self) -> list[str]:
        return self.text.decode().splitlines()


def link_of(
    bed: GatewayHarness, folder: pathlib.Path, older: bool
) -> tuple[HotRestartCoordinator, ProcessLink, Written]:
    """A link whose other end is played by the test; `older` where that end is the older process."""
    program = bed.process
    made = HotRestartCoordinator(str(folder), program.dispatcher, program.discovery.answered, lambda on: None)
    link, written = ProcessLink(made, older), Written()
    link.connection_made(cast(asyncio.Transport, written))
    return made, link, written


def shape(value: Any) -> Any:
    """Keys in their order, and the kinds of what lists hold place by place."""
    if isinstance(value, dict):
        return [(key, shape(inner)) for key, inner in value.items()]
    if isinstance(value, list):
        return [shape(inner) for inner in value]
    number = isinstance(value, float | int) and not isinstance(value, bool)
    return "number" if number else type(value).__name__


def test_what_an_older_process_of_then_says_is_read(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running(2) as bed:
            engine = bed.process.dispatcher.engine
            made, link, _ = link_of(bed, tmp_path, older=True)
            told = json.loads(FROM_OLDER[0])
            link.data_received(FROM_OLDER[0].encode() + b"\n")
            assert engine.registry.under_maintenance == {"b1"}
            assert engine.registry.returned_at == told["estate"]["returned"]
            assert engine.latency.machine_type_factors == told["estate"]["kinds"]
            # idle ones with nothing spent may be dropped again, but never the last that came
            assert set(engine.limiters.limiters) <= {row[0] for row in told["estate"]["throttles"]}
            assert "0000000000000005" in engine.limiters.limiters
            for line in FROM_OLDER[1:]:
                known = set(engine.limiters.limiters)
                link.data_received(line.encode() + b"\n")
                for customer in set(engine.limiters.limiters) - known:
                    assert (
                        engine.limiters.limiters[customer].balance == 199.0
                    )  # one unit of 200 was charged there
            assert engine.registry.under_maintenance == {"b0"} and not engine.draining
            made.close()

    run(test)


def test_what_a_newer_process_of_then_says_is_read(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running(2) as bed:
            engine = bed.process.dispatcher.engine
            made, link, written = link_of(bed, tmp_path, older=False)
            for line in FROM_NEWER:
                link.data_received(line.encode() + b"\n")
            assert engine.registry.under_maintenance == {"b0"} and engine.draining and made.successor is link
            assert "000000000000001a" in engine.limiters.limiters
            answer, before = json.loads(written.lines()[0]), json.loads(FROM_OLDER[0])
            assert list(answer) == list(before)
            # without customers there is no row to compare; all else has the keys and forms of then
            for state in (answer["estate"], before["estate"]):
                for row in state["servers"]:
                    row[1] = row[1] or 0.0  # a start that is not known stands as null
                for key in ("throttles", "returned", "kinds", "patience", "usual", "banned"):
                    del state[key]
            assert shape(answer["estate"]) == shape(before["estate"])
            for row in answer["list"] + before["list"]:
                row[6] = row[6] or 0.0
            assert shape(answer["list"]) == shape(before["list"])
            made.close()

    run(test)


def test_a_state_of_then_is_written_as_it_was_read() -> None:
    state = json.loads(FROM_OLDER[0])["estate"]
    for row in state["throttles"]:
        row[1] = "small"
    now = max(row[STAMP] for row in state["throttles"])  # as then: nothing is refilled meanwhile
    state["granted"] = [["small", *row[1:]] for row in state["granted"] if row[0] == "basis"]
    made = gateway(now=now)
    made.handle(StateSnapshot(json.loads(json.dumps(state))), now)
    again = json.loads(json.dumps(made.snapshot().state))
    assert list(again) == list(state)
    mine = [row for row in again["granted"] if row[0] == "small"]
    assert sorted(mine) == sorted(state["granted"])
    assert [shape(row) for row in again["throttles"]] == [shape(row) for row in state["throttles"]]
    for row, before in zip(again["throttles"], state["throttles"], strict=True):
        for place, (value, old) in enumerate(zip(row, before, strict=True)):
            assert place in (LEVEL, STAMP) or value == old, place
    for key in set(state) - {"throttles", "servers", "granted"}:
        assert again[key] == state[key], key


CHARGED = '{"charged": ["0000000000000006", "basis", 2, 1.0]}'


@pytest.mark.parametrize(
    ("message", "recorded"),
    [
        ({"maintain": ["b0", True]}, '{"maintain": ["b0", true]}'),
        ({"maintain": ["b1", False]}, '{"maintain": ["b1", false]}'),
        ({"drain": True}, '{"drain": true}'),
        ({"drain": False}, '{"drain": false}'),
        ({"charged": ["0000000000000006", "basis", 2, 1.0]}, CHARGED),
        ({"serving": True}, '{"serving": true}'),
        ({"hello": True}, '{"hello": true}'),
    ],
)
def test_messages_are_written_as_then(message: dict[str, Any], recorded: str, tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        assert recorded in FROM_OLDER + FROM_NEWER
        async with running(2) as bed:
            made, link, written = link_of(bed, tmp_path, older=True)
            link.send(**message)
            assert written.lines() == [recorded]
            made.close()

    run(test)


def test_units_that_are_sent_on_are_told_as_then(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with running(2) as bed:
            made, _, written = link_of(bed, tmp_path, older=False)
            bed.process.hot_restart = made
            bed.process.forward_units(UnitsCharged("0000000000000006", "basis", 2, 1.0))
            bed.process.set_draining(True)
            assert written.lines() == [CHARGED, '{"drain": true}']
            made.close()

    run(test)
