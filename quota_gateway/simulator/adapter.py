"""The program that the simulator runs, which reads batches from stdin and writes replies to stdout."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import TextIO

from quota_gateway.configuration.settings_object import MILLISECONDS_PER_SECOND
from quota_gateway.errors import SimulatorProtocolError
from quota_gateway.exit_status import EXIT_INVALID_INPUT, report_fatal_error
from quota_gateway.simulator.host import MAX_QUOTED_LENGTH, SimulatorHost

BATCH_END = "go"
REPLY_END = "next"


def serve(source: Iterable[str], sink: TextIO) -> None:
    """Reply to every batch until the input ends; raise SimulatorProtocolError for a malformed line."""
    host = SimulatorHost()
    now: float | None = None  # time of the batch that is being read
    lines: list[str] = []
    for raw_line in source:
        line = raw_line.rstrip("\n")
        if now is None:
            if line:
                now = parse_batch_time(line)
        elif line == BATCH_END:
            sink.write("\n".join([*host.handle_batch(now, lines), REPLY_END, ""]))
            sink.flush()
            now = None
            lines = []
        else:
            lines.append(line)
    if now is not None:
        raise SimulatorProtocolError("the input ended inside a batch")


def parse_batch_time(line: str) -> float:
    """Return the time in seconds from the first line of a batch: `frame MILLISECONDS`."""
    columns = line.split("\t")
    if columns[0] != "frame" or len(columns) < 2:
        raise SimulatorProtocolError(f"expected a frame line, got {line[:MAX_QUOTED_LENGTH]!r}")
    try:
        return float(columns[1]) / MILLISECONDS_PER_SECOND
    except ValueError as error:
        raise SimulatorProtocolError(f"frame without a valid time: {line[:MAX_QUOTED_LENGTH]!r}") from error


def main() -> int:
    """Serve the simulator, and return the exit status."""
    try:
        serve(sys.stdin, sys.stdout)
    except SimulatorProtocolError as error:
        return report_fatal_error(f"malformed input: {error}", EXIT_INVALID_INPUT)
    return 0


if __name__ == "__main__":
    sys.exit(main())
