"""What is known of one call while it is carried."""

from __future__ import annotations

from typing import Protocol

from attrs import define, field, frozen

from fulmarroad.types import ServerName, WorkspaceName
from fulmarroad_router.asgi import Headers
from fulmarroad_serving._attempts import CallProgress
from fulmarroad_serving._catalog import ServedRoute
from fulmarroad_serving._demands import Demand
from fulmarroad_serving._fingerprints import Fingerprint, hash_fraction_of
from fulmarroad_serving._shares import NO_USE, ShareUse
from fulmarroad_serving.contracts import AnswerHead, CallHead


class Responder(Protocol):
    """Carry an answer to the caller, waiting where the caller reads slowly."""

    @property
    def begun(self) -> bool:
        """Tell whether the head of the answer has been sent."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head."""

    async def send(self, chunk: bytes) -> None:
        """Send a part of the body."""

    async def finish(self, last: bytes = b"") -> None:
        """End the answer as whole."""


@frozen
class ServedCall:
    """Hold a call that was read whole and may be served."""

    head: CallHead
    method: str
    target: bytes
    body: bytes
    route: ServedRoute
    service: str
    workspace: WorkspaceName
    deadline: float
    """When the caller or the route gives it up, by the router's clock."""
    fingerprint: Fingerprint = b""
    has_body: bool = True
    rank: int = 0


@define
class CallSummary:
    """Collect what a call's last log line says."""

    server: ServerName = ""
    sends: int = 0
    first_s: float = 0.0
    cached: bool | None = None
    copies: int = 0  # servers that had its part
    use: ShareUse = NO_USE
    wait_s: float = 0.0
    held_s: float = 0.0  # before it found a place or was refused
    read_tokens: int = 0  # of its prompt, as far as known not cached at the server
    expected_s: float = 0.0  # from sending to the first part, as estimated
    begun_s: float = 0.0  # the same, as seen
    fingerprint: Fingerprint = b""  # where servers ended under the request


@define
class ActiveCall:
    """Hold one call while it is carried."""

    call: ServedCall
    responder: Responder
    demand: Demand
    progress: CallProgress
    summary: CallSummary
    begun_at: float
    avoid: set[ServerName] = field(factory=set)
    failed_answer: tuple[AnswerHead, bytes] | None = None

    def left_s(self, now: float) -> float:
        """Return the time until its caller or its route gives it up."""
        return self.call.deadline - now


def demand_of(call: ServedCall) -> Demand:
    """Return what placement needs to know of a call."""
    head = call.head
    return Demand(
        head.request_id,
        call.service,
        call.workspace,
        call.route.objective_s,
        head.part if call.route.prefix_affinity else "",
        head.shared_tokens,
        head.own_tokens,
        head.output_tokens,
        hash_fraction_of(call.fingerprint),
        call.rank,
    )
