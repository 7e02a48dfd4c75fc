"""Messages between two processes are decoded and encoded as in commit 005a91a, which made the recording."""

from __future__ import annotations

import asyncio
import json
import pathlib
from typing import Any, cast

import pytest

from quota_gateway.errors import HotRestartError
from quota_gateway.hot_restart.coordinator import HotRestartCoordinator
from quota_gateway.hot_restart.messages import Hello, Message, Serving, decode_message
from quota_gateway.hot_restart.process_link import ProcessLink
from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.events import SetDraining, SetMaintenance, StateSnapshot
from tests.harness import GatewayHarness, running_gateway
from tests.policy_harness import make_engine

RECORDED = json.loads((pathlib.Path(__file__).parent / "recorded/hot_restart_messages.json").read_text())
FROM_OLDER: list[str] = RECORDED["older"]
FROM_NEWER: list[str] = RECORDED["newer"]
NEW_KEYS = ["now", "quota_time", "starts"]  # that the recording's version did not save
BALANCE, REFILLED_AT = 7, 8  # positions in a row: the balance and the time of it, which change with the clock


class RecordingTransport:
    """Stands in for a link's transport and records what is written."""

    def __init__(self) -> None:
        self.data = b""

    def write(self, data: bytes) -> None:
        self.data += data

    def abort(self) -> None:
        pass

    def lines(self) -> list[str]:
        return self.data.decode().splitlines()


def open_link(
    harness: GatewayHarness, folder: pathlib.Path
) -> tuple[HotRestartCoordinator, ProcessLink, RecordingTransport]:
    """Return a coordinator with a link whose other end is the test."""
    process = harness.process
    coordinator = HotRestartCoordinator(
        str(folder), process.dispatcher, process.discovery.first_response_received, lambda superseded: None
    )
    link, transport = ProcessLink(coordinator), RecordingTransport()
    link.connection_made(cast(asyncio.Transport, transport))
    return coordinator, link, transport


def shape(value: Any) -> Any:
    """Return the keys in their order, and the types of lists' items position by position."""
    if isinstance(value, dict):
        return [(key, shape(inner)) for key, inner in value.items()]
    if isinstance(value, list):
        return [shape(inner) for inner in value]
    number = isinstance(value, float | int) and not isinstance(value, bool)
    return "number" if number else type(value).__name__


def newest_recorded_time(state: dict[str, Any]) -> float:
    """Return the latest time of something that had happened when a state was saved."""
    refills = [row[REFILLED_AT] for row in state["throttles"]]
    decays = [row[-1] for row in state["servers"]]
    return float(max(state["born"], *state["returned"].values(), *refills, *decays))


async def test_recorded_messages_of_an_older_process_are_applied(tmp_path: pathlib.Path) -> None:
    async with running_gateway(2) as harness:
        engine = harness.process.dispatcher.engine
        coordinator, link, _ = open_link(harness, tmp_path)
        recorded = json.loads(FROM_OLDER[0])
        link.data_received(FROM_OLDER[0].encode() + b"\n")
        assert engine.endpoint_registry.under_maintenance == {"b1"}
        # its newest time is taken for now, and the others keep their distance from it
        assert engine.context.now - engine.endpoint_registry.maintenance_ended_at["b0"] == pytest.approx(
            newest_recorded_time(recorded["estate"]) - recorded["estate"]["returned"]["b0"]
        )
        assert list(engine.endpoint_registry.maintenance_ended_at) == list(recorded["estate"]["returned"])
        assert engine.latency_estimates.relative_response_times == recorded["estate"]["kinds"]
        # idle throttles at their full level may be removed again, but never the latest
        assert set(engine.limiter_registry.limiters) <= {row[0] for row in recorded["estate"]["throttles"]}
        assert "0000000000000005" in engine.limiter_registry.limiters
        for line in FROM_OLDER[1:]:
            known = set(engine.limiter_registry.limiters)
            link.data_received(line.encode() + b"\n")
            for customer in set(engine.limiter_registry.limiters) - known:
                assert (
                    engine.limiter_registry.limiters[customer].balance == 199.0
                )  # one of 200 units is charged
        assert engine.endpoint_registry.under_maintenance == {"b0"} and not engine.draining
        coordinator.close()


async def test_recorded_messages_of_a_newer_process_are_applied(tmp_path: pathlib.Path) -> None:
    async with running_gateway(2) as harness:
        engine = harness.process.dispatcher.engine
        coordinator, link, transport = open_link(harness, tmp_path)
        for line in FROM_NEWER:
            link.data_received(line.encode() + b"\n")
        assert (
            engine.endpoint_registry.under_maintenance == {"b0"}
            and engine.draining
            and coordinator.successor is link
        )
        assert "000000000000001a" in engine.limiter_registry.limiters
        sent, recorded = json.loads(transport.lines()[0]), json.loads(FROM_OLDER[0])
        assert list(sent) == list(recorded)
        # without customers there is no row to compare; all else has the recorded keys and types
        for state in (sent["estate"], recorded["estate"]):
            for row in state["servers"]:
                row[1] = row[1] or 0.0  # an unknown start time is null
            for key in ("throttles", "returned", "kinds", "patience", "usual", "banned"):
                del state[key]
        assert list(sent["estate"])[-len(NEW_KEYS) :] == NEW_KEYS
        for key in NEW_KEYS:
            del sent["estate"][key]
        assert shape(sent["estate"]) == shape(recorded["estate"])
        for row in sent["list"] + recorded["list"]:
            row[6] = row[6] or 0.0
        assert shape(sent["list"]) == shape(recorded["list"])
        coordinator.close()


def test_a_recorded_state_is_written_as_it_was_read() -> None:
    state = json.loads(FROM_OLDER[0])["estate"]
    for row in state["throttles"]:
        row[1] = "small"
    now = newest_recorded_time(state)  # nothing is refilled in between
    state["granted"] = [["small", *row[1:]] for row in state["granted"] if row[0] == "basis"]
    engine = make_engine(now=now)
    engine.handle(StateSnapshot(json.loads(json.dumps(state))), now)
    again = json.loads(json.dumps(engine.snapshot(now).state))
    assert list(again) == list(state) + NEW_KEYS
    restored = [row for row in again["granted"] if row[0] == "small"]
    assert sorted(restored) == sorted(state["granted"])
    assert [shape(row) for row in again["throttles"]] == [shape(row) for row in state["throttles"]]
    for row, recorded in zip(again["throttles"], state["throttles"], strict=True):
        for position, (value, old) in enumerate(zip(row, recorded, strict=True)):
            assert position in (BALANCE, REFILLED_AT) or value == old, position
    for key in set(state) - {"throttles", "servers", "granted"}:
        assert again[key] == state[key], key


CHARGED = '{"charged": ["0000000000000006", "basis", 2, 1.0]}'


@pytest.mark.parametrize(
    ("message", "recorded"),
    [
        (SetMaintenance("b0", True), '{"maintain": ["b0", true]}'),
        (SetMaintenance("b1", False), '{"maintain": ["b1", false]}'),
        (SetDraining(True), '{"drain": true}'),
        (SetDraining(False), '{"drain": false}'),
        (UnitsCharged("0000000000000006", "basis", 2, 1.0), CHARGED),
        (Serving(), '{"serving": true}'),
        (Hello(), '{"hello": true}'),
    ],
)
async def test_messages_are_sent_and_decoded_as_recorded(
    message: Message, recorded: str, tmp_path: pathlib.Path
) -> None:
    assert recorded in FROM_OLDER + FROM_NEWER
    async with running_gateway(2) as harness:
        coordinator, link, transport = open_link(harness, tmp_path)
        link.send(message)
        assert transport.data == recorded.encode() + b"\n"
        assert decode_message(transport.data) == message
        coordinator.close()


async def test_charged_units_and_commands_are_sent_as_recorded(tmp_path: pathlib.Path) -> None:
    async with running_gateway(2) as harness:
        coordinator, _, transport = open_link(harness, tmp_path)
        harness.process.hot_restart = coordinator
        harness.process.broadcast_charged_units(UnitsCharged("0000000000000006", "basis", 2, 1.0))
        harness.process.set_draining(True)
        assert transport.lines() == [CHARGED, '{"drain": true}']
        coordinator.close()


def test_unknown_messages_are_ignored_and_malformed_ones_raise() -> None:
    assert decode_message(b'{"later": 1}') is None
    for line in (b"", b"nonsense", b"[1]", b'{"charged": ["c", "basis"]}', b'{"maintain": true}'):
        with pytest.raises(HotRestartError):
            decode_message(line)
