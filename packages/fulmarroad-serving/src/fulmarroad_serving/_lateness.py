"""Measurement of how late the event loop runs scheduled callbacks.

If a VM gets more calls than its processor can handle, each loop iteration serves more
connections and takes longer. Everything else in the router is delayed as well: updates
about servers, readiness answers to the balancer and the router's own timeouts. Without
this measurement operators would see only callers that time out.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import anyio
from attrs import define, field

SAMPLE_S = 0.03
"""Seconds between two samples."""

SUSTAINED_SAMPLES = 4
"""Number of consecutive samples that must be late. A VM with a processor quota
per tenth of a second is paused in each of them, so single samples are late even on an
idle VM."""


@define
class LoopLateness:
    """Track the recent delays of the event loop."""

    _samples: deque[float] = field(factory=lambda: deque(maxlen=SUSTAINED_SAMPLES))
    worst_s: float = 0.0
    """Longest delay in seconds since this was last reset to zero."""

    @property
    def sustained_s(self) -> float:
        """Return the shortest delay in seconds among the samples of the last 0.12 s."""
        if len(self._samples) < SUSTAINED_SAMPLES:
            return 0.0
        return min(self._samples)

    def note(self, late_s: float) -> None:
        """Add a sample, in seconds."""
        self._samples.append(max(0.0, late_s))
        self.worst_s = max(self.worst_s, late_s)

    async def run(
        self, clock: Callable[[], float], on_sample: Callable[[float], None]
    ) -> None:
        """Sample until cancelled, and call `on_sample` with the time of each sample."""
        while True:
            due = clock() + SAMPLE_S
            await anyio.sleep(SAMPLE_S)
            now = clock()
            self.note(now - due)
            on_sample(now)
