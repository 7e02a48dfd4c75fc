"""A worker process of a run with one role: `python -m tests.soak.worker ROLE ARGUMENTS.json LOG`."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

from tests.soak import backends, clients, crowd, fault_proxy
from tests.soak.event_log import EventLog

ROLES = {"backends": backends.run, "clients": clients.run, "crowd": crowd.run, "proxy": fault_proxy.run}


def main() -> None:
    """Run the role given on the command line until it ends."""
    role, arguments, log = sys.argv[1:]
    parsed = json.loads(pathlib.Path(arguments).read_text())
    asyncio.run(ROLES[role](parsed, EventLog(pathlib.Path(log))))


if __name__ == "__main__":
    main()
