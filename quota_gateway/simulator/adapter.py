"""The simulator's wire: reads batches, drives one Gateway an instance, writes replies. Decides nothing."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

from quota_gateway.configuration.settings_reader import STATUSES, read_settings
from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.errors import SimulatorProtocolError
from quota_gateway.model.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    IncrementCounter,
    PollEndpoints,
    Reject,
    SetTimer,
    StartAttempt,
)
from quota_gateway.model.endpoints import Endpoint, EndpointListKind
from quota_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    RequestReceived,
    ResponseStreamStarted,
    TimerFired,
)
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.timers import decode_timer, encode_timer

OUTCOMES = {
    "GOOD": Outcome.SUCCESS,
    "BAD": Outcome.ERROR,
    "FULL": Outcome.REJECTED,
    "LATE": Outcome.TIMED_OUT,
    "NOCONN": Outcome.CONNECT_FAILED,
    "RST": Outcome.BROKEN_RESPONSE,
    "CXL": Outcome.CANCELLED,
    "NOP": Outcome.NOT_SENT,
}
KINDS = {
    "Partial": EndpointListKind.DELTA,
    "Complete": EndpointListKind.FULL,
    "Persisted": EndpointListKind.CACHED,
    "Error": EndpointListKind.FAILED,
}


def pick(table: dict[str, Any], value: str) -> Any:
    if value not in table:
        raise SimulatorProtocolError(f"unknown value {value!r}")
    return table[value]


def read_backend(parts: list[str]) -> Endpoint:
    if len(parts) < 8 or parts[0] != "backend":
        raise SimulatorProtocolError("expected a backend line")
    started = 0.0 if parts[7] == "-" else float(parts[7]) / 1000.0
    return Endpoint(
        parts[1],
        parts[2],
        parts[3],
        int(parts[4]),
        pick(STATUSES, parts[5]),
        float(parts[6]),
        started if started else None,
    )


def read_load(parts: list[str], at: int) -> tuple[float, ...]:
    text = value(parts, at, "-")
    return () if text in ("-", "") else tuple(float(v) for v in text.split(","))


def value(parts: list[str], at: int, absent: str) -> str:
    return parts[at] if at < len(parts) and parts[at] != "-" else absent


def read_event(parts: list[str], lists: dict[int, tuple[Endpoint, ...]]) -> Event | None:
    """One event line as an event of the library; None for what the module has no use for."""
    what = parts[0]
    if what == "job_in":
        return RequestReceived(
            request_id=int(parts[1]),
            request_class=parts[2],
            plan=value(parts, 3, ""),
            customer=value(parts, 4, ""),
            deadline=float(parts[5]) / 1000.0,
            units=float(value(parts, 6, "1")),
            quota_spread=int(value(parts, 7, "0")),
            first_gateway=int(value(parts, 8, "0")),
            is_retry=bool(int(value(parts, 9, "0")) & 2),
        )
    if what == "result":
        return AttemptEnded(
            request_id=int(parts[1]),
            attempt_index=int(parts[2]),
            endpoint_id=parts[3],
            outcome=pick(OUTCOMES, parts[4]),
            elapsed=float(parts[5]) / 1000.0,
            request_answered=value(parts, 6, "0") == "1",
            actual_units=float(value(parts, 8, "0")),
            load_report=read_load(parts, 9),
        )
    if what == "deadline_hit":
        return TimerFired(decode_timer(parts[1]))
    if what == "counted":
        total = float(value(parts, 3, "0"))
        return CounterReply(parts[1], pick(OUTCOMES, parts[4]), float(parts[2]) / 1000.0, total)
    if what == "discovery":
        kind = pick(KINDS, parts[2])
        if kind is EndpointListKind.FAILED:
            return EndpointListUpdate(kind, ())
        if int(parts[1]) not in lists:
            raise SimulatorProtocolError("discovery names an unknown page")
        return EndpointListUpdate(kind, lists[int(parts[1])])
    if what == "client_left":
        return ClientDisconnected(int(parts[1]))
    if what == "ack_first":
        return ResponseStreamStarted(int(parts[1]), int(parts[2]))
    if what == "probe_result":
        return HealthCheckResult(
            parts[1], pick(OUTCOMES, parts[2]), float(parts[3]) / 1000.0, read_load(parts, 4)
        )
    if what == "note_from":
        return None
    raise SimulatorProtocolError(f"unknown message {what!r}")


def write_action(action: Action) -> str:
    if isinstance(action, StartAttempt):
        return f"issue\t{action.request_id}\t{max(action.timeout * 1000.0, 0.001):.3f}\t{action.endpoint_id}"
    if isinstance(action, SetTimer):
        return f"timer\t{action.delay * 1000.0:.3f}\t{encode_timer(action.timer)}"
    if isinstance(action, Reject):
        return f"deny\t{action.request_id}\t{action.retry_after * 1000.0:.3f}"
    if isinstance(action, FailRequest):
        return f"report_failure\t{action.request_id}"
    if isinstance(action, IncrementCounter):
        return f"incr\t{action.name}\t{action.amount:.6g}\t{action.expire_after * 1000.0:.3f}"
    if isinstance(action, CancelAttempt):
        return f"recall\t{action.request_id}\t{action.attempt_index}"
    assert isinstance(action, PollEndpoints)
    return "keep_informed\t1"


class SimulatorHost:
    """All instances of one process. They share nothing but the numbered lists that the wire itself shares."""

    def __init__(self) -> None:
        self.gateways: dict[int, PolicyEngine] = {}
        self.lists: dict[int, tuple[Endpoint, ...]] = {}

    def batch(self, now: float, lines: list[str]) -> list[str]:
        out: list[str] = []
        who = speaking = -1
        at = 0
        while at < len(lines):
            parts = lines[at].split("\t")
            at += 1
            try:
                if parts[0] == "about":
                    who = int(parts[1])
                    continue
                if parts[0] == "page":
                    count = int(parts[2])
                    if count < 0 or at + count > len(lines):
                        raise SimulatorProtocolError("a page with too few entries")
                    rows = lines[at : at + count]
                    self.lists[int(parts[1])] = tuple(read_backend(r.split("\t")) for r in rows)
                    at += count
                    continue
                if who < 0:
                    raise SimulatorProtocolError("an event before any instance is named")
                if parts[0] == "retire":
                    self.gateways.pop(who, None)
                    continue
                if parts[0] == "up":
                    seed = int(parts[1])
                    env = json.loads("\t".join(parts[2:]))
                    self.gateways[who] = PolicyEngine(read_settings(env), seed, now)
                    continue
                if who not in self.gateways:
                    raise SimulatorProtocolError(f"an event for instance {who}, which is not up")
                event = read_event(parts, self.lists)
            except (ValueError, IndexError, SimulatorProtocolError) as error:
                raise SimulatorProtocolError(f"{error} in line {lines[at - 1][:200]!r}") from error
            if event is None:
                continue
            try:
                actions = self.gateways[who].handle(event, now)
            except Exception as error:  # the module's own failure ends the day with its text
                actions = []
                out += [f"speaking\t{who}", f"crash\t{type(error).__name__}: {error}".replace("\n", " ")]
                speaking = who
            if actions:
                if speaking != who:
                    out.append(f"speaking\t{who}")
                    speaking = who
                out += [write_action(action) for action in actions]
        return out


def serve(source: Iterable[str], sink: TextIO) -> None:
    """Answers batches until the input ends."""
    host = SimulatorHost()
    now: float | None = None
    lines: list[str] = []
    for raw in source:
        line = raw.rstrip("\n")
        if now is None:
            parts = line.split("\t")
            if not line:
                continue
            if parts[0] != "frame" or len(parts) < 2:
                raise SimulatorProtocolError(f"expected a frame, got {line[:200]!r}")
            try:
                now = float(parts[1]) / 1000.0
            except ValueError as error:
                raise SimulatorProtocolError(f"a frame with no clock: {line[:200]!r}") from error
            lines = []
        elif line == "go":
            sink.write("\n".join([*host.batch(now, lines), "next", ""]))
            sink.flush()
            now = None
        else:
            lines.append(line)
    if now is not None:
        raise SimulatorProtocolError("the input ended inside a batch")


def main() -> int:
    try:
        serve(sys.stdin, sys.stdout)
    except SimulatorProtocolError as error:
        print(f"quota_gateway: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
