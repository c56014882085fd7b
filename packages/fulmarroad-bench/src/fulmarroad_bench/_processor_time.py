"""This process's processor time."""

from __future__ import annotations

import resource


def cpu_s() -> float:
    """Return the processor time spent so far, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
