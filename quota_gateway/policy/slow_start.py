"""How much a cold backend is sent: a budget for the whole fleet, of which each gateway spends its part.

Let gateway i send r_i attempts a second, first and further ones, spread evenly over its own n of all backends
(subset.py), and let R be the gateways that have a backend among their own. A warm one is sent L = sum over R
of r_i / n a second. It can do C of mean work, and L <= C while the fleet is large enough for what it admits.
A cold one has the part s of that by the settings, and falls once it is sent more than N = multiple * s * C *
W requests within W seconds. If each gateway lets an attempt go to it with probability p / n, all of them send
it p * L a second, whatever their rates are: gateway i spends r_i / (sum over R of r_j) of that. With p <=
PART * multiple * s it is at most PART * N * L / C within W. Draws are independent, so that the sum over the
gateways is as uneven as chance makes any such number, by its root, however many they are. What lies between
PART * N and N is for what no gateway can see: rates that are unevenly spread over R, and load beyond C until
it is shed.

A gateway that has widened its choice lets those be that are not its own, and draws its own as often as
before. Why a backend is cold makes no difference: new, come back at its old id, or put back by an operator.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quota_gateway.policy.records import SHUN, Job, Server

if TYPE_CHECKING:
    from quota_gateway.policy.engine import PolicyEngine

PART = 0.5  # of N that the fleet spends at most: twice the even load may come before it is passed


def budget(gateway: PolicyEngine, server: Server) -> float:
    """The probability with which a draw out of `near` that falls on this cold backend may be kept."""
    if server not in gateway.own:
        return 0.0
    wider = len(gateway.near) / len(gateway.own)
    return (
        PART
        * gateway.settings.slow_start_overload_ratio
        * server.cold_share(gateway.now, gateway.settings)
        * wider
    )


def cold_chance(gateway: PolicyEngine, server: Server) -> float:
    """The part kept of draws that fall on a cold backend: as much work as warm ones have, within the budget.

    Each has it by what it can do: where few are sound and warm, that is more.
    """
    sound = sum(s.cold_share(gateway.now, gateway.settings) for s in gateway.near if s.bad < SHUN)
    even = server.cold_share(gateway.now, gateway.settings) * len(gateway.near) / max(sound, 1.0)
    return min(even, budget(gateway, server))


def keeps(gateway: PolicyEngine, job: Job, server: Server, full: bool) -> bool:
    """Whether an attempt that was drawn for a cold backend goes there.

    What is left of the budget is for when the warm ones are full.
    """
    if server.cold_share(gateway.now, gateway.settings) >= 1.0:
        return False
    chance = cold_chance(gateway, server)
    if full:
        chance = budget(gateway, server) - chance
    gateway.drawn = server if gateway.random.random() < chance else None
    return gateway.drawn is server and gateway.may_send(job, server)
