"""Event logs of the processes of a run: JSON lines, timestamped with the monotonic clock.

The monotonic clock is shared by all processes of the machine, so that their events can be ordered.
"""

from __future__ import annotations

import json
import pathlib
import time
from collections.abc import Iterator
from typing import Any, NamedTuple, TextIO


class LoggedEvent(NamedTuple):
    """An event: its time in seconds, its name, its other fields, and the log file it was read from."""

    at: float
    name: str
    fields: dict[str, Any]
    source: str


class EventLog:
    """The event log of one process."""

    def __init__(self, path: pathlib.Path) -> None:
        """Create the file; it is line buffered, because the process may be killed at any time."""
        self._file: TextIO = path.open("w", buffering=1)

    def write(self, name: str, **fields: Any) -> None:
        """Append an event with the current time."""
        self._file.write(json.dumps({"at": time.monotonic(), "event": name, **fields}) + "\n")


def read_events(path: pathlib.Path) -> Iterator[LoggedEvent]:
    """Yield the events in a log file, skipping an incomplete last line."""
    for line in path.read_text().splitlines():
        try:
            fields = json.loads(line)
        except ValueError:
            continue
        yield LoggedEvent(fields.pop("at"), fields.pop("event"), fields, path.stem)


def read_gateway_log(path: pathlib.Path) -> Iterator[LoggedEvent]:
    """Yield the events of the request log in a gateway's standard error, skipping other lines."""
    for line in path.read_text(errors="replace").splitlines():
        prefix, _, text = line.partition("at=")
        if prefix != "quota_gateway.requests: ":
            continue
        pairs = [pair.partition("=") for pair in f"at={text}".split()]
        fields: dict[str, Any] = {name: value for name, _, value in pairs}
        yield LoggedEvent(float(fields.pop("at")), fields.pop("event"), fields, path.stem)
