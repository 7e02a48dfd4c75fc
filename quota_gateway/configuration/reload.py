"""Applies a changed configuration file to a running gateway."""

from __future__ import annotations

import logging
import os
from typing import NamedTuple

from quota_gateway.configuration.file import Configuration, read_configuration
from quota_gateway.counter.client import CounterClient
from quota_gateway.discovery.client import DiscoveryClient
from quota_gateway.errors import ConfigurationError
from quota_gateway.metrics import Metrics
from quota_gateway.sockets.addresses import Address

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

    def reload(self) -> None:
        """Apply the file as it is now; one that can't be used is logged and changes nothing."""
        try:
            configuration = read_configuration(os.environ)
        except ConfigurationError as error:
            self.metrics.reloaded(False)
            log.warning("reload failed, keeping the current configuration: %s", error)
            return
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
