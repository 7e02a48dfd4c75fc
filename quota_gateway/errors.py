"""The hierarchy of errors that the gateway raises itself."""

from __future__ import annotations


class GatewayError(Exception):
    """Base of all errors that the gateway raises itself."""


class ConfigurationError(GatewayError):
    """The gateway can't start, or reload, with its configuration."""


class SettingsError(GatewayError, ValueError):
    """A setting is missing or has a wrong value; `setting` is its key in the settings object."""

    def __init__(self, setting: str, problem: str) -> None:
        """Take the key, and the problem as it reads after the key."""
        super().__init__(f"settings: {setting} {problem}")
        self.setting = setting


class EndpointListError(GatewayError):
    """Discovery's response is not an endpoint list that the protocol allows.

    `retry_after` is the Retry-After of the response in seconds, 0 for none.
    """

    def __init__(self, problem: str, retry_after: float = 0.0) -> None:
        """Take the problem, and the Retry-After that came with the response."""
        super().__init__(problem)
        self.retry_after = retry_after


class DiscoveryUnavailableError(EndpointListError):
    """No response came, or discovery had no capacity for the poll: the known list stays valid."""


class InvalidRequestError(GatewayError):
    """A client's request violates the protocol; `status` and `headers` are those of the response."""

    def __init__(self, status: int, problem: str, headers: bytes = b"") -> None:
        """Take the status of the response, its text, and further header lines."""
        super().__init__(problem)
        self.status = status
        self.headers = headers


class SimulatorProtocolError(GatewayError):
    """A line from the simulator is malformed, or out of place."""


class HotRestartError(GatewayError):
    """A message of the other process of a hot restart can't be read."""
