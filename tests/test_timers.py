"""Encoding and decoding of timers; their texts are part of the simulator's protocol and must not change."""

from __future__ import annotations

import pytest

from quota_gateway.model.timers import (
    LateAttemptTimer,
    PollEndpointsTimer,
    QueueTimeoutTimer,
    ReadDemandTimer,
    ReleaseQueueTimer,
    ReportDemandTimer,
    Timer,
    decode_timer,
    encode_timer,
)


@pytest.mark.parametrize(
    ("timer", "text"),
    [
        (PollEndpointsTimer(), "list"),
        (LateAttemptTimer(23, 1), "o1 23"),
        (QueueTimeoutTimer(7), "h7"),
        (ReleaseQueueTimer("00c1"), "r00c1"),
        (ReportDemandTimer("00c1"), "c00c1"),
        (ReadDemandTimer("00c1", 1700000000), "d1700000000 00c1"),
    ],
)
def test_timer_is_encoded_and_decoded(timer: Timer, text: str) -> None:
    assert encode_timer(timer) == text
    assert decode_timer(text) == timer


@pytest.mark.parametrize("text", ["", "x1", "o", "o1", "hx"])
def test_decoding_malformed_text_raises(text: str) -> None:
    with pytest.raises(ValueError):
        decode_timer(text)
