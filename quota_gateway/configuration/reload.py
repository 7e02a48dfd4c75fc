"""Applies a changed configuration file to a running gateway."""

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

RETRY_DELAY = 0.1  # seconds after which a reload that failed is tried again: the file may be half written
MAX_RETRIES = 30  # after one signal; from 4 s after it what the new discovery has to tell counts as told

log = logging.getLogger("quota_gateway")


class ReloadableAddresses(NamedTuple):
    """The addresses that may change while the gateway runs, as the file has them."""

    discovery: Address | None
    counter: Address | None


class ConfigurationReloader:
    """Reads the configuration again on request, and moves discovery and counter to their new addresses."""

    def __init__(
        self,
        configuration: Configuration,
        discovery: DiscoveryClient,
        counter: CounterClient | None,
        metrics: Metrics,
    ) -> None:
        """Take the configuration of the start, and the parts that a reload changes."""
        self.addresses = reloadable_addresses(configuration)
        self.discovery = discovery
        self.counter = counter
        self.metrics = metrics
        self._retry_timer: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Apply the file as it is now; one that can't be used is logged, and read again for some seconds."""
        self.close()
        try:
            configuration = read_configuration(os.environ)
        except ConfigurationError as error:
            self.metrics.reloaded(False)
            log.warning("reload failed, keeping the current configuration: %s", error)
            self._retry_later(MAX_RETRIES)
            return
        self._finish(configuration)

    def close(self) -> None:
        """Try no further reload."""
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
        log.info("the configuration was reloaded after a failure")
        self._finish(configuration)

    def _finish(self, configuration: Configuration) -> None:
        self.metrics.reloaded(True)
        self._apply(reloadable_addresses(configuration))

    def _apply(self, addresses: ReloadableAddresses) -> None:
        # an address from the environment stays in use until the file's own changes, being the later one
        previous = self.addresses
        self.addresses = addresses
        if addresses.discovery is not None and addresses.discovery != previous.discovery:
            self.discovery.move(addresses.discovery)
        if self.counter is None or addresses.counter is None:
            return
        if addresses.counter != previous.counter:
            self.counter.move(addresses.counter)


def reloadable_addresses(configuration: Configuration) -> ReloadableAddresses:
    """Return the addresses that a reload compares."""
    return ReloadableAddresses(configuration.file_discovery_address, configuration.counter_address)
