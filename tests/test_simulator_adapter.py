"""The simulator adapter, with batches as the simulator writes them and with malformed input."""

from __future__ import annotations

import io
import json
import pathlib
import subprocess
import sys
from typing import Any

import pytest

from quota_gateway.configuration.settings_reader import read_settings
from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.errors import SettingsError, SimulatorProtocolError
from quota_gateway.simulator.adapter import serve
from quota_gateway.simulator.host import SimulatorHost

TESTS = pathlib.Path(__file__).parent
BATCHES = (TESTS / "batch.txt").read_text()
START_LINE = next(line for line in BATCHES.splitlines() if line.startswith("up\t"))


def settings_object() -> dict[str, Any]:
    """Return the settings object with which the first instance is started."""
    _, _, text = START_LINE.split("\t", 2)
    loaded: dict[str, Any] = json.loads(text)
    return loaded


def reply_to(text: str) -> str:
    """Return the adapter's output for an input."""
    output = io.StringIO()
    serve(io.StringIO(text), output)
    return output.getvalue()


def test_reply_to_recorded_batches_is_unchanged() -> None:
    assert reply_to(BATCHES) == (TESTS / "batch.reply.txt").read_text()


def test_same_events_lead_to_same_actions() -> None:
    assert reply_to(BATCHES) == reply_to(BATCHES)


@pytest.mark.parametrize(
    "text",
    [
        "hello\n",
        "frame\tx\ngo\n",
        "frame\t1\nabout\t0\nnonsense\t1\ngo\n",
        "frame\t1\nclient_left\t1\ngo\n",
        "frame\t1\nabout\t0\nclient_left\t1\ngo\n",
        "frame\t1\npage\t0\t3\ngo\n",
        "frame\t1\n",
        "frame\t1\nabout\t0\nup\t1\t{}\ngo\n",
        "frame\t1\nabout\t0\nup\t1\t{bad\ngo\n",
    ],
)
def test_malformed_input_raises(text: str) -> None:
    with pytest.raises(SimulatorProtocolError):
        reply_to(text)


def test_malformed_input_is_reported_in_one_line() -> None:
    command = [sys.executable, "-m", "quota_gateway.simulator.adapter"]
    completed = subprocess.run(
        command, input="rubbish\n", text=True, capture_output=True, cwd=TESTS.parent, check=False
    )
    assert completed.returncode == 2
    assert completed.stdout == ""
    assert len(completed.stderr.strip().splitlines()) == 1
    assert "malformed" in completed.stderr


def test_engine_exception_is_reported_as_crash(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError("it broke")

    monkeypatch.setattr(PolicyEngine, "handle", fail)
    assert "crash\tRuntimeError: it broke" in reply_to(BATCHES)


@pytest.mark.parametrize(
    ("section", "key"),
    [
        (None, "limits"),
        (None, "services"),
        ("limits", "max_attempts"),
        ("rules", "cold_from"),
        ("domain", "counter"),
    ],
)
def test_missing_setting_is_named_in_error(section: str | None, key: str) -> None:
    incomplete = settings_object()
    del (incomplete[section] if section else incomplete)[key]
    with pytest.raises(SettingsError, match=key) as raised:
        read_settings(incomplete)
    assert raised.value.setting == key


def test_unknown_settings_are_ignored() -> None:
    extended = settings_object()
    extended["new"] = 1
    extended["limits"]["new"] = 1
    assert read_settings(extended) == read_settings(settings_object())


def test_instances_are_independent() -> None:
    host = SimulatorHost()
    host.handle_batch(1.0, ["about\t0", START_LINE, "about\t1", START_LINE])
    host.handle_batch(1.1, ["about\t1", "retire"])
    assert list(host.engines) == [0]
