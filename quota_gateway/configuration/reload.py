"""Reloads the configuration file of a running gateway."""

from __future__ import annotations

import asyncio
import logging
import os
from typing import NamedTuple

from quota_gateway.configuration.file import Configuration, read_configuration
from quota_gateway.counter.client import CounterClient
from quota_gateway.discovery.client import DiscoveryClient
from quota_gateway.errors import ConfigurationError
from quota_gateway.metrics import Metrics
from quota_gateway.sockets.addresses import Address

# Seconds after which a failed reload is retried, as the file may be only partly written
RETRY_DELAY = 0.1
# Maximum retries after one signal; 4 s after it the gateway must know the endpoints of a new discovery
MAX_RETRIES = 30

log = logging.getLogger("quota_gateway")


class ReloadableAddresses(NamedTuple):
    """The addresses in the configuration file that a reload can change."""

    discovery: Address | None
    counter: Address | None


class ConfigurationReloader:
    """Rereads the configuration on request, and applies changed addresses of discovery and the counter."""

    def __init__(
        self,
        configuration: Configuration,
        discovery: DiscoveryClient,
        counter: CounterClient | None,
        metrics: Metrics,
    ) -> None:
        """Initialize with the configuration at the start, and the components that a reload updates."""
        self.addresses = reloadable_addresses(configuration)
        self.discovery = discovery
        self.counter = counter
        self.metrics = metrics
        self._retry_timer: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Apply the current file; if it cannot be used, log the error and retry for a few seconds."""
        self.close()
        try:
            configuration = read_configuration(os.environ)
        except ConfigurationError as error:
            self.metrics.record_reload(False)
            log.warning("reload failed, keeping the current configuration: %s", error)
            self._retry_later(MAX_RETRIES)
            return
        self._apply_configuration(configuration)

    def close(self) -> None:
        """Cancel a pending retry."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None

    def _retry_later(self, retries: int) -> None:
        loop = asyncio.get_running_loop()
        self._retry_timer = loop.call_later(RETRY_DELAY, self._retry, retries)

    def _retry(self, retries: int) -> None:
        self._retry_timer = None
        try:
            configuration = read_configuration(os.environ)
        except ConfigurationError:
            if retries > 1:
                self._retry_later(retries - 1)
            return
        log.info("configuration reloaded after a failure")
        self._apply_configuration(configuration)

    def _apply_configuration(self, configuration: Configuration) -> None:
        self.metrics.record_reload(True)
        self._apply_addresses(reloadable_addresses(configuration))

    def _apply_addresses(self, addresses: ReloadableAddresses) -> None:
        # an address from the environment stays in use until the one in the file changes, as that is newer
        previous = self.addresses
        self.addresses = addresses
        if addresses.discovery is not None and addresses.discovery != previous.discovery:
            self.discovery.change_address(addresses.discovery)
        if self.counter is None or addresses.counter is None:
            return
        if addresses.counter != previous.counter:
            self.counter.change_address(addresses.counter)


def reloadable_addresses(configuration: Configuration) -> ReloadableAddresses:
    """Return the addresses that a reload compares with the previous ones."""
    return ReloadableAddresses(configuration.file_discovery_address, configuration.counter_address)
