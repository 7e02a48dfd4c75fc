"""Messages between two processes of a gateway, and their encoding as one JSON object per line.

The processes may run different versions, so keys, their order and the positions in lists are fixed.
A process ignores messages that its version does not know.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from quota_gateway.discovery.endpoint_update import EndpointEntry, EndpointUpdate
from quota_gateway.errors import HotRestartError
from quota_gateway.model.charges import CallsSent, UnitsCharged
from quota_gateway.model.endpoints import Endpoint, EndpointListKind, EndpointStatus
from quota_gateway.model.events import SetDraining, SetMaintenance

UNKNOWN_GENERATION = 0  # generation of an endpoint list that does not come from discovery

EndpointRow = list[Any]  # see encode_endpoint


class Key(StrEnum):
    """Keys of a message's JSON object."""

    HELLO = "hello"
    STATE = "estate"
    ENDPOINTS = "list"
    SERVING = "serving"
    UNITS_CHARGED = "charged"
    DRAINING = "drain"
    MAINTENANCE = "maintain"
    CALLS_SENT = "calls"


@dataclass(frozen=True, slots=True)
class Hello:
    """A newer process's request for the older one's state."""


@dataclass(frozen=True, slots=True)
class StateTransfer:
    """The older process's state and its endpoint list, in reply to Hello.

    The rows are decoded on demand, so that a malformed list that isn't needed can't prevent the restore.
    """

    state: dict[str, Any]
    endpoint_rows: list[EndpointRow] | None  # None: the message had no list

    def endpoint_update(self) -> EndpointUpdate:
        """Return the endpoint list; raises HotRestartError if there is none or a row is malformed."""
        if self.endpoint_rows is None:
            raise HotRestartError("the state transfer has no endpoint list")
        try:
            entries = tuple(decode_endpoint(row) for row in self.endpoint_rows)
        except (TypeError, ValueError) as error:
            raise HotRestartError(f"malformed endpoint list: {error}") from error
        return EndpointUpdate(EndpointListKind.CACHED, UNKNOWN_GENERATION, entries)


@dataclass(frozen=True, slots=True)
class Serving:
    """A newer process's notice that it accepts clients from now on."""


OperatorCommand = SetDraining | SetMaintenance
Notification = OperatorCommand | UnitsCharged | CallsSent
Message = Hello | StateTransfer | Serving | Notification


def encode_message(message: Message) -> bytes:
    """Encode a message as a line of JSON."""
    return json.dumps(_to_object(message)).encode() + b"\n"


def decode_message(line: bytes | bytearray) -> Message | None:
    """Decode a line; return None for a message that this version does not know.

    Raises HotRestartError if the line is not JSON or a known message is malformed. The types of values are
    not checked, since the processes of a gateway trust each other.
    """
    try:
        members = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise HotRestartError(f"not JSON: {error}") from error
    if not isinstance(members, dict):
        raise HotRestartError("not a JSON object")
    try:
        return _from_object(members)
    except TypeError as error:
        raise HotRestartError(f"malformed message: {error}") from error


def encode_endpoint(entry: EndpointEntry) -> EndpointRow:
    """Return an endpoint and its address as a row of the endpoint list."""
    endpoint = entry.endpoint
    return [
        endpoint.endpoint_id,
        endpoint.zone,
        endpoint.machine_type,
        endpoint.cell,
        endpoint.status.value,
        endpoint.weight,
        endpoint.started_at,
        *entry.address,
    ]


def decode_endpoint(row: EndpointRow) -> EndpointEntry:
    """Return the endpoint and address in a row; raises TypeError or ValueError if it is malformed."""
    endpoint_id, zone, machine_type, cell, status, weight, started_at, host, port = row
    endpoint = Endpoint(endpoint_id, zone, machine_type, cell, EndpointStatus(status), weight, started_at)
    return EndpointEntry(endpoint, (host, port))


def encode_endpoint_list(entries: Iterable[EndpointEntry]) -> list[EndpointRow]:
    """Return endpoints and their addresses as the rows of a StateTransfer."""
    return [encode_endpoint(entry) for entry in entries]


def _to_object(message: Message) -> dict[str, Any]:
    match message:
        case Hello():
            return {Key.HELLO: True}
        case StateTransfer():
            return {Key.STATE: message.state, Key.ENDPOINTS: message.endpoint_rows}
        case Serving():
            return {Key.SERVING: True}
        case UnitsCharged():
            values = [message.customer, message.plan, message.quota_spread, message.units]
            return {Key.UNITS_CHARGED: values}
        case SetDraining():
            return {Key.DRAINING: message.enabled}
        case SetMaintenance():
            return {Key.MAINTENANCE: [message.endpoint_id, message.enabled]}
        case CallsSent():
            return {Key.CALLS_SENT: message.call_ids}


def _from_object(members: dict[str, Any]) -> Message | None:
    match members:
        case {Key.HELLO: _}:
            return Hello()
        case {Key.STATE: state}:
            return StateTransfer(state, members.get(Key.ENDPOINTS))
        case {Key.SERVING: _}:
            return Serving()
        case {Key.UNITS_CHARGED: values}:
            return UnitsCharged(*values)
        case {Key.DRAINING: enabled}:
            return SetDraining(enabled)
        case {Key.MAINTENANCE: values}:
            return SetMaintenance(*values)
        case {Key.CALLS_SENT: call_ids}:
            return CallsSent(tuple(call_ids))
        case _:
            return None
