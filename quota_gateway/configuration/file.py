"""Reads the configuration file and the environment variables that go before it."""

from __future__ import annotations

import json
import resource
from dataclasses import dataclass
from typing import Any

from quota_gateway.configuration.settings_reader import (
    ConnectionLimits,
    read_connection_limits,
    read_settings,
)
from quota_gateway.discovery.endpoint_update import EndpointUpdate, read_endpoint_update
from quota_gateway.errors import ConfigurationError, EndpointListError
from quota_gateway.model.endpoints import EndpointListKind
from quota_gateway.model.settings import Settings
from quota_gateway.sockets.addresses import parse_address

LEAST_SOCKETS = 32  # with fewer there is nothing left to serve with


@dataclass(frozen=True, slots=True)
class Configuration:
    name: str
    listen_address: tuple[str, int]
    discovery: tuple[str, int]
    file_discovery: tuple[str, int] | None  # the same by the file, whatever the environment said
    counter: tuple[str, int] | None
    admin_address: tuple[str, int] | None  # where operators call, if anywhere
    listen_descriptor: int | None  # of the clients' listening socket, where the platform holds it
    shared_folder: str | None  # what the processes of this gateway share
    seed: int
    max_descriptors: int
    known_endpoints: EndpointUpdate
    settings: Settings
    connection_limits: ConnectionLimits


def read_configuration(environ: dict[str, str]) -> Configuration:
    """RELAY_CONFIG's file; the other variables hold parts of it and go before it where they are set."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigurationError("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
        return build_configuration(told, environ)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from error
    except KeyError as error:
        raise ConfigurationError(f"{path}: {error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError, EndpointListError) as error:
        raise ConfigurationError(f"{path}: {' '.join(str(error).split())}") from error


def build_configuration(told: dict[str, Any], environ: dict[str, str]) -> Configuration:
    settings = read_settings(told["settings"])
    counter = parse_address(told["counter"]) if settings.counter_enabled else None
    console = environ.get("RELAY_CONSOLE") or told.get("console")
    descriptor = environ.get("RELAY_SOCKET_FD")
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets = min(int(told["limits"]["sockets"]), soft)
    if sockets < LEAST_SOCKETS:
        raise ValueError(f"limits: sockets is below {LEAST_SOCKETS}")
    return Configuration(
        name=str(environ.get("RELAY_NAME") or told["name"]),
        listen_address=parse_address(environ.get("RELAY_LISTEN") or told["listen"]),
        discovery=parse_address(environ.get("RELAY_DISCOVERY") or told["discovery"]),
        file_discovery=parse_address(told["discovery"]) if "discovery" in told else None,
        counter=counter,
        admin_address=parse_address(console) if console else None,
        listen_descriptor=int(descriptor) if descriptor else None,
        shared_folder=environ.get("TMPDIR") or None,
        seed=int(told["seed"], 16),
        max_descriptors=sockets,
        known_endpoints=read_endpoint_update(told["known"], EndpointListKind.CACHED),
        settings=settings,
        connection_limits=read_connection_limits(told["settings"]),
    )
