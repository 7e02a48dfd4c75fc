"""Errors that the gateway raises itself: one hierarchy, each with what was at fault."""

from __future__ import annotations


class GatewayError(Exception):
    """Base of all errors that the gateway raises itself."""


class ConfigurationError(GatewayError):
    """The gateway can't start, or reload, with the configuration that it was given."""


class SettingsError(GatewayError, ValueError):
    """A setting is missing or makes no sense; `setting` is its name in the settings object."""

    def __init__(self, setting: str, problem: str) -> None:
        """Take the setting's name and what is wrong with it, which reads on from the name."""
        super().__init__(f"settings: {setting} {problem}")
        self.setting = setting


class EndpointListError(GatewayError):
    """Discovery's answer is no list that the protocol allows.

    `retry_after` is the wait in seconds that discovery asked for, 0 for none.
    """

    def __init__(self, problem: str, retry_after: float = 0.0) -> None:
        """Take what is wrong with the answer, and the wait that came with it."""
        super().__init__(problem)
        self.retry_after = retry_after


class DiscoveryUnavailableError(EndpointListError):
    """No list came, or discovery had no capacity for the call: the known list is as good as before."""


class InvalidRequestError(GatewayError):
    """A client's request breaks the protocol; `status` and `headers` are those of the response."""

    def __init__(self, status: int, problem: str, headers: bytes = b"") -> None:
        """Take the response's status, its text, and header lines that go with it."""
        super().__init__(problem)
        self.status = status
        self.headers = headers


class SimulatorProtocolError(GatewayError):
    """A line from the simulator that its wire does not allow."""


class HotRestartError(GatewayError):
    """A message of the other process that can't be read."""
