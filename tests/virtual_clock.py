"""An event loop with a virtual clock over real sockets: time advances only while no socket is ready."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Any

START_TIME = 1000.0  # seconds that the virtual clock shows when a test starts
UNIX_TIME_OFFSET = 1.7e9  # seconds from the virtual clock to the Unix time that the gateway is given
TEST_TIMEOUT = 600.0  # seconds of the virtual clock after which a test fails

# Seconds of real time for which sockets are polled before the clock advances. Loopback delivers data during
# the write, so that a short poll finds all of it; before a long step the poll is longer, since a timeout that
# fires too early would change a test's result.
SHORT_POLL = 0.0002
LONG_POLL = 0.002
LONG_STEP = 0.05  # seconds of the virtual clock; steps of this length or more are long
POLL_WITHOUT_TIMER = 0.01  # used while the loop has no timer

ReadyKeys = list[tuple[selectors.SelectorKey, int]]


class VirtualClockSelector(selectors.DefaultSelector):
    """Polls sockets for a short real time, and advances the clock to the next timer if none is ready."""

    loop: VirtualClockLoop

    def select(self, timeout: float | None = None) -> ReadyKeys:
        """Return ready sockets; `timeout` is the time to the next timer in seconds, None without one."""
        ready: ReadyKeys = super().select(0)
        if ready or (timeout is not None and timeout <= 0):
            return ready
        if timeout is None:
            return super().select(POLL_WITHOUT_TIMER)
        ready = self.poll_before_step(timeout)
        if not ready:
            self.loop.now += timeout
        return ready

    def poll_before_step(self, step: float) -> ReadyKeys:
        """Poll once more before the clock advances by `step` seconds."""
        if step >= LONG_STEP:
            return super().select(LONG_POLL)
        time.sleep(SHORT_POLL)  # the selector's own timeout is rounded up to milliseconds
        return super().select(0)


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers, sleeps and timeouts go by `now`, its time in seconds.

    `connect_delays` has the seconds that a connect takes, by port. A test that adds to `now` simulates a loop
    that was busy for that time.
    """

    def __init__(self) -> None:
        self.connect_delays: dict[int, float] = {}
        self.now = START_TIME
        selector = VirtualClockSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """Connect after the delay that `connect_delays` has for the port, if any."""
        if port in self.connect_delays:
            await asyncio.sleep(self.connect_delays[port])
        return await super().create_connection(protocol_factory, host, port, **options)


def virtual_clock_loop() -> VirtualClockLoop:
    """Return the running event loop, which must be a `VirtualClockLoop`."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualClockLoop)
    return loop


def virtual_unix_clock() -> Callable[[], float]:
    """Return a clock of Unix time that follows the running loop, to replace the gateway's own clock."""
    loop = virtual_clock_loop()
    return lambda: UNIX_TIME_OFFSET + loop.now


def run_on_virtual_clock(test: Callable[[], Awaitable[None]], timeout: float = TEST_TIMEOUT) -> None:
    """Run an asynchronous test on a virtual clock; raises TimeoutError after `timeout` of its seconds."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(timeout):
            await test()

    with asyncio.Runner(loop_factory=VirtualClockLoop) as runner:
        runner.run(run_with_timeout())
