"""Which backends a gateway of a large fleet uses: a part of them that is its own, and covers them evenly.

Backends hold few connections, each of which costs work to open, and a gateway learns of a backend only by its
own answers: spread over all of a large fleet's it would meet each too seldom to know it.
"""

from __future__ import annotations

import math
import zlib
from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quota_gateway.policy.records import Server

REACHED_BY = 10  # gateways that use each backend: the end of one or two of them shifts little load
LEAST_SIZE = 12  # backends that a gateway uses at least: without a zone of three eight are left
SOUND_PART = 0.6  # of its usual number that must be sound: with less it takes more in


def size_of(backends: int, gateways: int) -> int:
    """How many backends a gateway uses: all of a small fleet's."""
    return min(backends, max(LEAST_SIZE, math.ceil(REACHED_BY * backends / gateways)))


def subset(
    servers: Sequence[Server], me: int, gateways: int, sound: Callable[[Server], bool]
) -> Sequence[Server]:
    """This gateway's backends, more of them while too few of its own are sound."""
    size = size_of(len(servers), gateways)
    if size == len(servers):
        return servers
    ring = places(servers)
    begin, length = me / gateways, size / len(servers)
    while True:
        own = [server for place, server in ring if (place - begin) % 1.0 < length]
        if length >= 1.0 or sum(map(sound, own)) >= SOUND_PART * size:
            return own
        length *= 2


def places(servers: Sequence[Server]) -> list[tuple[float, Server]]:
    """Places on a ring of length 1, alike at all gateways: each zone's backends evenly all the way round.

    The order within a zone is that of a hash, so that one that comes or goes moves the others by one place.
    """
    zones: dict[str, list[Server]] = defaultdict(list)
    for server in servers:
        zones[server.backend.zone].append(server)
    ring = []
    for zone in zones.values():
        zone.sort(key=lambda s: (zlib.crc32(s.backend.endpoint_id.encode()), s.backend.endpoint_id))
        ring += [((rank + 0.5) / len(zone), server) for rank, server in enumerate(zone)]
    return ring
