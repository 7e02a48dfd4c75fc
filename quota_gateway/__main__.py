"""The gateway as a program: reads its configuration and runs until SIGTERM."""

from __future__ import annotations

import logging
import os
import signal
import sys

import uvloop

from quota_gateway.configuration.file import Configuration, read_configuration
from quota_gateway.errors import ConfigurationError
from quota_gateway.exit_status import EXIT_FAILURE, EXIT_INVALID_INPUT, report_fatal_error
from quota_gateway.gateway_process import GatewayProcess


async def serve(configuration: Configuration) -> None:
    """Run one gateway in the current event loop until a signal stops it."""
    await GatewayProcess(configuration).run()


def main() -> int:
    """Run the gateway with the configuration of the environment, and return the exit status."""
    logging.basicConfig(format="%(name)s: %(message)s", level=logging.WARNING)
    # SIGHUP would end the process; one that comes before the handler is there may follow a change of the file
    # that has been read already, so it stays pending
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        configuration = read_configuration(os.environ)
    except ConfigurationError as error:
        return report_fatal_error(error, EXIT_INVALID_INPUT)
    try:
        uvloop.run(serve(configuration))
    except OSError as error:
        return report_fatal_error(error, EXIT_FAILURE)
    return 0


if __name__ == "__main__":
    sys.exit(main())
