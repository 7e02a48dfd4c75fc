"""The policy engine reproduces the recorded decisions, see tests/recorder.py."""

from __future__ import annotations

import pytest

from tests.recorder import DIGESTS, LONG_STEPS, SHORT_SEED, SHORT_STEPS, TRANSCRIPT, digest, play

DIGESTS_BY_SEED: dict[str, str] = dict(row.split() for row in DIGESTS.read_text().splitlines())


def test_a_short_sequence_is_decided_as_recorded_action_by_action() -> None:
    recorded = TRANSCRIPT.read_text().splitlines()
    played = play(SHORT_SEED, SHORT_STEPS)
    for number, (line, recorded_line) in enumerate(zip(played, recorded, strict=False)):
        assert line == recorded_line, f"line {number + 1}"
    assert len(played) == len(recorded)


@pytest.mark.parametrize("seed", list(DIGESTS_BY_SEED))
def test_a_long_sequence_is_decided_as_recorded(seed: str) -> None:
    assert digest(play(int(seed), LONG_STEPS)) == DIGESTS_BY_SEED[seed]
