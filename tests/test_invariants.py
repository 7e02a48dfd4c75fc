"""Violations of invariants, reasons for rejections, and the request log, as operators see them."""

from __future__ import annotations

import asyncio
import logging

import pytest

from quota_gateway.__main__ import main
from quota_gateway.exit_status import EXIT_INVALID_INPUT
from quota_gateway.invariants import Invariant
from quota_gateway.model.actions import Reason
from quota_gateway.model.outcomes import Outcome
from quota_gateway.policy.permissions import RefusalReason, attempt_refusal, may_close_client_connection
from tests.fakes import http_response
from tests.harness import GatewayHarness, request, running_gateway
from tests.upstream_harness import new_attempt, respond_with, running_pool


class RequestState:
    """A request with the attributes that the rules on attempts read."""

    def __init__(self, **changes: object) -> None:
        self.answered = False
        self.deadline = 110.0
        self.attempt_start_deadline: float | None = None
        self.arrived_at = 100.0
        self.is_gone = False
        self.disconnect_checks = 0
        self.__dict__.update(changes)

    def client_disconnected(self) -> bool:
        self.disconnect_checks += 1
        return self.is_gone


@pytest.mark.parametrize(
    ("changes", "send_deadline", "now", "refusal"),
    [
        ({}, None, 101.0, None),
        ({"answered": True}, None, 101.0, RefusalReason.ANSWERED),
        ({}, None, 110.0, RefusalReason.PAST_DEADLINE),
        ({}, 101.0, 101.0, RefusalReason.WINDOW_OVER),
        ({}, 101.1, 101.0, None),
        ({"attempt_start_deadline": 101.0}, None, 100.9, None),
        ({"attempt_start_deadline": 101.0}, None, 101.0, RefusalReason.CLIENT_GONE),
        ({"is_gone": True}, None, 100.02, RefusalReason.CLIENT_GONE),
        ({"is_gone": True}, None, 100.005, None),  # the request arrived just now
    ],
)
def test_attempt_is_refused_for_one_reason(
    changes: dict[str, object], send_deadline: float | None, now: float, refusal: RefusalReason | None
) -> None:
    assert attempt_refusal(RequestState(**changes), send_deadline, now) is refusal


class ConnectionState:
    """A client connection with the methods that the rules on closing call."""

    def __init__(self, idle: bool = True, unread: bool = False) -> None:
        self.idle, self.unread = idle, unread

    def is_idle(self) -> bool:
        return self.idle

    def last_used_at(self) -> float:
        return 100.0

    def has_unread_input(self) -> bool:
        return self.unread


def test_connection_is_closed_only_without_losing_requests() -> None:
    assert may_close_client_connection(ConnectionState(), 2.0, 102.0)
    assert not may_close_client_connection(ConnectionState(), 2.0, 101.9)
    assert not may_close_client_connection(ConnectionState(idle=False), 2.0, 110.0)
    assert not may_close_client_connection(ConnectionState(unread=True), 2.0, 110.0)


async def violation_counts(harness: GatewayHarness) -> dict[str, int]:
    prefix = "violations."
    metrics = await harness.metrics()
    assert metrics["violations"] == sum(n for name, n in metrics.items() if name.startswith(prefix))
    return {name.removeprefix(prefix): n for name, n in metrics.items() if name.startswith(prefix)}


async def test_violation_is_counted_and_logged(caplog: pytest.LogCaptureFixture) -> None:
    async with running_gateway() as harness:
        assert await violation_counts(harness) == {str(invariant): 0 for invariant in Invariant}
        client = await harness.connect_client()
        assert (await client.exchange(request(1)))[0] == 200
        released = asyncio.Event()

        async def respond_later(writer: asyncio.StreamWriter, received: object) -> None:
            await released.wait()

        harness.backends[0].script = [respond_later]
        client.send(request(2))
        await harness.backends[0].wait_until(lambda: len(harness.received_requests()) == 2)
        (connection,) = harness.process.listener.connections
        connection.close_immediately()  # a fault that the invariant has to report
        assert (await violation_counts(harness))[Invariant.CLOSED_ANSWERED] == 1
        assert "invariant closed_answered is violated" in caplog.text
        released.set()


async def test_send_check_is_independent_of_send_decision() -> None:
    """The pool checks each rule again at the send itself."""
    async with running_pool() as (sender, _):
        pool = sender.pool
        first = sender.start()
        assert (await first.result).outcome is Outcome.SUCCESS
        (endpoint,) = pool.endpoints.values()
        (connection,) = pool.connections
        attempt = new_attempt(pool).attempt
        now = pool.clock()
        pool.check_send_invariants(attempt, endpoint, now)
        assert not any(pool.invariants.violations.values())
        attempt.connection = connection
        assert attempt.owner is not None
        owner = attempt.owner
        owner.client_deadline = now - 1.0
        owner.attempt_start_deadline = now - 1.0
        pool.retire_endpoint(endpoint.endpoint_id)
        pool.check_send_invariants(attempt, endpoint, now)
        owner.answered = True
        pool.check_send_invariants(attempt, endpoint, now)
        counts = pool.invariants.violations
        assert {name for name, count in counts.items() if count} == {
            Invariant.SENT_ONCE,
            Invariant.SENT_TO_LISTED,
            Invariant.SENT_UNANSWERED,
            Invariant.SENT_IN_TIME,
            Invariant.TOLD_IN_TIME,
            Invariant.SENT_TO_PRESENT,
        }


async def test_rejections_and_attempt_outcomes_are_counted() -> None:
    async with running_gateway() as harness:
        harness.backends[0].script = [respond_with(http_response(200))]  # without Billed-Units
        client = await harness.connect_client()
        assert (await client.exchange(request(1, plan="pro", units="8")))[0] == 200
        assert (await client.exchange(request(2, plan="pro", units="8", budget=0.3)))[0] == 429
        harness.process.set_maintenance("b0", True)
        assert (await client.exchange(request(3)))[0] == 429
        metrics = await harness.metrics()
        assert metrics[f"rejected.{Reason.QUOTA}"] == metrics[f"rejected.{Reason.NO_ENDPOINT}"] == 1
        assert metrics["attempts_ended.success"] == 1 and metrics["attempts_ended.timed_out"] == 0
        assert metrics[f"attempts_refused.{RefusalReason.CLIENT_GONE}"] == 0


async def test_request_log_has_all_events_of_request(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.DEBUG, logger="quota_gateway.requests")
    async with running_gateway() as harness:
        client = await harness.connect_client()
        assert (await client.exchange(request(0xAB)))[0] == 200
        lines = [
            record.getMessage() for record in caplog.records if "call=00000000000000ab" in record.message
        ]
        events = [line.partition("event=")[2].split()[0] for line in lines]
        assert events == ["received", "started", "ended"]
        assert all(line.startswith("at=") and " request=1 " in line for line in lines)
        assert "endpoint=b0" in lines[1] and "outcome=success" in lines[2]


def test_invalid_log_level_is_reported_in_one_line(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("RELAY_LOG_LEVEL", "loud")
    assert main() == EXIT_INVALID_INPUT
    assert capsys.readouterr().err == "quota_gateway: RELAY_LOG_LEVEL is not a log level: 'LOUD'\n"
