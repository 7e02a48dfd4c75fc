"""Clients' repeats: how old they are, and which of them may take the place of a fresh request."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.actions import Action, Reject, StartAttempt
from quota_gateway.model.events import Event, RequestReceived
from tests.harness import request as http_request
from tests.harness import run, running
from tests.policy_harness import SAFE, gateway, request


def repeat(number: int, patience: float) -> RequestReceived:
    asked = request(number, customer=f"x{number}", deadline=100.0 + patience)
    return replace(asked, is_retry=True, client_timeout=patience)


def busy(patience: float = SAFE.deadline, **changes: Any) -> PolicyEngine:
    """A gateway that has seen a first try, with enough out that there is no room to spare."""
    made = gateway(**changes)
    made.handle(replace(request(1, customer="first"), client_timeout=patience), 100.0)
    made.admission.concurrency_limit = made.admission.in_flight * 4.0
    return made


def test_a_repeat_that_comes_too_late_gives_way_to_fresh_requests() -> None:
    # half of all arrivals on a busy day were repeats: each took capacity and quota, and earned nothing
    made = busy()
    late = made.handle(repeat(2, SAFE.deadline - 1.5 * SAFE.latency_objective), 100.0)
    assert [type(a) for a in late] == [Reject] and late[0].retry_after > 0  # type: ignore[union-attr]
    assert (
        made.limiters.limiters["x2"].balance == made.limiters.limiters["x2"].capacity
    )  # and took nothing of the quota
    assert any(
        isinstance(a, StartAttempt)
        for a in made.handle(repeat(3, SAFE.deadline - 0.3 * SAFE.latency_objective), 100.0)
    )
    assert any(isinstance(a, StartAttempt) for a in made.handle(request(4, customer="fresh"), 100.0))


def test_a_repeat_that_comes_too_late_is_served_where_there_is_room() -> None:
    made = busy()
    made.admission.concurrency_limit = float("inf")
    tries = [made.handle(repeat(n, 1.0), 100.0) for n in (2, 3)]
    assert all(any(isinstance(a, StartAttempt) for a in actions) for actions in tries)
    spent = made.limiters.limiters["x2"]
    spent.balance = spent.capacity / 4  # what is left there is for fresh ones
    again = replace(repeat(4, 1.0), customer="x2")
    assert [type(a) for a in made.handle(again, 100.0)] == [Reject]


@pytest.mark.parametrize(
    ("patience", "advice", "sent"),
    [
        (2.0, 1.0, False),  # the advice alone made it as old as the aim
        (2.0, 0.3, True),
        (3.9, 1.0, True),  # but no older than its time allows
    ],
)
def test_a_repeat_with_as_much_time_as_a_first_try_is_as_old_as_the_advice(
    patience: float, advice: float, sent: bool
) -> None:
    made = busy(patience, max_retry_after=advice)
    assert any(isinstance(a, StartAttempt) for a in made.handle(repeat(2, patience), 100.0)) == sent


def test_without_advice_nothing_is_known_of_such_a_repeat() -> None:
    made = busy(2.0, retry_after_allowed=False)
    assert any(isinstance(a, StartAttempt) for a in made.handle(repeat(2, 2.0), 100.0))


def test_a_repeat_whose_late_answer_keeps_its_worth_is_not_too_late() -> None:
    made = busy(request_classes=(replace(SAFE, late_value_ratio=0.6),))
    assert any(
        isinstance(a, StartAttempt)
        for a in made.handle(repeat(2, SAFE.deadline - 1.5 * SAFE.latency_objective), 100.0)
    )


def test_what_a_repeat_waits_for_ends_with_the_time_its_first_try_set() -> None:
    made = busy()
    actions = made.handle(repeat(2, SAFE.deadline - 0.4 * SAFE.latency_objective), 100.0)
    sent = next(a for a in actions if isinstance(a, StartAttempt))
    assert sent.timeout == pytest.approx(0.6 * SAFE.latency_objective)
    throttle = made.limiters.limiters["x2"]
    throttle.balance = 1.0 - 0.3 * throttle.rate  # 0.3 s short: a fresh one is held for it, an old one is not
    old = replace(repeat(3, SAFE.deadline - 0.8 * SAFE.latency_objective), customer="x2")
    assert any(isinstance(a, Reject) for a in made.handle(old, 100.0))
    assert not any(isinstance(a, Reject) for a in made.handle(request(4, customer="x2"), 100.0))


def test_the_module_is_told_how_long_the_client_waits_from_its_send(monkeypatch: pytest.MonkeyPatch) -> None:
    told: list[RequestReceived] = []
    handle = PolicyEngine.handle

    def listening(self: PolicyEngine, event: Event, now: float) -> list[Action]:
        if isinstance(event, RequestReceived):
            told.append(event)
        return handle(self, event, now)

    async def test() -> None:
        monkeypatch.setattr(PolicyEngine, "handle", listening)
        async with running() as bed:
            assert (await (await bed.client()).ask(http_request(1, budget=3.25, X_Again="1")))[0] == 200
        assert [(r.client_timeout, r.is_retry) for r in told] == [(3.25, True)]

    run(test)


def advice(made: PolicyEngine, asked: RequestReceived) -> float:
    refused = next(a for a in made.handle(asked, 100.0) if isinstance(a, Reject))
    return refused.retry_after


def test_a_refused_client_is_told_when_there_is_credit_if_that_is_in_time() -> None:
    made = gateway()
    made.handle(request(1, units=4.0), 100.0)  # the bank is empty
    assert advice(made, request(2)) == pytest.approx(0.5)


def test_a_refused_client_is_told_to_come_back_soon_where_credit_here_comes_too_late() -> None:
    # told half a second or more, it came back too late to be served in time by anybody
    made = gateway()
    made.handle(request(1, units=4.0), 100.0)
    assert advice(made, request(2, units=3.0)) == pytest.approx(0.15 * SAFE.latency_objective)  # 1.5 s here
    pressed = gateway()
    pressed.admission.concurrency_limit = -1.0
    assert advice(pressed, request(3)) == pytest.approx(0.15 * SAFE.latency_objective)
    silent = gateway(retry_after_allowed=False)
    silent.admission.concurrency_limit = -1.0
    assert advice(silent, request(4)) == 0.0
