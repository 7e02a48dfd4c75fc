"""Runs `async def` tests on uvloop, or on a virtual clock where they have the marker `virtual_clock`."""

from __future__ import annotations

import inspect

import pytest

from tests.harness import run
from tests.virtual_clock import run_on_virtual_clock

VIRTUAL_CLOCK = "virtual_clock"


def pytest_configure(config: pytest.Config) -> None:
    """Register the marker of tests that run on a virtual clock."""
    config.addinivalue_line(
        "markers",
        f"{VIRTUAL_CLOCK}(timeout): run the async test on an event loop with a virtual clock, "
        "for at most so many of its seconds",
    )


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a test that is a coroutine function to its end; pytest runs all others itself."""
    test = pyfuncitem.obj
    if not inspect.iscoroutinefunction(test):
        return None
    fixtures = {name: pyfuncitem.funcargs[name] for name in inspect.signature(test).parameters}
    marker = pyfuncitem.get_closest_marker(VIRTUAL_CLOCK)
    if marker is None:
        run(lambda: test(**fixtures))
    else:
        run_on_virtual_clock(lambda: test(**fixtures), *marker.args, **marker.kwargs)
    return True
