"""What a call asks for, and what was decided on it."""

from __future__ import annotations

from attrs import define, frozen

from fulmarroad.types import RefusalReason, WorkspaceName
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._load import Charge
from fulmarroad_serving._registry import Instance, Registered
from fulmarroad_serving._routing import Choice, Prompt, part_id
from fulmarroad_serving._shares import NO_USE, ShareUse

CALL_UNITS = 1.0
"""Units of service of a call at a plain service."""

GENERATED_WEIGHT = 2.0
"""Units of service of a generated token; a token read counts one."""


@frozen
class FleetBounds:
    """Hold the bounds that the whole fleet keeps."""

    retry_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_burst: float = 20.0
    warmup_factor: float = 1.0
    warmup_tolerance: float = 0.0
    share_window_s: float = 4.0


@frozen
class Demand:
    """Describe a call to be placed."""

    call_id: str
    service: ServiceName
    workspace: WorkspaceName
    objective_s: float
    part: str = ""  # name of the shared part of its prompt
    shared_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0
    hash_fraction: float = 0.0  # 0 to 1, the same for each attempt of a request
    rank: int = 0  # how many ranks the call is below the most urgent of its service

    @property
    def prompt(self) -> Prompt:
        """Return what the choice of an engine needs to know."""
        part = part_id(self.part)
        return Prompt(part, self.shared_tokens, self.own_tokens, self.objective_s)

    @property
    def units(self) -> float:
        """Return the service that the call takes."""
        read = self.shared_tokens + self.own_tokens
        return read + GENERATED_WEIGHT * self.output_tokens or CALL_UNITS


@frozen
class Placement:
    """Say where a call goes, with what the decision went by."""

    registered: Registered
    choice: Choice
    use: ShareUse
    candidates: int
    source: Registered | None = None  # another engine that may have the part


@frozen
class Refusal:
    """Say why a call is turned away without being sent, and when to come back."""

    reason: RefusalReason
    retry_after_s: float
    wait_s: float = 0.0
    use: ShareUse = NO_USE
    candidates: int = 0
    read_s: float = 0.0  # until its first token, where it would have gone
    excess_wait_s: float = 0.0  # of the wait there, above what the call may wait


@define
class Ticket:
    """Hold a call that is at a server."""

    demand: Demand
    charge: Charge
    source: Instance | None = None  # another engine that may have its part
    begun_at: float | None = None

    @property
    def begun(self) -> bool:
        """Tell whether the first part of its answer has come."""
        return self.begun_at is not None

    def answered_s(self, now: float) -> float:
        """Return for how long its answer has been coming."""
        return now - self.begun_at if self.begun_at is not None else 0.0
