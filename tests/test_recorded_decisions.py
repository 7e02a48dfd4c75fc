"""Decisions stay what they were before the code was renamed and split: see tests/recorder.py."""

from __future__ import annotations

import pytest

from tests.recorder import FOLDER, LONG_STEPS, SHORT_SEED, SHORT_STEPS, digest, play

ROWS = (FOLDER / "decisions.sha256").read_text().splitlines()
DIGESTS: dict[str, str] = dict(row.split() for row in ROWS)


def test_a_short_sequence_is_decided_as_recorded_action_by_action() -> None:
    recorded = (FOLDER / "decisions.txt").read_text().splitlines()
    played = play(SHORT_SEED, SHORT_STEPS)
    for number, (now, before) in enumerate(zip(played, recorded, strict=False)):
        assert now == before, f"line {number + 1}"
    assert len(played) == len(recorded)


@pytest.mark.parametrize("seed", list(DIGESTS))
def test_a_long_sequence_is_decided_as_recorded(seed: str) -> None:
    assert digest(play(int(seed), LONG_STEPS)) == DIGESTS[seed]
