"""Hot restart messages stay compatible with those recorded at commit 005a91a."""

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
FROM_OLDER: list[str] = RECORDED["older"]  # messages that the older process sent
FROM_NEWER: list[str] = RECORDED["newer"]  # messages that the newer process sent
NEW_KEYS = ["now", "quota_time", "starts"]  # keys of the state that the recorded version did not save
BALANCE, REFILLED_AT = 7, 8  # positions in a limiter's row of the values that change with the clock


class RecordingTransport:
    """Replaces the transport of a link and records what is written to it."""

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
    """Return a coordinator, a link to it, and the transport that records what the link sends."""
    process = harness.process
    coordinator = HotRestartCoordinator(
        str(folder), process.dispatcher, process.discovery.first_response_received, lambda superseded: None
    )
    link, transport = ProcessLink(coordinator), RecordingTransport()
    link.connection_made(cast(asyncio.Transport, transport))
    return coordinator, link, transport


def shape(value: Any) -> Any:
    """Return the structure of a value: keys in their order, and the types of list items by position."""
    if isinstance(value, dict):
        return [(key, shape(inner)) for key, inner in value.items()]
    if isinstance(value, list):
        return [shape(inner) for inner in value]
    is_number = isinstance(value, float | int) and not isinstance(value, bool)
    return "number" if is_number else type(value).__name__


def newest_recorded_time(state: dict[str, Any]) -> float:
    """Return the latest time in a saved state that was not in the future when it was saved."""
    refills = [row[REFILLED_AT] for row in state["throttles"]]
    decays = [row[-1] for row in state["servers"]]
    return float(max(state["born"], *state["returned"].values(), *refills, *decays))


async def test_recorded_messages_of_older_process_are_applied(tmp_path: pathlib.Path) -> None:
    async with running_gateway(2) as harness:
        engine = harness.process.dispatcher.engine
        coordinator, link, _ = open_link(harness, tmp_path)
        recorded = json.loads(FROM_OLDER[0])
        link.data_received(FROM_OLDER[0].encode() + b"\n")
        assert engine.endpoint_registry.under_maintenance == {"b1"}
        # The newest time is taken as the current time, and the others keep their distance from it.
        assert engine.context.now - engine.endpoint_registry.maintenance_ended_at["b0"] == pytest.approx(
            newest_recorded_time(recorded["estate"]) - recorded["estate"]["returned"]["b0"]
        )
        assert list(engine.endpoint_registry.maintenance_ended_at) == list(recorded["estate"]["returned"])
        assert engine.latency_estimates.relative_response_times == recorded["estate"]["kinds"]
        # Idle limiters with a full bucket may be evicted again, but never the latest one.
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


async def test_recorded_messages_of_newer_process_are_applied(tmp_path: pathlib.Path) -> None:
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
        # Without customers some keys have no rows to compare; the others have the recorded keys and types.
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


def test_recorded_state_is_restored_and_saved_unchanged() -> None:
    state = json.loads(FROM_OLDER[0])["estate"]
    for row in state["throttles"]:
        row[1] = "small"
    now = newest_recorded_time(state)  # no time passes, so that nothing is refilled
    state["granted"] = [["small", *row[1:]] for row in state["granted"] if row[0] == "basis"]
    engine = make_engine(now=now)
    engine.handle(StateSnapshot(json.loads(json.dumps(state))), now)
    saved = json.loads(json.dumps(engine.snapshot(now).state))
    assert list(saved) == list(state) + NEW_KEYS
    restored = [row for row in saved["granted"] if row[0] == "small"]
    assert sorted(restored) == sorted(state["granted"])
    assert [shape(row) for row in saved["throttles"]] == [shape(row) for row in state["throttles"]]
    for row, recorded in zip(saved["throttles"], state["throttles"], strict=True):
        for position, (value, recorded_value) in enumerate(zip(row, recorded, strict=True)):
            assert position in (BALANCE, REFILLED_AT) or value == recorded_value, position
    for key in set(state) - {"throttles", "servers", "granted"}:
        assert saved[key] == state[key], key


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


async def test_process_sends_recorded_messages(tmp_path: pathlib.Path) -> None:
    """Charged units and draining commands are sent to the other process as recorded."""
    async with running_gateway(2) as harness:
        coordinator, _, transport = open_link(harness, tmp_path)
        harness.process.hot_restart = coordinator
        harness.process.notify_peer(UnitsCharged("0000000000000006", "basis", 2, 1.0))
        harness.process.set_draining(True)
        assert transport.lines() == [CHARGED, '{"drain": true}']
        coordinator.close()


def test_unknown_message_is_ignored_malformed_one_raises() -> None:
    assert decode_message(b'{"later": 1}') is None
    for line in (b"", b"nonsense", b"[1]", b'{"charged": ["c", "basis"]}', b'{"maintain": true}'):
        with pytest.raises(HotRestartError):
            decode_message(line)
