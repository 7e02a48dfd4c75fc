"""Conversion of the counter's RESP2 replies to results of calls."""

from __future__ import annotations

import re
from typing import NamedTuple

import hiredis

from quota_gateway.model.outcomes import Outcome

# The decimal numbers that a counter may send as a total. float() also accepts "nan", "inf" and "1_0", which
# would corrupt a customer's quota permanently.
TOTAL_PATTERN = re.compile(rb"-?\d{1,20}(\.\d{1,20})?([eE][+-]?\d{1,2})?")
REJECTED_PREFIX = "BUSY"  # error code of a counter that rejected the call under load
ERROR_PREFIX = "ERR"  # error code of a counter that could not execute the call


class CounterResult(NamedTuple):
    """How one counter call ended."""

    outcome: Outcome
    total: float = 0.0  # units counted so far under the name of the call; valid only with SUCCESS


def parse_reply(reply: object) -> CounterResult | None:
    """Return the result in a decoded reply; None if it is neither a number nor a known error.

    The policy engine takes every failure except TIMED_OUT as proof that nothing was added. An unknown reply
    is no such proof, so the caller has to report it as TIMED_OUT.
    """
    if isinstance(reply, hiredis.ReplyError):
        return _parse_error(str(reply))
    if isinstance(reply, int):
        return CounterResult(Outcome.SUCCESS, float(reply))
    if isinstance(reply, bytes) and TOTAL_PATTERN.fullmatch(reply):
        return CounterResult(Outcome.SUCCESS, float(reply))
    return None


def _parse_error(text: str) -> CounterResult | None:
    if text.startswith(REJECTED_PREFIX):
        return CounterResult(Outcome.REJECTED)
    if text.startswith(ERROR_PREFIX):
        return CounterResult(Outcome.ERROR)
    return None
