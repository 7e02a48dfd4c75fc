"""Events of the processes of a run, as lines of JSON with the time of the monotonic clock."""

from __future__ import annotations

import json
import pathlib
import time
from collections.abc import Iterator
from typing import Any, NamedTuple, TextIO


class LoggedEvent(NamedTuple):
    """One event: when it was, what it was, its further fields, and the file that it stands in."""

    at: float
    name: str
    fields: dict[str, Any]
    source: str


class EventLog:
    """The events of one process."""

    def __init__(self, path: pathlib.Path) -> None:
        """Create the file, which is written line by line: its process may be killed."""
        self._file: TextIO = path.open("w", buffering=1)

    def write(self, name: str, **fields: Any) -> None:
        """Add an event that happens now."""
        self._file.write(json.dumps({"at": time.monotonic(), "event": name, **fields}) + "\n")


def read_events(path: pathlib.Path) -> Iterator[LoggedEvent]:
    """Yield the events in a file; a last line that was not written to its end is left out."""
    for line in path.read_text().splitlines():
        try:
            fields = json.loads(line)
        except ValueError:
            continue
        yield LoggedEvent(fields.pop("at"), fields.pop("event"), fields, path.stem)


def read_gateway_log(path: pathlib.Path) -> Iterator[LoggedEvent]:
    """Yield the request events in a gateway's standard error, which has other lines too."""
    for line in path.read_text(errors="replace").splitlines():
        prefix, _, text = line.partition("at=")
        if prefix != "quota_gateway.requests: ":
            continue
        words = [word.partition("=") for word in f"at={text}".split()]
        fields: dict[str, Any] = {name: value for name, _, value in words}
        yield LoggedEvent(float(fields.pop("at")), fields.pop("event"), fields, path.stem)
