"""What the two processes of a hot restart report to each other: quota charges, and calls sent on."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UnitsCharged:
    """Quota units of forwarded requests that one process has charged to a customer.

    This is an action in the process that forwarded the requests, and an event in the other process, which
    charges the same units to its own copy of the quota.
    """

    customer: str
    plan: str
    quota_spread: int  # number of gateways that share the customer's requests
    units: float


@dataclass(frozen=True, slots=True)
class CallsSent:
    """Ids of calls for which one process has started attempts, and which must not be executed twice."""

    call_ids: tuple[str, ...]
