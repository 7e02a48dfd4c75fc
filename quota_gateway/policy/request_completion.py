"""How requests come to their end here when nobody waits for them any more, and what goes back then."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quota_gateway.policy.records import Job
from quota_gateway.policy.state_snapshot import charge
from quota_gateway.policy.token_bucket import PERIOD

if TYPE_CHECKING:
    from quota_gateway.policy.engine import PolicyEngine


def client_left(gateway: PolicyEngine, request: int) -> None:
    job = gateway.jobs.get(request)
    if job is None:
        return
    job.ended = True
    gateway.call_off(job)
    if job in job.throttle.queue:
        gateway.take_out(job)
    gateway.release(job.throttle)
    if not job.out:
        forget(gateway, job)


def unwanted(gateway: PolicyEngine, request: int) -> None:
    """What is out may still be answered, to a client that has only ended its sending."""
    job = gateway.jobs.get(request)
    if job is None or job.ended or job.streaming:
        return
    job.spent = True
    if job in job.throttle.queue:
        gateway.take_out(job)
    if not job.out:
        gateway.answer(job, PERIOD)
    gateway.release(job.throttle)


def forget(gateway: PolicyEngine, job: Job) -> None:
    """The end of one with nothing out; units that no attempt was let out with go back."""
    throttle = job.throttle
    known = gateway.jobs.pop(job.request.request_id, None) is not None
    if known and job.attempts and job.unsent and throttle.plan.rate > 0 and not job.beyond:
        throttle.refill(gateway.now)
        throttle.level = min(throttle.level + job.request.units, throttle.bank - throttle.held)
        gateway.take_back(job)
        charge(gateway, throttle, -job.request.units)
