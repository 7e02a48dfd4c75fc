"""What long bodies and answers mean for the decisions: when time runs, and when a place is free."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from quota_gateway.model.events import AttemptEnded, BodySpent, StreamBegun, Uploaded
from quota_gateway.model.outcomes import Outcome

if TYPE_CHECKING:
    from quota_gateway.policy.engine import Gateway


def long_body(gateway: Gateway, event: StreamBegun | Uploaded | BodySpent) -> None:
    job = gateway.jobs.get(event.request)
    if job is None:
        return
    if isinstance(event, StreamBegun):
        stream_begun(gateway, event)
    elif isinstance(event, BodySpent):
        job.spent = True
    elif job.request.uploading:
        job.request = replace(job.request, uploading=False, deadline=event.deadline)
        job.asked += gateway.now - job.arrived
        for number, attempt in enumerate(job.attempts):
            if attempt.out:
                gateway.watch_late(job, number)


def stream_begun(gateway: Gateway, event: StreamBegun) -> None:
    """An answer is judged by its first bytes; while the rest goes through, its place serves another."""
    job = gateway.jobs[event.request]
    job.streaming = True
    if not 0 <= event.attempt < len(job.attempts) or not job.attempts[event.attempt].out:
        return
    attempt = job.attempts[event.attempt]
    elapsed = event.elapsed or gateway.now - attempt.sent
    gateway.let_go(attempt)
    attempt.begun = True
    backend = attempt.server.backend.address
    gateway.learn(
        job,
        attempt,
        AttemptEnded(event.request, event.attempt, backend, Outcome.SERVED, elapsed, False, 0.0, ()),
    )
