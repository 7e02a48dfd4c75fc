"""The gateway as a program: reads its configuration and runs until SIGTERM."""

from __future__ import annotations

import logging
import os
import signal
import sys
import time

import uvloop

from quota_gateway.configuration.file import Configuration, read_configuration
from quota_gateway.errors import ConfigurationError
from quota_gateway.exit_status import EXIT_FAILURE, EXIT_INVALID_INPUT, report_fatal_error
from quota_gateway.gateway_process import GatewayProcess
from quota_gateway.transient_errors import is_transient

LOG_LEVEL_VARIABLE = "RELAY_LOG_LEVEL"  # one of the standard library's names, in any case
DEFAULT_LOG_LEVEL = "WARNING"
READ_TIMEOUT = 5.0  # seconds that a start tries to open its configuration; it should be ready within 10
READ_RETRY_DELAY = 0.1  # seconds


async def serve(configuration: Configuration) -> None:
    """Run one gateway in the current event loop until a signal stops it."""
    await GatewayProcess(configuration).run()


def read_start_configuration() -> Configuration:
    """Return the configuration, after some time if its file can't be opened for a moment.

    Raises ConfigurationError if it can't be used.
    """
    retry_until = time.monotonic() + READ_TIMEOUT
    while True:
        try:
            return read_configuration(os.environ)
        except ConfigurationError as error:
            if not is_transient(error.__cause__) or time.monotonic() >= retry_until:
                raise
        time.sleep(READ_RETRY_DELAY)


def main() -> int:
    """Run the gateway with the configuration of the environment, and return the exit status."""
    level = os.environ.get(LOG_LEVEL_VARIABLE, DEFAULT_LOG_LEVEL).upper()
    if level not in logging.getLevelNamesMapping():
        return report_fatal_error(f"{LOG_LEVEL_VARIABLE} names no log level: {level!r}", EXIT_INVALID_INPUT)
    logging.basicConfig(format="%(name)s: %(message)s", level=level)
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    # SIGHUP would end the process; one that comes before the handler is there may follow a change of the file
    # that has been read already, so it stays pending
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        configuration = read_start_configuration()
    except ConfigurationError as error:
        return report_fatal_error(error, EXIT_INVALID_INPUT)
    try:
        uvloop.run(serve(configuration))
    except OSError as error:
        return report_fatal_error(error, EXIT_FAILURE)
    return 0


if __name__ == "__main__":
    sys.exit(main())
