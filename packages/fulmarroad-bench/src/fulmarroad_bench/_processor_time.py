"""Processor time of the current process."""

from __future__ import annotations

import resource


def cpu_s() -> float:
    """Return the user and system time used so far, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
