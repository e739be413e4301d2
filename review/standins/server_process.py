"""Runs a server as a process of its own: NAME SERVICE PORT and options as JSON."""

from __future__ import annotations

import asyncio
import json
import sys

from review.standins.server import Server


async def main() -> None:
    name, service, port, options = sys.argv[1:]
    server = Server(None, name, service, **json.loads(options))
    await server.start(int(port))
    print("serving", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
