"""Reasons why a router may not send a call to a server."""

from __future__ import annotations

import enum


class Obstacle(enum.StrEnum):
    """State why a call may not go to a server now."""

    AVOIDED = "avoided"  # it failed the call before, or runs a trial
    BACKOFF = "backoff"  # this router could not connect to it
    COLD = "cold"  # it is warming up, and gets no more calls of this router now
    CONNECTIONS = "connections"  # this router may open no more connections to it
    GONE = "gone"  # it leaves or is not known, or its data centre was left
    RESTS = "rests"  # it asked this router for rest
    SUSPECT = "suspect"  # as `COLD`, as it may have restarted unnoticed
    VERSION = "version"  # it can't go on with the call's stream
