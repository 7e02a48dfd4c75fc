"""Command-line entry point: reads the configuration and runs the gateway until SIGTERM."""

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

# Environment variable with the name of a level of the logging module, in any case
LOG_LEVEL_VARIABLE = "RELAY_LOG_LEVEL"
DEFAULT_LOG_LEVEL = "WARNING"
# Seconds to retry opening the configuration file; the gateway should be ready within 10 s of its start
READ_TIMEOUT = 5.0
READ_RETRY_DELAY = 0.1  # seconds between two tries to open the file


async def serve(configuration: Configuration) -> None:
    """Run one gateway in the current event loop until a signal stops it."""
    await GatewayProcess(configuration).run()


def read_initial_configuration() -> Configuration:
    """Return the configuration, and retry while its file cannot be opened because of a transient error.

    Raise ConfigurationError if the configuration cannot be used.
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
    """Run the gateway as configured by the environment, and return the exit status."""
    level = os.environ.get(LOG_LEVEL_VARIABLE, DEFAULT_LOG_LEVEL).upper()
    if level not in logging.getLevelNamesMapping():
        return report_fatal_error(f"{LOG_LEVEL_VARIABLE} is not a log level: {level!r}", EXIT_INVALID_INPUT)
    logging.basicConfig(format="%(name)s: %(message)s", level=level)
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    # SIGHUP would end the process by default. One that arrives before its handler is installed stays pending,
    # because it may announce a change that was made to the file after it was read.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        configuration = read_initial_configuration()
    except ConfigurationError as error:
        return report_fatal_error(error, EXIT_INVALID_INPUT)
    try:
        uvloop.run(serve(configuration))
    except OSError as error:
        return report_fatal_error(error, EXIT_FAILURE)
    return 0


if __name__ == "__main__":
    sys.exit(main())
