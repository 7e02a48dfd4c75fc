"""What long bodies and answers mean for the decisions: when time runs, and when a place is free."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from quota_gateway.model.events import (
    AttemptEnded,
    RequestBodyConsumed,
    RequestBodyReceived,
    ResponseStreamStarted,
)
from quota_gateway.model.outcomes import Outcome

if TYPE_CHECKING:
    from quota_gateway.policy.engine import PolicyEngine


def long_body(
    gateway: PolicyEngine, event: ResponseStreamStarted | RequestBodyReceived | RequestBodyConsumed
) -> None:
    job = gateway.jobs.get(event.request_id)
    if job is None:
        return
    if isinstance(event, ResponseStreamStarted):
        stream_begun(gateway, event)
    elif isinstance(event, RequestBodyConsumed):
        job.spent = True
    elif job.request.body_incomplete:
        job.request = replace(job.request, body_incomplete=False, deadline=event.deadline)
        job.asked += gateway.now - job.arrived
        for number, attempt in enumerate(job.attempts):
            if attempt.out:
                gateway.watch_late(job, number)


def stream_begun(gateway: PolicyEngine, event: ResponseStreamStarted) -> None:
    """An answer is judged by its first bytes; while the rest goes through, its place serves another."""
    job = gateway.jobs[event.request_id]
    job.streaming = True
    if not 0 <= event.attempt_index < len(job.attempts) or not job.attempts[event.attempt_index].out:
        return
    attempt = job.attempts[event.attempt_index]
    elapsed = event.elapsed or gateway.now - attempt.sent
    gateway.let_go(attempt)
    attempt.begun = True
    backend = attempt.server.backend.endpoint_id
    gateway.learn(
        job,
        attempt,
        AttemptEnded(
            event.request_id, event.attempt_index, backend, Outcome.SUCCESS, elapsed, False, 0.0, ()
        ),
    )
