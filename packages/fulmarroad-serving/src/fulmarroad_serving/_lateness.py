"""Measure how late the event loop runs what is due.

Pattern of load: more calls than the VM's processor carries. Each turn of the loop then
does the work of more connections and takes longer, and whatever else the router does
waits for its turn: news of servers, its answers to the balancer, its own timeouts.
Operators would notice it only by callers who time out, since all else looks healthy.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import anyio
from attrs import define, field

SAMPLE_S = 0.03
"""Time between two samples."""

SUSTAINED_SAMPLES = 4
"""Samples in which a delay has to stand. VMs whose processor is shared out by tenths of
a second stop within each of them, so that single samples are late on an idle one."""


@define
class LoopLateness:
    """Hold how late the loop ran lately."""

    _samples: deque[float] = field(factory=lambda: deque(maxlen=SUSTAINED_SAMPLES))
    worst_s: float = 0.0
    """Latest sample since this was last set to zero."""

    @property
    def sustained_s(self) -> float:
        """Return the delay that every sample of the last 0.12 s had, in seconds."""
        if len(self._samples) < SUSTAINED_SAMPLES:
            return 0.0
        return min(self._samples)

    def note(self, late_s: float) -> None:
        """Take a sample in."""
        self._samples.append(max(0.0, late_s))
        self.worst_s = max(self.worst_s, late_s)

    async def run(
        self, clock: Callable[[], float], on_sample: Callable[[float], None]
    ) -> None:
        """Sample until cancelled, and tell the time of each sample."""
        while True:
            due = clock() + SAMPLE_S
            await anyio.sleep(SAMPLE_S)
            now = clock()
            self.note(now - due)
            on_sample(now)
