"""A customer's rate limiter: a token bucket with a bounded first-in first-out queue.

Tokens and queued units are one number, the balance, which is at most the bucket's capacity: above zero it is
the paper's token bank, below zero its job buffer. A request is charged on arrival. Requests leave the queue
in order, each once the balance covers it, not counting those behind it.
"""

from quota_gateway.model.settings import Plan
from quota_gateway.state.limiter_state import LimiterState, Queued

EPSILON = 1e-9  # tolerance of float comparisons


def is_too_small_to_split(plan: Plan, quota_spread: int, max_units: float) -> bool:
    """Return whether a gateway's even part of the burst would be less than a request of `max_units`."""
    return quota_spread > 1 and 0 < plan.burst < max_units * quota_spread and plan.rate > 0


class TokenBucketLimiter(LimiterState[Queued]):
    """A customer's token bucket at this gateway; balances are in units, times in seconds."""

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last refill, up to the capacity less the queued units."""
        elapsed = max(now - self.refilled_at, 0.0)
        refilled = self.balance + self.rate * elapsed
        self.balance = max(self.balance, min(refilled, self.capacity - self.queued_units))
        hard_limit_refilled = self.hard_limit_balance + self.hard_limit_rate * elapsed
        self.hard_limit_balance = min(self.hard_limit_capacity, hard_limit_refilled)
        self.refilled_at = now

    def set_quota_fraction(self, fraction: float, now: float) -> None:
        """Set this gateway's fraction of the quota, effective at `now`."""
        self.refill(now)
        self.quota_fraction = fraction
        self.rate = self.plan.rate * fraction
        self.capacity = self.plan.burst * fraction
        self.balance = min(self.balance, self.capacity - self.queued_units)

    def refund(self, units: float) -> None:
        """Refund units that were charged but not used."""
        self.balance = min(self.balance + units, self.capacity - self.queued_units)

    def wait_time(self, units: float) -> float:
        """Return the seconds until the head of the queue, or a new request if it is empty, may leave."""
        wait = 0.0
        deficit = min(units, self.capacity) - (self.balance + self.queued_units)
        if self.plan.rate > 0 and deficit > EPSILON:
            wait = deficit / self.rate
        if self.plan.hard_limit_rate > 0 and units - self.hard_limit_balance > EPSILON:
            wait = max(wait, (units - self.hard_limit_balance) / self.hard_limit_rate)
        return wait

    def queueing_time(self, units: float) -> float:
        """Return the seconds that a new request would wait behind those in the queue."""
        wait = self.wait_time(0.0 if self.queue else units)
        if self.plan.rate > 0:
            wait = max(wait, (min(units, self.capacity) - self.balance) / self.rate)
        return wait

    def has_free_slot(self) -> bool:
        """Return whether the plan's concurrency limit allows another attempt at this gateway."""
        limit = self.plan.concurrency
        return limit <= 0 or self.in_flight < max(1, limit // self.quota_spread)

    def is_half_full(self) -> bool:
        """Return whether the bucket is at least half full, without the charges of queued requests."""
        return self.balance + self.queued_units >= self.capacity / 2

    def is_idle(self, now: float) -> bool:
        """Return whether the state is that of a new limiter, so that this one can be evicted."""
        self.refill(now)
        full = self.plan.rate <= 0 or self.balance >= self.capacity - EPSILON
        full = full and self.hard_limit_balance >= self.hard_limit_capacity - EPSILON
        return full and not (self.report_scheduled or self.has_pending_work())

    def has_pending_work(self) -> bool:
        """Return whether requests or replies of the counter still need this limiter."""
        return bool(self.queue or self.in_flight or self.counter_calls or self.awaiting_reading)

    def merge_balance(self, peer_balance: float, now: float) -> None:
        """Lower the balance to another process's less what was spent here, unless it is lower already."""
        self.refill(now)
        spent = max(self.capacity - self.balance, 0.0)
        self.balance = min(self.balance, peer_balance - spent)
