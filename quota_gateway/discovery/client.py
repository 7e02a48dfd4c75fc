"""Client of service discovery, which follows the endpoint list across changes of the agent's address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quota_gateway.discovery.endpoint_update import EndpointUpdate
from quota_gateway.discovery.poll_schedule import DEFAULT_POLL_SCHEDULE, PollSchedule
from quota_gateway.discovery.poller import EndpointPoller
from quota_gateway.sockets.addresses import Address
from quota_gateway.sockets.dialing import ignore_descriptor_exhaustion


class DiscoveryClient:
    """Polls the endpoint list at an agent.

    After a change of the agent's address, the old agent is polled until the new one has sent an update.
    """

    def __init__(
        self,
        address: Address,
        connect_timeout: float,
        on_update: Callable[[EndpointUpdate], None],
        known_generation: int | None = None,
        schedule: PollSchedule = DEFAULT_POLL_SCHEDULE,
        on_descriptor_exhaustion: Callable[[], None] = ignore_descriptor_exhaustion,
    ) -> None:
        """Initialize the client; `connect_timeout` is in seconds, and `on_update` receives the updates.

        `known_generation` is the version of the list that the gateway starts with, or None. It is valid for
        the first agent only.
        """
        self.address = address
        self.connect_timeout = connect_timeout
        self.on_update = on_update
        self.known_generation = known_generation
        self.schedule = schedule
        self.on_descriptor_exhaustion = on_descriptor_exhaustion
        # set by the first update or rejection: after a rejection, waiting on would not bring a list sooner
        self.first_response_received = asyncio.Event()
        self.pollers: list[EndpointPoller] = []  # the active poller, then its replacement, if any

    def start(self) -> None:
        """Start polling the current address."""
        known_generation = self.known_generation
        self.known_generation = None
        poller = EndpointPoller(
            self.address,
            self.connect_timeout,
            self.handle_update,
            generation=known_generation,
            schedule=self.schedule,
            on_unavailable=self.first_response_received.set,
            on_descriptor_exhaustion=self.on_descriptor_exhaustion,
        )
        self.pollers.append(poller)

    def change_address(self, address: Address) -> None:
        """Switch to the agent at another address once it sends its first update."""
        self.address = address
        for superseded in self.pollers[1:]:
            superseded.stop()
        del self.pollers[1:]
        if not self.pollers or self.pollers[0].address != address:
            self.start()

    def handle_update(self, poller: EndpointPoller, update: EndpointUpdate) -> None:
        """Pass an update on, and stop the pollers that `poller` replaces."""
        for replaced in self.pollers[: self.pollers.index(poller)]:
            replaced.stop()
            self.pollers.remove(replaced)
        self.first_response_received.set()
        self.on_update(update)

    def stop(self) -> None:
        """Stop all polling."""
        for poller in self.pollers:
            poller.stop()
