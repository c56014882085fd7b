"""The callers' HTTP application, as ASGI."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from attrs import define

from fulmarroad.events import Event, emit
from fulmarroad.metrics import Metrics
from fulmarroad.tables import Route, Tables, Workspace
from fulmarroad.types import Ran, RefusalReason
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
from fulmarroad_router.calls import (
    Call,
    ChatBody,
    bearer_token,
    header,
    parse_chat_body,
    request_id_of,
)
from fulmarroad_router.exceptions import (
    AnswerBroken,
    BadRequest,
    BodyTooLarge,
    CallError,
    Refused,
    RouteNotFound,
    Unauthorized,
)
from fulmarroad_router.execution import Responder

logger = logging.getLogger("fulmarroad.router")

CHAT_PATH = "/v1/chat/completions"
MAX_KEY_LENGTH = 255


class RouteLookup(Protocol):
    """Find workspaces and routes in the tables in force."""

    @property
    def tables(self) -> Tables:
        """Return the tables that the lookup is over."""

    def workspace_for_key(self, bearer: str) -> Workspace | None:
        """Return the workspace that a key belongs to."""

    def route_for(
        self, method: str, path: str, model: str, workspace: str
    ) -> Route | None:
        """Return the route of a call."""


class CallRunner(Protocol):
    """Carry a call to its end."""

    async def run(self, call: Call, responder: Responder) -> None:
        """Answer the call, or raise `CallError`."""


class Gate(Protocol):
    """Say whether this router takes calls now."""

    def refusal(self) -> RefusalReason | None:
        """Return why no call is taken, or nothing."""

    def enter(self) -> None:
        """Count a call in."""

    def leave(self) -> None:
        """Count a call out."""


@define
class _Stages:
    """Hold what is known of a request while it is read, for its log line."""

    request_id: str
    workspace: str = ""
    route: str = ""


class CallersApp:
    """Answer callers' HTTP requests."""

    def __init__(
        self,
        lookup: Callable[[], RouteLookup | None],
        runner: CallRunner,
        gate: Gate,
        metrics: Metrics,
        clock: Callable[[], float],
        max_body_bytes: int,
    ) -> None:
        self._lookup = lookup
        self._runner = runner
        self._gate = gate
        self._metrics = metrics
        self._clock = clock
        self._max_body_bytes = max_body_bytes

    async def __call__(self, scope: Scope, receive: Receive, send: SendEvent) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            return
        arrived = self._clock()
        stages = _Stages(request_id_of(scope["headers"]))
        responder = _responder(send, stages.request_id)
        self._gate.enter()
        try:
            await self._serve(scope, receive, responder, stages, arrived)
        except CallerDisconnected:
            self._note_left(stages)
        except CallError as error:
            await self._fail(error, responder, stages)
        except Exception as error:
            logger.debug("request failure", exc_info=error)
            emit(
                logger,
                Event.REQUEST_FAILED,
                request_id=stages.request_id,
                cause=repr(error),
            )
            failure = CallError("The router failed. The call may have run.")
            await self._fail(failure, responder, stages)
        finally:
            self._gate.leave()
            self._note_done(responder, stages, arrived)

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        responder: AsgiResponder,
        stages: _Stages,
        arrived: float,
    ) -> None:
        reason = self._gate.refusal()
        lookup = self._lookup()
        if reason is not None or lookup is None:
            raise Refused(reason or RefusalReason.NOT_READY, 1.0)
        workspace = self._authenticate(scope["headers"], lookup)
        stages.workspace = workspace.name
        body = await read_body(scope["headers"], receive, self._max_body_bytes)
        call = self._call(scope, lookup, workspace, body, stages, arrived)
        await run_until_disconnect(
            lambda: self._runner.run(call, responder), receive, responder
        )

    def _authenticate(self, headers: Headers, lookup: RouteLookup) -> Workspace:
        bearer = bearer_token(headers)
        workspace = lookup.workspace_for_key(bearer) if bearer else None
        if workspace is None:
            raise Unauthorized("Send a known key as `Authorization: Bearer KEY`.")
        return workspace

    def _call(
        self,
        scope: Scope,
        lookup: RouteLookup,
        workspace: Workspace,
        body: bytes,
        stages: _Stages,
        arrived: float,
    ) -> Call:
        method, path = scope["method"], scope["path"]
        is_chat = path == CHAT_PATH and method == "POST"
        chat = parse_chat_body(body) if is_chat else ChatBody()
        route = lookup.route_for(method, path, chat.model, workspace.name)
        if route is None:
            raise RouteNotFound("No route of the tables takes this call.")
        stages.route = route.name
        if len(body) > route.max_body_bytes:
            raise BodyTooLarge(f"A body may have {route.max_body_bytes} bytes here.")
        headers = scope["headers"]
        query = scope.get("query_string", b"")
        target = scope.get("raw_path") or path.encode()
        key = header(headers, b"idempotency-key")
        if len(key) > MAX_KEY_LENGTH:
            raise BadRequest(f"`Idempotency-Key` may have {MAX_KEY_LENGTH} characters.")
        return Call(
            request_id=stages.request_id,
            workspace=workspace,
            route=route,
            pool=lookup.tables.pools[route.pool],
            method=method,
            target=target + (b"?" + query if query else b""),
            headers=headers,
            body=body,
            arrived=arrived,
            chat=chat,
            idempotency_key=key.strip('"'),
            first_attempt=header(headers, b"fulmarroad-first-attempt") == "?1",
        )

    async def _fail(
        self, error: CallError, responder: AsgiResponder, stages: _Stages
    ) -> None:
        """Answer with an error, or break off an answer that has begun."""
        fields = {
            "request_id": stages.request_id,
            "workspace": stages.workspace,
            "route": stages.route,
            "code": error.code,
        }
        if error.ran is Ran.NOT_RUN:
            emit(logger, Event.REQUEST_REFUSED, **fields)
            self._metrics.incr(f"refused.{error.code}")
        else:
            emit(logger, Event.REQUEST_UNKNOWN, **fields)
            self._metrics.incr("unknown")
        if not responder.begun:
            await responder.error(error, _error_marks(error, stages.request_id))
            return
        emit(logger, Event.STREAM_BROKEN, **fields)
        # The server closes the connection without its last chunk on an exception,
        # so that no caller can take the answer for whole.
        raise AnswerBroken(error.message)

    def _note_left(self, stages: _Stages) -> None:
        self._metrics.incr("caller_left")
        emit(
            logger,
            Event.CALLER_LEFT,
            request_id=stages.request_id,
            workspace=stages.workspace,
        )

    def _note_done(
        self, responder: AsgiResponder, stages: _Stages, arrived: float
    ) -> None:
        seconds = self._clock() - arrived
        self._metrics.timing("request", seconds)
        if not responder.finished or responder.status >= 400:
            return
        self._metrics.incr("completed")
        emit(
            logger,
            Event.REQUEST_DONE,
            request_id=stages.request_id,
            workspace=stages.workspace,
            route=stages.route,
            status=responder.status,
            seconds=round(seconds, 4),
        )


def _responder(send: SendEvent, request_id: str) -> AsgiResponder:
    marks = [_name_mark(request_id), _ran_mark(Ran.RAN)]
    return AsgiResponder(send, request_id, extra_headers=marks)


def _error_marks(error: CallError, request_id: str) -> Headers:
    marks = [_name_mark(request_id), _ran_mark(error.ran)]
    if error.retry_after_s is not None:
        seconds = max(1, round(error.retry_after_s))
        marks.append((b"retry-after", str(seconds).encode()))
    return marks


def _name_mark(request_id: str) -> tuple[bytes, bytes]:
    return (b"x-request-id", request_id.encode())


def _ran_mark(ran: Ran) -> tuple[bytes, bytes]:
    return (b"fulmarroad-ran", ran.value.encode())
