"""Typed access to the JSON objects in the settings."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from quota_gateway.errors import SettingsError

MILLISECONDS_PER_SECOND = 1000.0

T = TypeVar("T")


class SettingsObject:
    """A JSON object in the settings; each accessor raises SettingsError with the key that is invalid."""

    __slots__ = ("values",)

    def __init__(self, values: Any) -> None:
        """Wrap a decoded JSON value; a value that is not an object is treated as an empty one."""
        self.values: Mapping[str, Any] = values if isinstance(values, dict) else {}

    def required(self, key: str) -> Any:
        """Return the unconverted value of a key."""
        if key not in self.values:
            raise SettingsError(key, "is missing")
        return self.values[key]

    def section(self, key: str) -> SettingsObject:
        """Return the object that is the value of a key."""
        return SettingsObject(self.required(key))

    def sections(self, key: str) -> list[SettingsObject]:
        """Return the objects of the list that is the value of a key."""
        return [SettingsObject(item) for item in self.required(key)]

    def boolean(self, key: str) -> bool:
        """Return whether the value of a key is truthy."""
        return bool(self.required(key))

    def number(self, key: str) -> float:
        """Return the numeric value of a key."""
        value = self.required(key)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise SettingsError(key, "is not a number")
        return float(value)

    def integer(self, key: str) -> int:
        """Return the numeric value of a key, truncated to an integer."""
        return int(self.number(key))

    def seconds(self, key: str) -> float:
        """Return the duration in seconds that the settings give in milliseconds."""
        return self.number(key) / MILLISECONDS_PER_SECOND

    def choice(self, key: str, choices: Mapping[str, T]) -> T:
        """Return the member of `choices` that the value of a key selects."""
        value = self.required(key)
        if value not in choices:
            raise SettingsError(key, f"has an unknown value {value!r}")
        return choices[value]
