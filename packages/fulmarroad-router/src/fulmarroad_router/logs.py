"""Structured logs: one JSON object a line, numbered events, no secrets."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

LIBRARY = "fulmarroad"
ROUTER = "fulmarroad_router"


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
    for name in (LIBRARY, ROUTER):
        logging.getLogger(name).setLevel(level.upper())
    # An answer broken off on purpose ends in an exception that the HTTP server would
    # log with its trace; the router's own event 505 tells it better.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
