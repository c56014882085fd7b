"""The application for callers: read a call, check it by the configuration, run it."""

from __future__ import annotations

import logging
from collections.abc import Callable

from attrs import define, field

from fulmarroad.events import Event, emit
from fulmarroad.types import RefusalReason
from fulmarroad_router.asgi import (
    AsgiResponder,
    CallerDisconnected,
    Headers,
    Receive,
    Scope,
    SendEvent,
    read_body,
    run_until_disconnect,
)
from fulmarroad_router.exceptions import (
    AnswerBroken,
    BadRequest,
    BodyTooLarge,
    CallError,
    HeadersTooLarge,
    Refused,
    RequestBarred,
    RouteNotFound,
    Unauthorized,
)
from fulmarroad_router.gate import CallGate, GateState
from fulmarroad_serving._catalog import (
    CatalogIndex,
    KeyHolder,
    ServedRoute,
    pick_target,
)
from fulmarroad_serving._fingerprints import fingerprint_of
from fulmarroad_serving._forwarding import Forwarder
from fulmarroad_serving._metrics import Metrics
from fulmarroad_serving._router_state import RouterState
from fulmarroad_serving._saturation import SaturationGuard
from fulmarroad_serving._served_call import CallSummary, ServedCall
from fulmarroad_serving._workspace_outcomes import LATE, ON_TIME, WorkspaceOutcomes
from fulmarroad_serving.contracts import CallCodec, CallHead

logger = logging.getLogger("fulmarroad.serving")

NOT_READY_RETRY_S = 0.5
"""Return to a router that has just started: it knows the configuration within that."""

LEAST_DEADLINE_S = 0.005
"""A caller with less time left is gone before its call could reach a server."""


@define
class _Stages:
    """Hold what is known of a call while it is carried, for its log line."""

    arrived: float
    head: CallHead | None = None
    route: ServedRoute | None = None
    workspace: str = ""
    version: int = 0
    outcome: str = ""
    summary: CallSummary = field(factory=CallSummary)


class ServingApp:
    """Answer callers' HTTP requests."""

    def __init__(
        self,
        codec: CallCodec,
        beliefs: RouterState,
        forwarder: Forwarder,
        gate: CallGate,
        metrics: Metrics,
        saturation: SaturationGuard,
        clock: Callable[[], float],
    ) -> None:
        self._codec = codec
        self._router_state = beliefs
        self._forwarder = forwarder
        self._gate = gate
        self._metrics = metrics
        self._saturation = saturation
        self._clock = clock
        self.ends = WorkspaceOutcomes()
        """How workspaces' calls ended, until the node tells of it."""

    async def __call__(self, scope: Scope, receive: Receive, send: SendEvent) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            return
        stages = _Stages(self._clock())
        marks: Headers = []
        if self._gate.state is not GateState.OPEN or self._saturation.saturated:
            # Callers who keep their connection would go on sending here.
            marks.append((b"connection", b"close"))
        responder = AsgiResponder(send, "", extra_headers=marks)
        self._gate.enter()
        try:
            await self._serve(scope, receive, responder, stages)
            stages.outcome = "served"
        except CallerDisconnected:
            stages.outcome = "caller_left"
        except CallError as error:
            stages.outcome = error.code
            await self._fail(error, responder, stages, marks)
        except Exception as error:
            stages.outcome = "internal_error"
            logger.debug("request failure", exc_info=error)
            emit(
                logger,
                Event.REQUEST_FAILED,
                request_id=stages.head.request_id if stages.head else "",
                cause=repr(error),
            )
            failure = CallError("The router failed. The call may have run.")
            await self._fail(failure, responder, stages, marks)
        finally:
            self._gate.leave()
            self._note_end(responder, stages)

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        responder: AsgiResponder,
        stages: _Stages,
    ) -> None:
        head = stages.head = self._codec.read_call(scope["headers"])
        index = self._router_state.index
        most = self._router_state.catalog.limits.body_bytes
        size = sum(len(name) + len(value) for name, value in scope["headers"])
        if size > self._router_state.catalog.limits.header_bytes:
            raise HeadersTooLarge("The headers are larger than callers may send.")
        body = await read_body(scope["headers"], receive, most)
        reason = self._gate.refusal()
        if reason is not None or index is None:
            raise Refused(reason or RefusalReason.NOT_READY, NOT_READY_RETRY_S)
        # The version in force when the call was read whole is the one that counts.
        index = self._router_state.index or index
        stages.version = index.catalog.version
        call = self._check(scope, head, body, index, stages)
        # Before the router's own limit: what it turns away was asked all the same.
        self._forwarder.admit(call, stages.summary)
        if self._saturation.should_shed(call.route.kind):
            pause_s = self._saturation.retry_after_s()
            raise Refused(RefusalReason.ROUTER_BUSY, pause_s)
        await run_until_disconnect(
            lambda: self._forwarder.run(call, responder, stages.summary),
            receive,
            responder,
        )

    def _check(
        self,
        scope: Scope,
        head: CallHead,
        body: bytes,
        index: CatalogIndex,
        stages: _Stages,
    ) -> ServedCall:
        if not head.request_id:
            raise BadRequest("The call has no id.")
        path = scope.get("raw_path") or scope["path"].encode()
        route = index.route_for(head.host, path.decode("latin-1"))
        if route is None:
            raise RouteNotFound("No route of the configuration takes this call.")
        stages.route = route
        holder = self._holder(head, route, index)
        stages.workspace = holder.name if holder is not None else ""
        service = pick_target(route.targets, head.request_id)
        if service is None:
            raise Refused(RefusalReason.NO_SERVERS, NOT_READY_RETRY_S)
        patience = route.timeout_s
        if head.deadline_s is not None:
            patience = min(patience, head.deadline_s)
        deadline = stages.arrived + patience
        if deadline - self._clock() < LEAST_DEADLINE_S:
            raise Refused(RefusalReason.DEADLINE_PASSED, NOT_READY_RETRY_S)
        query = scope.get("query_string", b"")
        target = path + (b"?" + query if query else b"")
        names = {name for name, _ in scope["headers"]}
        return ServedCall(
            head,
            scope["method"],
            target,
            body,
            route,
            service,
            stages.workspace,
            deadline,
            fingerprint_of(stages.workspace, head.host, scope["method"], target, body),
            bool(body) or b"content-length" in names or b"transfer-encoding" in names,
            index.rank_of(route, holder),
        )

    def _holder(
        self, head: CallHead, route: ServedRoute, index: CatalogIndex
    ) -> KeyHolder | None:
        holder = index.holder_of(head.key) if head.key else None
        if holder is None and not route.anonymous and index.requires_keys:
            raise Unauthorized("Send a known key.")
        return holder

    async def _fail(
        self,
        error: CallError,
        responder: AsgiResponder,
        stages: _Stages,
        marks: Headers,
    ) -> None:
        """Answer with an error, or break off an answer that has begun."""
        if responder.begun:
            # The server closes the connection without its last chunk on an exception,
            # so that no caller can take the answer for whole.
            raise AnswerBroken(error.message)
        own = [*marks, *self._codec.own_headers(stages.head)]
        if error.retry_after_s is not None:
            own.append((b"retry-after", b"%.2f" % error.retry_after_s))
        await responder.error(error, own)

    def _note_end(self, responder: AsgiResponder, stages: _Stages) -> None:
        seconds = self._clock() - stages.arrived
        summary, route = stages.summary, stages.route
        kind = route.kind.value if route else "none"
        self._metrics.calls.labels(kind, stages.outcome or "cancelled").inc()
        if summary.first_s:
            self._metrics.first_answer.labels(kind).observe(summary.first_s)
        if summary.begun_s:
            error = summary.begun_s - summary.expected_s
            self._metrics.estimate_error.labels(kind).observe(error)
        if stages.outcome == "served":
            self._metrics.whole_answer.labels(kind).observe(seconds)
        if stages.workspace:
            self.ends.note(stages.workspace, _share_outcome(stages))
        emit(
            logger,
            _end_event(stages.outcome, responder),
            request_id=stages.head.request_id if stages.head else "",
            workspace=stages.workspace,
            route=route.name if route else "",
            version=stages.version,
            outcome=stages.outcome,
            status=responder.status,
            seconds=round(seconds, 4),
            first_s=round(summary.first_s, 4),
            server=summary.server,
            sends=summary.sends,
            cached=summary.cached,
            copies=summary.copies,
            wait_s=round(summary.wait_s, 4),
            held_s=round(summary.held_s, 4),
            shared_tokens=stages.head.shared_tokens if stages.head else 0,
            own_tokens=stages.head.own_tokens if stages.head else 0,
            output_tokens=stages.head.output_tokens if stages.head else 0,
            read_tokens=summary.read_tokens,
            expected_s=round(summary.expected_s, 4),
            begun_s=round(summary.begun_s, 4),
            share_used=round(summary.use.used_fraction, 3),
            objective_s=route.objective_s if route else 0.0,
            fingerprint=summary.fingerprint.hex(),
        )


_REFUSED = {reason.value for reason in RefusalReason} | {
    error.code
    for error in (
        BadRequest,
        BodyTooLarge,
        HeadersTooLarge,
        RouteNotFound,
        Unauthorized,
    )
}


def _share_outcome(stages: _Stages) -> str:
    """Return how a call ended for its workspace, with its time where it was served."""
    if stages.outcome != "served" or stages.route is None:
        return stages.outcome or "cancelled"
    return ON_TIME if stages.summary.first_s <= stages.route.objective_s else LATE


def _end_event(outcome: str, responder: AsgiResponder) -> Event:
    if outcome == "served":
        return Event.REQUEST_DONE
    if outcome == "caller_left":
        return Event.CALLER_LEFT
    if outcome == RequestBarred.code:
        return Event.REQUEST_BARRED
    if outcome in _REFUSED:
        return Event.REQUEST_REFUSED
    if responder.begun and not responder.finished:
        return Event.STREAM_BROKEN
    return Event.REQUEST_UNKNOWN
