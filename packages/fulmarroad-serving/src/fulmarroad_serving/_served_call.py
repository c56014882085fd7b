"""State of a call while it is being served."""

from __future__ import annotations

from typing import Any, Protocol

from attrs import define, evolve, field, frozen

from fulmarroad.delivery import RequestState
from fulmarroad.types import ServerName, WorkspaceName
from fulmarroad_router.asgi import Headers
from fulmarroad_serving._attempts import CallProgress
from fulmarroad_serving._call_suspects import CallSuspects
from fulmarroad_serving._catalog import ServedRoute
from fulmarroad_serving._connection import BackendConnection
from fulmarroad_serving._demands import Demand, Placement
from fulmarroad_serving._fingerprints import Fingerprint, hash_fraction_of
from fulmarroad_serving._registry import Instance
from fulmarroad_serving._shares import NO_USE, ShareUse
from fulmarroad_serving._suspects import Suspects
from fulmarroad_serving.contracts import AnswerHead, CallHead


class Responder(Protocol):
    """Send an answer to the caller, with backpressure from a slow reader."""

    @property
    def begun(self) -> bool:
        """Return whether the head of the answer has been sent."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the status and headers."""

    async def send(self, chunk: bytes) -> None:
        """Send a part of the body."""

    async def finish(self, last: bytes = b"") -> None:
        """Send the last bytes and mark the answer as complete."""


@frozen
class ServedCall:
    """Hold a validated call whose body has been read."""

    head: CallHead
    method: str
    target: bytes
    body: bytes
    route: ServedRoute
    service: str
    workspace: WorkspaceName
    deadline: float
    """Time on the router's clock at which the caller's or the route's timeout ends."""
    fingerprint: Fingerprint = b""
    has_body: bool = True
    rank: int = 0
    version: str = ""  # of the software that began the stream which it takes up

    @property
    def takes_up_stream(self) -> bool:
        """Return whether it goes on with a stream of which its caller has a part."""
        named = self.head.resumes or self.head.last_event_id
        return self.route.resumable and bool(named)


@define
class CallSummary:
    """Collect the values of a call's final log line."""

    server: ServerName = ""
    server_version: str = ""  # of its entry, as it was placed
    server_start: int = 0  # in ms since 1970, of the same entry
    connected_s: float = 0.0  # age of the connection at the answer's first part
    stream_version: str = ""  # to which its stream is bound
    sends: int = 0
    first_s: float = 0.0
    cached: bool | None = None
    copies: int = 0  # servers that had cached its shared prompt part
    use: ShareUse = NO_USE
    wait_s: float = 0.0
    held_s: float = 0.0  # time until it was placed or refused
    read_tokens: int = 0  # prompt tokens not known to be cached at the server
    expected_s: float = 0.0  # estimated time from sending to the first part
    begun_s: float = 0.0  # the same time as measured
    fingerprint: Fingerprint = b""  # of the suspect for which it was restricted
    suspect_part: str = ""  # its name, if the suspect is a part of the prompt
    last_request: RequestState | None = None  # of the last send, at its end
    next_place: str = ""  # what became of the last search after a failed send

    def note_place(self, placement: Placement) -> None:
        """Record the place at which the call is sent."""
        choice = placement.choice
        self.wait_s, self.use = placement.wait_s, placement.use
        self.server, self.cached = choice.server, choice.cached
        instance = placement.registered.instance
        self.server_version, self.server_start = instance.version, instance.started_ms
        self.read_tokens = choice.tokens
        self.copies = choice.copies
        self.expected_s = choice.wait_s + choice.read_s


@frozen
class PreparedAttempt:
    """Hold a place and a connection for a call that is to be sent next."""

    placement: Placement
    connection: BackendConnection

    @property
    def instance(self) -> Instance:
        """Return the server."""
        return self.placement.registered.instance


@define
class ActiveCall:
    """Hold a call in progress."""

    call: ServedCall
    responder: Responder
    demand: Demand
    progress: CallProgress
    suspects: CallSuspects
    summary: CallSummary
    begun_at: float
    avoid: set[ServerName] = field(factory=set)
    failed_answer: tuple[AnswerHead, bytes] | None = None
    spilled: bool = False  # a second owner was asked
    moving: bool = False  # it looks for a place while its server is silent
    next_attempt: PreparedAttempt | None = None  # to be sent as it leaves its server
    origin: BackendConnection | None = None  # over which its stream began
    proven: BackendConnection | None = None
    """Connection at which the version of the software is proven."""

    def take_next_attempt(self) -> PreparedAttempt | None:
        """Remove and return the attempt that was prepared, if any."""
        attempt, self.next_attempt = self.next_attempt, None
        return attempt

    def bind(self, version: str) -> None:
        """Let the call go on only at servers of the version that began its stream."""
        self.demand = evolve(self.demand, version=version)
        self.summary.stream_version = version

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the call's deadline."""
        return self.call.deadline - now


def request_fields(request: RequestState | None) -> dict[str, Any]:
    """Return the log fields of a request without an answer, else none."""
    if request is None or request.answered:
        return {}
    return {
        "delivery": request.delivery.value,
        "unacked_bytes": request.unacked_bytes,
        "written_s": round(request.written_s, 3),
        "closed": request.close_mode.value,
    }


def demand_of(call: ServedCall) -> Demand:
    """Return the inputs for placing a call."""
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
        call.version,
        head.length_hint,
    )


def suspects_of(call: ServedCall, suspects: Suspects) -> CallSuspects:
    """Return a call's request and parts as suspects of crashes."""
    return CallSuspects.of(
        suspects, call.fingerprint, call.service, call.workspace, call.head.parts
    )
