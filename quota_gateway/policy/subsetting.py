"""Deterministic subsetting: which endpoints a gateway of a large fleet uses.

Endpoints accept few connections, and each is costly to open. A gateway also learns about an endpoint only
from its own attempts: spread over all endpoints of a large fleet, these would be too few for each.
"""

import math
import zlib
from collections import defaultdict
from collections.abc import Callable, Sequence

from quota_gateway.state.records import EndpointState

GATEWAYS_PER_ENDPOINT = 10  # gateways that use an endpoint: the loss of one or two shifts little load
MIN_SUBSET_SIZE = 12  # smallest subset, in endpoints: if one of three zones fails, eight are left
MIN_HEALTHY_FRACTION = 0.6  # fraction of the subset's normal size: with fewer healthy endpoints it is widened


def subset_size(endpoints: int, gateways: int) -> int:
    """Return the number of endpoints that a gateway uses; in a small fleet, all of them."""
    return min(endpoints, max(MIN_SUBSET_SIZE, math.ceil(GATEWAYS_PER_ENDPOINT * endpoints / gateways)))


class SubsetRing:
    """Endpoints on a ring of length 1 that is the same at all gateways; each gateway uses an arc of it."""

    def __init__(self, endpoints: Sequence[EndpointState], gateway_index: int, gateways: int) -> None:
        self._endpoints = endpoints
        self._subset_size = subset_size(len(endpoints), gateways)
        self._arc_start = gateway_index / gateways
        self._ring = _positions(endpoints) if self._subset_size < len(endpoints) else []

    def select(self, is_healthy: Callable[[EndpointState], bool]) -> Sequence[EndpointState]:
        """Return this gateway's subset, widened while too few of its endpoints are healthy."""
        if not self._ring:
            return self._endpoints
        arc_start = self._arc_start
        arc_length = self._subset_size / len(self._endpoints)
        while True:
            subset = [
                endpoint for position, endpoint in self._ring if (position - arc_start) % 1.0 < arc_length
            ]
            if arc_length >= 1.0 or sum(map(is_healthy, subset)) >= MIN_HEALTHY_FRACTION * self._subset_size:
                return subset
            arc_length *= 2


def _positions(endpoints: Sequence[EndpointState]) -> list[tuple[float, EndpointState]]:
    """Return positions that spread each zone evenly over the ring.

    Within a zone, endpoints are ordered by a hash: one that is added or removed moves others by one rank.
    """
    zones: dict[str, list[EndpointState]] = defaultdict(list)
    for endpoint in endpoints:
        zones[endpoint.endpoint.zone].append(endpoint)
    positions = []
    for members in zones.values():
        members.sort(key=lambda endpoint: (zlib.crc32(endpoint.id.encode()), endpoint.id))
        positions += [((rank + 0.5) / len(members), endpoint) for rank, endpoint in enumerate(members)]
    return positions
