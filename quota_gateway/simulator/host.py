"""Runs a policy engine for each gateway instance of the simulator, and dispatches batches to them."""

from __future__ import annotations

import json

from quota_gateway.configuration.settings_reader import read_settings
from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.errors import SimulatorProtocolError
from quota_gateway.model.actions import Action
from quota_gateway.model.endpoints import Endpoint
from quota_gateway.simulator.wire import decode_endpoint, decode_event, encode_action

NO_INSTANCE = -1
MAX_QUOTED_LENGTH = 200  # maximum characters of a line that an error message quotes


class BatchReplies:
    """The reply lines of one batch, where a `speaking` line precedes the lines of each instance."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.current_instance = NO_INSTANCE  # instance that the last lines belong to

    def add_actions(self, instance: int, actions: list[Action]) -> None:
        """Add the lines for the actions of an instance; `actions` must not be empty."""
        if instance != self.current_instance:
            self._begin_instance(instance)
        self.lines.extend(map(encode_action, actions))

    def add_crash(self, instance: int, error: Exception) -> None:
        """Add the line that ends the simulation because an instance has crashed."""
        self._begin_instance(instance)
        self.lines.append(f"crash\t{type(error).__name__}: {error}".replace("\n", " "))

    def _begin_instance(self, instance: int) -> None:
        self.current_instance = instance
        self.lines.append(f"speaking\t{instance}")


class SimulatorHost:
    """All gateway instances of one simulation.

    The instances only share the numbered endpoint lists, which the protocol sends once for all instances.
    """

    def __init__(self) -> None:
        self.engines: dict[int, PolicyEngine] = {}
        self.endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}
        self.current_instance = NO_INSTANCE  # instance that the current lines are for

    def handle_batch(self, now: float, lines: list[str]) -> list[str]:
        """Process the lines of one batch at time `now`, in seconds, and return the reply lines.

        Raise SimulatorProtocolError, which quotes the line, for the first line that violates the protocol.
        """
        self.current_instance = NO_INSTANCE
        replies = BatchReplies()
        next_line = 0
        while next_line < len(lines):
            line = lines[next_line]
            next_line += 1
            columns = line.split("\t")
            try:
                match columns[0]:
                    case "about":
                        self.current_instance = int(columns[1])
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
        """Read the list of `page NUMBER COUNT` from line `start` on, and return the index after its end."""
        end = start + int(columns[2])
        if not start <= end <= len(lines):
            raise SimulatorProtocolError("page with fewer entries than its count")
        rows = lines[start:end]
        self.endpoint_lists[int(columns[1])] = tuple(decode_endpoint(row.split("\t")) for row in rows)
        return end

    def _start_engine(self, columns: list[str], now: float) -> None:
        """Start the current instance: `up SEED SETTINGS`; the JSON text of the settings may contain tabs."""
        self._require_instance()
        seed = int(columns[1])
        settings = json.loads("\t".join(columns[2:]))
        self.engines[self.current_instance] = PolicyEngine(read_settings(settings), seed, now)

    def _remove_engine(self) -> None:
        """Remove the current instance."""
        self._require_instance()
        self.engines.pop(self.current_instance, None)

    def _handle_event(self, columns: list[str], now: float, replies: BatchReplies) -> None:
        """Pass the event of one line to the current instance, and add its actions to the replies."""
        engine = self.engines.get(self.current_instance)
        if engine is None:
            self._require_instance()
            raise SimulatorProtocolError(f"event for instance {self.current_instance}, which is not running")
        event = decode_event(columns, self.endpoint_lists)
        if event is None:
            return
        try:
            actions = engine.handle(event, now)
        except Exception as error:  # any error of the policy engine ends the simulation
            replies.add_crash(self.current_instance, error)
            return
        if actions:
            replies.add_actions(self.current_instance, actions)

    def _require_instance(self) -> None:
        if self.current_instance < 0:
            raise SimulatorProtocolError("message without a selected instance")
