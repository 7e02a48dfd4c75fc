"""Updates of the endpoint list, and their conversion from discovery's JSON."""

from __future__ import annotations

import json
import reprlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from quota_gateway.configuration.settings_reader import ENDPOINT_STATUSES
from quota_gateway.errors import EndpointListError
from quota_gateway.model.endpoints import Endpoint, EndpointListKind, EndpointStatus
from quota_gateway.sockets.addresses import Address, parse_address

MILLISECONDS_PER_SECOND = 1000.0
NO_ADDRESS: Address = ("", 0)  # address of a removed endpoint that was sent without one; never connected to
# Errors raised for a field that is missing or has an invalid value.
CONVERSION_ERRORS = (KeyError, TypeError, ValueError, OverflowError)

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One endpoint of the list and the address to connect to."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The full endpoint list, or the entries that changed since an earlier generation of it."""

    kind: EndpointListKind
    generation: int  # version of the list after this update
    entries: tuple[EndpointEntry, ...]

    @property
    def is_full(self) -> bool:
        """Whether the update is the full list: endpoints missing from it are no longer listed."""
        return self.kind is not EndpointListKind.DELTA


def decode_endpoint_update(body: bytes) -> EndpointUpdate:
    """Decode the body of a discovery response; raises EndpointListError if it is no valid list."""
    try:
        return parse_endpoint_update(json.loads(body))
    except ValueError as error:
        raise EndpointListError(f"invalid JSON: {error}") from error
    except RecursionError as error:
        raise EndpointListError("the JSON is nested too deeply") from error


def parse_endpoint_update(document: Any, kind: EndpointListKind | None = None) -> EndpointUpdate:
    """Convert an endpoint list in discovery's JSON form; EndpointListError names the invalid field.

    Without a `kind`, the document's `reset` field tells the full list from changes to it.
    """
    instances = _required_field(document, "instances", tuple)
    entries = tuple(_read_instance(instance, index) for index, instance in enumerate(instances))
    if kind is None:
        is_reset = _required_field(document, "reset", bool)
        kind = EndpointListKind.FULL if is_reset else EndpointListKind.DELTA
    return EndpointUpdate(kind, _required_field(document, "generation", int), entries)


def parse_endpoint_entry(instance: Any) -> EndpointEntry:
    """Convert one element of `instances`; EndpointListError names the invalid field."""
    status = _required_field(instance, "lifecycle", ENDPOINT_STATUSES.__getitem__)
    endpoint = Endpoint(
        endpoint_id=_required_field(instance, "instanceId", str),
        zone=_optional_field(instance, "zone", str, ""),
        machine_type=_optional_field(instance, "machineType", str, ""),
        cell=_optional_field(instance, "cell", int, 0),
        status=status,
        weight=_optional_field(instance, "weight", float, 1.0),
        started_at=_optional_field(instance, "startedAtMs", _parse_start_time, None),
    )
    if status is EndpointStatus.REMOVED and not instance.get("hostPort"):
        return EndpointEntry(endpoint, NO_ADDRESS)
    return EndpointEntry(endpoint, _required_field(instance, "hostPort", _parse_host_port))


def _read_instance(instance: Any, index: int) -> EndpointEntry:
    try:
        return parse_endpoint_entry(instance)
    except EndpointListError as error:
        raise EndpointListError(f"instances[{index}]: {error}") from error


def _parse_start_time(milliseconds: Any) -> float | None:
    """Return the start time as Unix time in seconds; None for 0 or null, which mean that it is unknown."""
    seconds = float(milliseconds or 0.0) / MILLISECONDS_PER_SECOND
    return seconds or None


def _parse_host_port(value: Any) -> Address:
    return parse_address(str(value))


def _required_field(record: Any, field: str, convert: Callable[[Any], T]) -> T:
    """Return the converted field; raises EndpointListError if it is missing or invalid."""
    try:
        return convert(record[field])
    except CONVERSION_ERRORS as error:
        raise _field_error(record, field) from error


def _optional_field(record: dict[str, Any], field: str, convert: Callable[[Any], T], default: Any) -> T:
    """Return the converted field, or the converted default; raises EndpointListError if it is invalid."""
    try:
        return convert(record.get(field, default))
    except CONVERSION_ERRORS as error:
        raise _field_error(record, field) from error


def _field_error(record: Any, field: str) -> EndpointListError:
    """Return an error that describes why a field could not be converted."""
    if not isinstance(record, dict):
        return EndpointListError("not a JSON object")
    if field not in record:
        return EndpointListError(f"{field} is missing")
    return EndpointListError(f"{field} has an invalid value: {reprlib.repr(record[field])}")
