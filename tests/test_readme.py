"""The example in the README prints what the README says."""

from __future__ import annotations

import contextlib
import io
import pathlib

README = (pathlib.Path(__file__).parent.parent / "README.md").read_text()


def test_the_example_prints_what_the_readme_says() -> None:
    code = README.split("```python\n")[1].split("```")[0]
    expected = README.split("It prints\n\n")[1].split("\n\n")[0]
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(compile(code, "README", "exec"), {"__name__": "readme"})
    assert printed.getvalue().splitlines() == [line.strip() for line in expected.splitlines()]
