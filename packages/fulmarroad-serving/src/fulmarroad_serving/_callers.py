"""ASGI application for callers: validate each call and forward it."""

from __future__ import annotations

import logging
from collections.abc import Callable

from attrs import define, evolve, field

from fulmarroad.events import Event, emit, error_fields
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
from fulmarroad_router.connection_ends import ClosedBy, connection_end
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
from fulmarroad_serving._call_checks import (
    ALWAYS_CONFIRMED,
    ConfigurationAge,
    check_size,
)
from fulmarroad_serving._catalog import (
    CatalogIndex,
    KeyHolder,
    ServedRoute,
    pick_target,
)
from fulmarroad_serving._fingerprints import fingerprint_of
from fulmarroad_serving._forwarding import Forwarder
from fulmarroad_serving._metrics import Metrics
from fulmarroad_serving._positions import revision_of
from fulmarroad_serving._router_state import RouterState
from fulmarroad_serving._saturation import SaturationGuard
from fulmarroad_serving._served_call import CallSummary, ServedCall, request_fields
from fulmarroad_serving._workspace_outcomes import LATE, ON_TIME, WorkspaceOutcomes
from fulmarroad_serving.contracts import CallCodec, CallHead
from fulmarroad_serving.streams import StreamResumption, evidence_name

logger = logging.getLogger("fulmarroad.serving")

NOT_READY_RETRY_S = 0.5
"""Retry delay sent by a router that has no configuration yet; it loads one within this
time after a start."""

MAX_EVENT_ID_CHARS = 64
"""Maximum length of the id of an event; servers number theirs."""

MIN_DEADLINE_S = 0.005
"""Shortest remaining time with which a call is forwarded. With less, its deadline would
pass before it reached a server."""


@define
class _CallRecord:
    """Collect the facts of a call in progress for its final log line."""

    arrived_at: float
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
        resumption: StreamResumption | None = None,
        configuration_age: ConfigurationAge = ALWAYS_CONFIRMED,
    ) -> None:
        self._resumption = resumption
        self._configuration_age = configuration_age
        self._codec = codec
        self._router_state = beliefs
        self._forwarder = forwarder
        self._gate = gate
        self._metrics = metrics
        self._saturation = saturation
        self._clock = clock
        self.ends = WorkspaceOutcomes()
        """Outcomes of calls by workspace, until the node logs them."""

    async def __call__(self, scope: Scope, receive: Receive, send: SendEvent) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            return
        record = _CallRecord(self._clock())
        extra_headers: Headers = []
        if self._gate.state is not GateState.OPEN or self._saturation.saturated:
            # Callers that kept their connections would keep sending calls here.
            extra_headers.append((b"connection", b"close"))
        responder = AsgiResponder(send, "", extra_headers=extra_headers)
        self._gate.enter()
        try:
            await self._serve(scope, receive, responder, record)
            record.outcome = "served"
        except CallerDisconnected:
            record.outcome = "caller_left"
        except CallError as raised:
            error = self._configuration_age.error(raised)
            record.outcome = error.code
            await self._send_error(error, responder, record, extra_headers)
        except Exception as error:
            record.outcome = "internal_error"
            logger.debug("request failure", exc_info=error)
            emit(
                logger,
                Event.REQUEST_FAILED,
                request_id=record.head.request_id if record.head else "",
                workspace=record.workspace,
                **error_fields(error),
            )
            failure = CallError("The router failed. The call may have run.")
            await self._send_error(failure, responder, record, extra_headers)
        finally:
            self._gate.leave()
            self._record_end(responder, record, _closed_by(scope, responder, record))

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        responder: AsgiResponder,
        record: _CallRecord,
    ) -> None:
        head = record.head = self._codec.read_call(scope["headers"])
        index = self._router_state.index
        max_body_bytes = self._router_state.catalog.limits.body_bytes
        size = sum(len(name) + len(value) for name, value in scope["headers"])
        if size > self._router_state.catalog.limits.header_bytes:
            raise HeadersTooLarge("The headers are larger than callers may send.")
        body = await read_body(scope["headers"], receive, max_body_bytes)
        reason = self._gate.refusal()
        if reason is not None or index is None:
            raise Refused(reason or RefusalReason.NOT_READY, NOT_READY_RETRY_S)
        # The configuration may have changed while the body was read.
        index = self._router_state.index or index
        record.version = index.catalog.version
        call = self._validate(scope, head, body, index, record)
        if self._resumption is not None and call.takes_up_stream:
            call = await self._take_up(call, self._resumption)
        # Calls that the saturation guard sheds count as demand too, so admit first.
        self._forwarder.admit(call, record.summary)
        used_share = self._forwarder.used_share(call)
        if self._saturation.should_shed(call.route.kind, used_share):
            pause_s = self._saturation.retry_after_s()
            raise Refused(RefusalReason.ROUTER_BUSY, pause_s)
        await run_until_disconnect(
            lambda: self._forwarder.run(call, responder, record.summary),
            receive,
            responder,
        )

    def _validate(
        self,
        scope: Scope,
        head: CallHead,
        body: bytes,
        index: CatalogIndex,
        record: _CallRecord,
    ) -> ServedCall:
        if not head.request_id:
            raise BadRequest("The call has no id.")
        if len(head.last_event_id) > MAX_EVENT_ID_CHARS:
            # Servers that fail to read it would count as crashed for all callers.
            raise BadRequest("No event has an id as long as `Last-Event-Id`.")
        path = scope.get("raw_path") or scope["path"].encode()
        route = index.route_for(head.host, path.decode("latin-1"))
        if route is None:
            raise RouteNotFound("No route of the configuration takes this call.")
        record.route = route
        holder = self._key_holder(head, route, index)
        record.workspace = holder.name if holder is not None else ""
        service = pick_target(route.targets, head.request_id)
        if service is None:
            raise Refused(RefusalReason.NO_SERVERS, NOT_READY_RETRY_S)
        timeout_s = route.timeout_s
        if head.deadline_s is not None:
            timeout_s = min(timeout_s, head.deadline_s)
        deadline = record.arrived_at + timeout_s
        if deadline - self._clock() < MIN_DEADLINE_S:
            raise Refused(RefusalReason.DEADLINE_PASSED, NOT_READY_RETRY_S)
        head = check_size(head, index.catalog.services.get(service))
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
            record.workspace,
            deadline,
            fingerprint_of(record.workspace, head.host, scope["method"], target, body),
            bool(body) or b"content-length" in names or b"transfer-encoding" in names,
            index.rank_of(route, holder),
        )

    async def _take_up(
        self, call: ServedCall, resumption: StreamResumption
    ) -> ServedCall:
        """Bind a call to the version that began its stream; raise `Refused` if none."""
        started = self._clock()
        take_up, finding = await resumption.find(call)
        reason = take_up.refusal.value if take_up.refusal else ""
        emit(
            logger,
            Event.STREAM_TAKEN_UP if take_up.refusal is None else Event.STREAM_LOST,
            request_id=call.head.request_id,
            resumes=call.head.resumes,
            service=take_up.origin.service if take_up.origin else "",
            server_version=take_up.origin.version if take_up.origin else "",
            found=finding.origin is not None,
            evidence=evidence_name(take_up, finding),
            versions=sorted({row.version for row in finding.versions}),
            asked=finding.asked,
            answered=finding.answered,
            watched_s=round(finding.watched_s, 1),
            confirmed_by=finding.confirmation.value,
            list_age_s=round(min(resumption.list_age_s(), 1e6), 2),
            store_at=revision_of(self._router_state.replica.at),
            seconds=round(self._clock() - started, 4),
            reason=reason,
        )
        self._metrics.taken_up.labels(reason).inc()
        origin = take_up.origin
        if origin is None:
            cause = take_up.refusal or RefusalReason.STREAM_UNKNOWN
            refusal = self._forwarder.refuse_stream(cause)
            raise Refused(refusal.reason, refusal.retry_after_s)
        return evolve(call, service=origin.service, version=origin.version)

    def _key_holder(
        self, head: CallHead, route: ServedRoute, index: CatalogIndex
    ) -> KeyHolder | None:
        holder = index.holder_of(head.key) if head.key else None
        if holder is None and not route.anonymous and index.requires_keys:
            raise Unauthorized("Send a known key.")
        return holder

    async def _send_error(
        self,
        error: CallError,
        responder: AsgiResponder,
        record: _CallRecord,
        extra_headers: Headers,
    ) -> None:
        """Send an error, or abort an answer that has begun."""
        if responder.begun:
            # On an exception the HTTP server closes the connection without the last
            # chunk, so the caller sees that the answer is incomplete.
            raise AnswerBroken(error.message)
        headers = [*extra_headers, *self._codec.own_headers(record.head)]
        if error.retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % error.retry_after_s))
        await responder.error(error, headers)

    def _record_end(
        self, responder: AsgiResponder, record: _CallRecord, closed_by: ClosedBy
    ) -> None:
        seconds = self._clock() - record.arrived_at
        summary, route = record.summary, record.route
        kind = route.kind.value if route else "none"
        self._metrics.calls.labels(kind, record.outcome or "cancelled").inc()
        if summary.first_s:
            self._metrics.first_answer.labels(kind).observe(summary.first_s)
        if summary.begun_s:
            error = summary.begun_s - summary.expected_s
            self._metrics.estimate_error.labels(kind).observe(error)
        if record.outcome == "served":
            self._metrics.whole_answer.labels(kind).observe(seconds)
        last = summary.last_request
        if last is not None and not last.answered:
            self._metrics.unanswered.labels(last.delivery.value).inc()
        if record.workspace:
            self.ends.note(record.workspace, _share_outcome(record))
        emit(
            logger,
            _end_event(record.outcome, responder),
            request_id=record.head.request_id if record.head else "",
            workspace=record.workspace,
            route=route.name if route else "",
            version=record.version,
            outcome=record.outcome,
            closed_by=closed_by.value,
            status=responder.status,
            seconds=round(seconds, 4),
            first_s=round(summary.first_s, 4),
            server=summary.server,
            server_version=summary.server_version,
            server_start=summary.server_start,
            connected_s=round(summary.connected_s, 3),
            stream_version=summary.stream_version,
            resumes=record.head.resumes if record.head else "",
            after_event=record.head.last_event_id if record.head else "",
            sends=summary.sends,
            next_place=summary.next_place,
            cached=summary.cached,
            copies=summary.copies,
            wait_s=round(summary.wait_s, 4),
            held_s=round(summary.held_s, 4),
            shared_tokens=record.head.shared_tokens if record.head else 0,
            own_tokens=record.head.own_tokens if record.head else 0,
            output_tokens=record.head.output_tokens if record.head else 0,
            read_tokens=summary.read_tokens,
            expected_s=round(summary.expected_s, 4),
            begun_s=round(summary.begun_s, 4),
            share_used=round(summary.use.used_fraction, 3),
            objective_s=route.objective_s if route else 0.0,
            fingerprint=summary.fingerprint.hex(),
            suspect_part=summary.suspect_part,
            **request_fields(summary.last_request),
        )


_REFUSED_OUTCOMES = {reason.value for reason in RefusalReason} | {
    error.code
    for error in (
        BadRequest,
        BodyTooLarge,
        HeadersTooLarge,
        RouteNotFound,
        Unauthorized,
    )
}


def _share_outcome(record: _CallRecord) -> str:
    """Return the outcome for the workspace; a served call is on time or late."""
    if record.outcome != "served" or record.route is None:
        return record.outcome or "cancelled"
    return ON_TIME if record.summary.first_s <= record.route.objective_s else LATE


def _closed_by(scope: Scope, responder: AsgiResponder, record: _CallRecord) -> ClosedBy:
    """Return who ended the connection of a call that has no complete answer."""
    if responder.finished:
        return ClosedBy.NOBODY
    if record.outcome == "caller_left":
        return connection_end(scope).cause or ClosedBy.CALLER
    # A call without an outcome was cancelled, which only the end of the process does.
    return ClosedBy.ROUTER if record.outcome else ClosedBy.DRAIN


def _end_event(outcome: str, responder: AsgiResponder) -> Event:
    if outcome == "served":
        return Event.REQUEST_DONE
    if outcome == "caller_left":
        return Event.CALLER_LEFT
    if outcome == RequestBarred.code:
        return Event.REQUEST_BARRED
    if outcome in _REFUSED_OUTCOMES:
        return Event.REQUEST_REFUSED
    if responder.begun and not responder.finished:
        return Event.STREAM_BROKEN
    return Event.REQUEST_UNKNOWN
