"""Forms of load with silent backend servers."""

from __future__ import annotations

from attrs import frozen

SILENCE_INTERVAL_S = 0.5
"""Seconds between the begins of two silences in a fleet with `USUAL_ENGINES`."""

USUAL_ENGINES = 6
AMPLE_SLOTS = 384
"""Slots of all engines; about four times the running streams."""

SCARCE_SLOTS = 102
"""Slots of all engines that are nearly all taken while engines fall silent."""


@frozen
class Form:
    """Describe how engines fail to send while streams run."""

    silence_s: float = 0.0
    only_before_first: bool = False  # streams with a first event go on
    slots: int = AMPLE_SLOTS  # of all engines
    engines: int = USUAL_ENGINES
    dead: int = 0  # engines whose host ends without closing a connection
    hung: int = 0  # engines that stop for good and whose host goes on
    stuck: float = 0.0  # fraction of answers that stop for good

    @property
    def slots_per_engine(self) -> int:
        """Return the slots of each engine."""
        return self.slots // self.engines

    @property
    def silence_interval_s(self) -> float:
        """Return the seconds between two silences of the fleet.

        Each engine is silent as often whatever their number.
        """
        return SILENCE_INTERVAL_S * USUAL_ENGINES / self.engines


FORMS = {
    "calm": Form(),
    "short": Form(silence_s=1.2),
    "long": Form(silence_s=2.0),
    "before_first": Form(silence_s=1.2, only_before_first=True),
    "scarce_slots": Form(silence_s=1.2, slots=SCARCE_SLOTS),
    "one_engine": Form(silence_s=1.2, engines=1),
    "dead_hosts": Form(dead=2),
    "hung_processes": Form(hung=2),
    "stuck_answers": Form(stuck=0.1),
}
