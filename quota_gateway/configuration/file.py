"""Reads the configuration file and the environment variables that override parts of it."""

from __future__ import annotations

import json
import math
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from quota_gateway.configuration.connection_limits import ConnectionLimits, read_connection_limits
from quota_gateway.configuration.settings_reader import read_settings
from quota_gateway.discovery.endpoint_update import EndpointUpdate, parse_endpoint_update
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

BYTES_PER_MEGABYTE = 1_000_000
DEFAULT_MEMORY_MEGABYTES = 192.0  # the most that the platform gives a gateway
# Minimum number of file descriptors; fewer would leave none for clients and endpoints
MIN_DESCRIPTORS = 32
SEED_BASE = 16  # the seed in the file is a hexadecimal string


@dataclass(frozen=True, slots=True)
class Configuration:
    """The complete configuration of one gateway process."""

    name: str
    listen_address: Address  # address on which clients connect
    discovery_address: Address
    file_discovery_address: Address | None  # address in the file, even if the environment overrides it
    counter_address: Address | None  # None if the settings disable the counter service
    admin_address: Address | None  # None if there is no admin server
    listen_descriptor: int | None  # listening socket for clients, inherited from the platform
    shared_folder: str | None  # folder shared by the processes of a hot restart
    seed: int
    max_descriptors: int
    memory_limit: int  # bytes, at which the platform kills the process
    cached_endpoints: EndpointUpdate  # cached endpoint list, used until discovery answers
    settings: Settings
    connection_limits: ConnectionLimits


def read_configuration(environment: Mapping[str, str]) -> Configuration:
    """Return the configuration from the file at `$RELAY_CONFIG`, with overrides from other variables.

    Raise ConfigurationError with a one-line message if the file cannot be used.
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
        problem = " ".join(str(error).split())  # the message may quote line breaks from the file
        raise ConfigurationError(f"{path}: {problem}") from error


def build_configuration(content: dict[str, Any], environment: Mapping[str, str]) -> Configuration:
    """Return the configuration from the decoded file.

    Invalid content raises KeyError, TypeError, ValueError, AttributeError or EndpointListError.
    """
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
        memory_limit=_memory_limit(content),
        cached_endpoints=parse_endpoint_update(content["known"], EndpointListKind.CACHED),
        settings=settings,
        connection_limits=read_connection_limits(content["settings"]),
    )


def _descriptor_limit(content: dict[str, Any]) -> int:
    """Return the lower of the descriptor limit in the file and the resource limit of the process."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    max_descriptors = min(int(content["limits"]["sockets"]), soft_limit)
    if max_descriptors < MIN_DESCRIPTORS:
        raise ValueError(f"limits: sockets is below {MIN_DESCRIPTORS}")
    return max_descriptors


def _memory_limit(content: dict[str, Any]) -> int:
    """Return the memory limit in the file, in bytes."""
    megabytes = float(content["limits"].get("memory_mb", DEFAULT_MEMORY_MEGABYTES))
    if not 0 < megabytes < math.inf:
        raise ValueError("limits: memory_mb is not above 0")
    return int(megabytes * BYTES_PER_MEGABYTE)
