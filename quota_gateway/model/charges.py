"""Quota units that one of the two processes of a hot restart reports to the other."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UnitsCharged:
    """Units of forwarded requests that one process charged to a customer.

    It is an action of the process that forwarded them, and an event of the other, which charges them too.
    """

    customer: str
    plan: str
    quota_spread: int  # gateways over which the customer's requests are spread
    units: float
