"""Exceptions that the gateway raises."""

from __future__ import annotations


class GatewayError(Exception):
    """Base class of all exceptions that the gateway raises."""


class ConfigurationError(GatewayError):
    """The configuration cannot be used for a start or a reload."""


class SettingsError(GatewayError, ValueError):
    """A setting is missing or invalid; `setting` is its key in the settings object."""

    def __init__(self, setting: str, problem: str) -> None:
        """Initialize with the key and the message, which follows the key in the error text."""
        super().__init__(f"settings: {setting} {problem}")
        self.setting = setting


class EndpointListError(GatewayError):
    """The response of discovery is not a valid endpoint list.

    `retry_after` is the Retry-After of the response in seconds, or 0 if it has none.
    """

    def __init__(self, problem: str, retry_after: float = 0.0) -> None:
        """Initialize with the message and the Retry-After of the response in seconds."""
        super().__init__(problem)
        self.retry_after = retry_after


class DiscoveryUnavailableError(EndpointListError):
    """Discovery has not responded or is overloaded; the last known list remains valid."""


class InvalidRequestError(GatewayError):
    """A client's request violates the protocol; `status` and `headers` belong to the response."""

    def __init__(self, status: int, problem: str, headers: bytes = b"") -> None:
        """Initialize with the status and the text of the response, and additional header lines."""
        super().__init__(problem)
        self.status = status
        self.headers = headers


class SimulatorProtocolError(GatewayError):
    """A line from the simulator is malformed or out of sequence."""


class HotRestartError(GatewayError):
    """A message from the other process of a hot restart cannot be decoded."""
