"""Types for the demand of a call and for the decision on it."""

from __future__ import annotations

from attrs import define, frozen

from fulmarroad.types import RefusalReason, RouterName, ServerName, WorkspaceName
from fulmarroad_serving._attempts import SendOutcome
from fulmarroad_serving._budgets import ColdBudget
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._load import Charge
from fulmarroad_serving._registry import Instance, Registered
from fulmarroad_serving._routing import Choice, Prompt, part_id
from fulmarroad_serving._shares import NO_USE, ShareUse
from fulmarroad_serving.engines import AnswerKind, OutputLimits

CALL_UNITS = 1.0
"""Units of service that a call to a plain service counts for."""

GENERATED_WEIGHT = 2.0
"""Units of service per generated token; a prompt token counts for one unit."""


@frozen
class FleetBounds:
    """Hold the bounds that apply to all routers together."""

    retry_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_burst: float = 20.0
    warmup_factor: float = 1.0
    warmup_tolerance: float = 0.0
    share_window_s: float = 4.0
    drain_timeout_s: float = 2.0  # in which requests may still reach a leaving server
    config_apply_s: float = 2.0  # in which routers apply a new configuration


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
    rank: int = 0  # ranks below the most urgent call of its service
    version: str = ""  # of the software that began its stream; "": not begun
    length_hint: int = 0  # output tokens that its caller expects; 0: not stated

    @property
    def prompt(self) -> Prompt:
        """Return the properties of the prompt that the choice of an engine needs."""
        part = part_id(self.part)
        return Prompt(part, self.shared_tokens, self.own_tokens, self.objective_s)

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens that are read if nothing of the prompt is cached."""
        return self.shared_tokens + self.own_tokens

    @property
    def answer_kind(self) -> AnswerKind:
        """Return the kind of calls whose answers are as long; for whole objectives."""
        return (self.service, self.objective_s)

    @property
    def output_limits(self) -> OutputLimits:
        """Return what the call states about the length of its answer."""
        return OutputLimits(self.length_hint, self.output_tokens)

    @property
    def units(self) -> float:
        """Return the units of service that the call counts for."""
        weighted = self.prompt_tokens + GENERATED_WEIGHT * self.output_tokens
        return weighted or CALL_UNITS


@frozen
class ColdServers:
    """List the servers that are or may be cold, as one router knows them."""

    permitted: tuple[ServerName, ...] = ()  # may get one call of it now
    closed: tuple[ServerName, ...] = ()  # may get none


@define
class Grant:
    """Hold a place that the owner of a server granted to a call of this router."""

    owner: RouterName
    incarnation: int  # of the owner
    number: int
    closed: bool = False  # its call was sent, or it was returned
    workspace: WorkspaceName = ""


@frozen
class Placement:
    """Hold the server chosen for a call and the inputs of the decision."""

    registered: Registered
    choice: Choice
    use: ShareUse
    candidates: int
    source: Registered | None = None  # another engine that may have the part
    grant: Grant | None = None  # None: this router placed it itself
    cold_budget: ColdBudget = ColdBudget.SHARE  # if its server is cold
    may_open: bool = False  # a connection beyond this router's share

    @property
    def wait_s(self) -> float:
        """Return the expected wait before the prompt is read."""
        return self.choice.wait_s


@frozen
class Refusal:
    """Hold the reason why a call is refused, and the delay before a retry."""

    reason: RefusalReason
    retry_after_s: float
    wait_s: float = 0.0
    use: ShareUse = NO_USE
    candidates: int = 0
    read_s: float = 0.0  # from reading to the first token, at the chosen server
    excess_wait_s: float = 0.0  # expected wait there beyond the allowed wait
    is_late: bool = False  # its call is late in any case
    owner: RouterName = ""  # other router that decided


@define
class Ticket:
    """Hold the state of a call that was sent to a server."""

    demand: Demand
    charge: Charge
    source: Instance | None = None  # another engine that may have its part
    begun_at: float | None = None
    grant: Grant | None = None  # set while the owner of the server counts the call
    ended: bool = False
    outcome: SendOutcome | None = None  # of an ended call that was not answered
    events: int = 0  # of the answer, as far as it was read
    complete: bool = False  # the answer was read from its first event to its end

    @property
    def begun(self) -> bool:
        """Return whether the first part of the answer has arrived."""
        return self.begun_at is not None

    def answered_s(self, now: float) -> float:
        """Return the time since the first part of the answer; 0 before it."""
        return now - self.begun_at if self.begun_at is not None else 0.0
