"""Structured logs: one JSON object per line, numbered events, no secrets."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

LIBRARY_LOGGER = "fulmarroad"
ROUTER_LOGGER = "fulmarroad_router"


def configure_logs(level: str, router: str, stream: TextIO = sys.stderr) -> None:
    """Send the project's log records to a stream as JSON."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"router": router},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    for name in (LIBRARY_LOGGER, ROUTER_LOGGER):
        logging.getLogger(name).setLevel(level.upper())
    # When the router aborts a response on purpose, uvicorn logs the exception with a
    # traceback. The router logs event 505 for the same case, so this is suppressed.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
