"""Runs one policy engine for each instance that the simulator starts, and carries batches to them."""

from __future__ import annotations

import json

from quota_gateway.configuration.settings_reader import read_settings
from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.errors import SimulatorProtocolError
from quota_gateway.model.actions import Action
from quota_gateway.model.endpoints import Endpoint
from quota_gateway.simulator.wire import decode_endpoint, decode_event, encode_action

NO_INSTANCE = -1
MAX_QUOTED_LENGTH = 200  # characters of a line that an error quotes


class BatchReplies:
    """The reply lines of one batch; a line names the instance before the lines that are its own."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.instance = NO_INSTANCE  # whose lines are at the end

    def add_actions(self, instance: int, actions: list[Action]) -> None:
        """Add the lines of an instance's actions, of which there is at least one."""
        if instance != self.instance:
            self._begin(instance)
        self.lines.extend(map(encode_action, actions))

    def add_crash(self, instance: int, error: Exception) -> None:
        """Add the line that ends the simulation because an instance failed."""
        self._begin(instance)
        self.lines.append(f"crash\t{type(error).__name__}: {error}".replace("\n", " "))

    def _begin(self, instance: int) -> None:
        self.instance = instance
        self.lines.append(f"speaking\t{instance}")


class SimulatorHost:
    """All instances of one simulation.

    They share nothing but the numbered endpoint lists, which the wire itself shares between them.
    """

    def __init__(self) -> None:
        self.engines: dict[int, PolicyEngine] = {}
        self.endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}
        self.instance = NO_INSTANCE  # that the lines are for

    def handle_batch(self, now: float, lines: list[str]) -> list[str]:
        """Carry out the lines of one batch at the time `now`, in seconds, and return the reply lines.

        SimulatorProtocolError quotes the first line that the wire does not allow.
        """
        self.instance = NO_INSTANCE
        replies = BatchReplies()
        next_line = 0
        while next_line < len(lines):
            line = lines[next_line]
            next_line += 1
            columns = line.split("\t")
            try:
                match columns[0]:
                    case "about":
                        self.instance = int(columns[1])
                    case "page":
                        next_line = self._read_endpoint_list(columns, lines, next_line)
                    case "up":
                        self._start_engine(columns, now)
                    case "retire":
                        self._remove_engine()
                    case _:
                        self._handle_event(columns, now, replies)
            except (ValueError, IndexError, SimulatorProtocolError) as error:
                quoted = line[:MAX_QUOTED_LENGTH]
                raise SimulatorProtocolError(f"{error} in line {quoted!r}") from error
        return replies.lines

    def _read_endpoint_list(self, columns: list[str], lines: list[str], start: int) -> int:
        """Read `page NUMBER COUNT` with its list from line `start` on, and return the line after it."""
        end = start + int(columns[2])
        if not start <= end <= len(lines):
            raise SimulatorProtocolError("a page with too few entries")
        rows = lines[start:end]
        self.endpoint_lists[int(columns[1])] = tuple(decode_endpoint(row.split("\t")) for row in rows)
        return end

    def _start_engine(self, columns: list[str], now: float) -> None:
        """Start the named instance: `up SEED SETTINGS`; a tab may stand in the JSON text of the settings."""
        self._require_instance()
        seed = int(columns[1])
        settings = json.loads("\t".join(columns[2:]))
        self.engines[self.instance] = PolicyEngine(read_settings(settings), seed, now)

    def _remove_engine(self) -> None:
        """End the named instance."""
        self._require_instance()
        self.engines.pop(self.instance, None)

    def _handle_event(self, columns: list[str], now: float, replies: BatchReplies) -> None:
        """Have the named instance handle the event of one line, and add its actions to the replies."""
        engine = self.engines.get(self.instance)
        if engine is None:
            self._require_instance()
            raise SimulatorProtocolError(f"an event for instance {self.instance}, which is not up")
        event = decode_event(columns, self.endpoint_lists)
        if event is None:
            return
        try:
            actions = engine.handle(event, now)
        except Exception as error:  # whatever the decisions raise ends the simulation with its text
            replies.add_crash(self.instance, error)
            return
        if actions:
            replies.add_actions(self.instance, actions)

    def _require_instance(self) -> None:
        if self.instance < 0:
            raise SimulatorProtocolError("an event before any instance is named")
