"""The policy engine reproduces the recorded decisions, see tests/recorder.py."""

from __future__ import annotations

import pytest

from tests.recorder import DIGESTS, LONG_STEPS, SHORT_SEED, SHORT_STEPS, TRANSCRIPT, digest, run_sequence

DIGESTS_BY_SEED: dict[str, str] = dict(row.split() for row in DIGESTS.read_text().splitlines())


def test_short_sequence_matches_recorded_actions() -> None:
    recorded = TRANSCRIPT.read_text().splitlines()
    replayed = run_sequence(SHORT_SEED, SHORT_STEPS)
    for number, (line, recorded_line) in enumerate(zip(replayed, recorded, strict=False)):
        assert line == recorded_line, f"line {number + 1}"
    assert len(replayed) == len(recorded)


@pytest.mark.parametrize("seed", list(DIGESTS_BY_SEED))
def test_long_sequence_matches_recorded_digest(seed: str) -> None:
    assert digest(run_sequence(int(seed), LONG_STEPS)) == DIGESTS_BY_SEED[seed]
