"""Reads the configuration file and the environment variables that override parts of it."""

from __future__ import annotations

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from quota_gateway.configuration.connection_limits import ConnectionLimits, read_connection_limits
from quota_gateway.configuration.settings_reader import read_settings
from quota_gateway.discovery.endpoint_update import EndpointUpdate, read_endpoint_update
from quota_gateway.errors import ConfigurationError, EndpointListError
from quota_gateway.model.endpoints import EndpointListKind
from quota_gateway.model.settings import Settings
from quota_gateway.sockets.addresses import Address, parse_address

FILE_VARIABLE = "RELAY_CONFIG"
NAME_VARIABLE = "RELAY_NAME"
LISTEN_VARIABLE = "RELAY_LISTEN"
DISCOVERY_VARIABLE = "RELAY_DISCOVERY"
ADMIN_VARIABLE = "RELAY_CONSOLE"
LISTEN_DESCRIPTOR_VARIABLE = "RELAY_SOCKET_FD"
SHARED_FOLDER_VARIABLE = "TMPDIR"

MIN_DESCRIPTORS = 32  # with fewer, none are left for clients and endpoints
SEED_BASE = 16  # the file has the seed as hexadecimal digits


@dataclass(frozen=True, slots=True)
class Configuration:
    """All that one gateway process is configured with."""

    name: str
    listen_address: Address  # for clients
    discovery_address: Address
    file_discovery_address: Address | None  # in the file, also where the environment overrides it
    counter_address: Address | None  # None: the settings do without the counter service
    admin_address: Address | None  # None: no admin server
    listen_descriptor: int | None  # of a listening socket for clients that the platform passes on
    shared_folder: str | None  # common to the processes of a hot restart
    seed: int
    max_descriptors: int
    known_endpoints: EndpointUpdate  # the cached endpoint list to start with
    settings: Settings
    connection_limits: ConnectionLimits


def read_configuration(environment: Mapping[str, str]) -> Configuration:
    """Return the configuration in the file that `$RELAY_CONFIG` names.

    Other variables override parts of the file where they are set. ConfigurationError says in one line what
    keeps the file from being used.
    """
    path = environment.get(FILE_VARIABLE)
    if not path:
        raise ConfigurationError(f"{FILE_VARIABLE} is not set")
    try:
        with open(path, encoding="utf-8") as file:
            content = json.load(file)
        return build_configuration(content, environment)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from error
    except KeyError as error:
        raise ConfigurationError(f"{path}: {error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError, EndpointListError) as error:
        problem = " ".join(str(error).split())  # it may quote the file, line breaks included
        raise ConfigurationError(f"{path}: {problem}") from error


def build_configuration(content: dict[str, Any], environment: Mapping[str, str]) -> Configuration:
    """Return the configuration of a decoded file; a wrong one raises what its values lead to."""
    settings = read_settings(content["settings"])
    admin_address = environment.get(ADMIN_VARIABLE) or content.get("console")
    listen_descriptor = environment.get(LISTEN_DESCRIPTOR_VARIABLE)
    return Configuration(
        name=str(environment.get(NAME_VARIABLE) or content["name"]),
        listen_address=parse_address(environment.get(LISTEN_VARIABLE) or content["listen"]),
        discovery_address=parse_address(environment.get(DISCOVERY_VARIABLE) or content["discovery"]),
        file_discovery_address=parse_address(content["discovery"]) if "discovery" in content else None,
        counter_address=parse_address(content["counter"]) if settings.counter_enabled else None,
        admin_address=parse_address(admin_address) if admin_address else None,
        listen_descriptor=int(listen_descriptor) if listen_descriptor else None,
        shared_folder=environment.get(SHARED_FOLDER_VARIABLE) or None,
        seed=int(content["seed"], SEED_BASE),
        max_descriptors=_descriptor_limit(content),
        known_endpoints=read_endpoint_update(content["known"], EndpointListKind.CACHED),
        settings=settings,
        connection_limits=read_connection_limits(content["settings"]),
    )


def _descriptor_limit(content: dict[str, Any]) -> int:
    """Return how many descriptors the process may have: by the file, and by its own resource limit."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    max_descriptors = min(int(content["limits"]["sockets"]), soft_limit)
    if max_descriptors < MIN_DESCRIPTORS:
        raise ValueError(f"limits: sockets is below {MIN_DESCRIPTORS}")
    return max_descriptors
