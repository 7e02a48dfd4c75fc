"""An event loop on a clock of its own, over real sockets: time passes only while nothing is to be done."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

SETTLE = 0.0002  # real seconds of a look before a short jump: loopback delivers while it is written to
LONG_JUMP, LONG_SETTLE = 0.05, 0.002  # a jump from which the look is longer: a limit must not end too early
IDLE = 0.01  # real seconds of a look where no timer is set

if TYPE_CHECKING:
    Events = list[tuple[selectors.SelectorKey, int]]


class VirtualClockSelector(selectors.DefaultSelector):
    """Waits for sockets in real time, and only briefly: then the clock jumps to the next timer."""

    loop: VirtualClockLoop

    def select(self, timeout: float | None = None) -> Events:
        ready: Events = super().select(0)
        if ready or timeout is not None and timeout <= 0:
            return ready
        if timeout is not None and timeout < LONG_JUMP:
            time.sleep(SETTLE)  # the selector's own wait counts whole milliseconds
            ready = super().select(0)
        else:
            ready = super().select(LONG_SETTLE if timeout is not None else IDLE)
        if not ready and timeout is not None:
            self.loop.now += timeout
        return ready


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """`now` is its time in seconds; it starts at 1,000, and all timers, sleeps and timeouts go by it.

    A dial to a port in `late` comes up so many seconds later; adding to `now` makes for a busy core.
    """

    def __init__(self) -> None:
        self.late: dict[int, float] = {}
        selector = VirtualClockSelector()
        self.now = 1000.0
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> Any:
        if port in self.late:
            await asyncio.sleep(self.late[port])
        return await super().create_connection(protocol_factory, host, port, **more)


def this_loop() -> VirtualClockLoop:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualClockLoop)
    return loop


def start_clock() -> Callable[[], float]:
    """In the place of the program's own: Unix time by this loop's clock."""
    loop = this_loop()
    return lambda: 1.7e9 + loop.now


def run_on_virtual_clock(test: Callable[[], Awaitable[None]], at_most: float = 600.0) -> None:
    """Runs the test on such a loop; it fails after so many seconds of that clock."""

    async def bounded() -> None:
        async with asyncio.timeout(at_most):
            await test()

    with asyncio.Runner(loop_factory=VirtualClockLoop) as runner:
        runner.run(bounded())
