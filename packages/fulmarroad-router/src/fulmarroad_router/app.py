"""The ASGI application that serves callers' HTTP requests."""

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
from fulmarroad_router.responder import Responder

logger = logging.getLogger("fulmarroad.router")

CHAT_PATH = "/v1/chat/completions"
MAX_KEY_LENGTH = 255


class RouteLookup(Protocol):
    """Look up workspaces and routes in the current tables."""

    @property
    def tables(self) -> Tables:
        """Return the tables that are searched."""

    def workspace_for_key(self, bearer: str) -> Workspace | None:
        """Return the workspace of an API key, or `None` if the key is unknown."""

    def route_for(
        self, method: str, path: str, model: str, workspace: str
    ) -> Route | None:
        """Return the route that matches a call, or `None`."""


class CallRunner(Protocol):
    """Run calls to completion."""

    async def run(self, call: Call, responder: Responder) -> None:
        """Send the answer to the responder, or raise `CallError`."""


class Gate(Protocol):
    """Track calls in flight and report whether new calls are accepted."""

    def refusal(self) -> RefusalReason | None:
        """Return why calls are refused, or `None` if they are accepted."""

    def enter(self) -> None:
        """Increment the number of calls in flight."""

    def leave(self) -> None:
        """Decrement the number of calls in flight."""


@define
class _RequestContext:
    """Hold the fields of a request's log events, filled in as they become known."""

    request_id: str
    workspace: str = ""
    route: str = ""


class CallersApp:
    """Serve callers' HTTP requests: authenticate, find the route, run the call."""

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
        """Serve one ASGI scope; ignore all types but `http`."""
        if scope["type"] != "http":
            return
        arrived = self._clock()
        context = _RequestContext(request_id_of(scope["headers"]))
        responder = _make_responder(send, context.request_id)
        self._gate.enter()
        try:
            await self._serve(scope, receive, responder, context, arrived)
        except CallerDisconnected:
            self._record_disconnect(context)
        except CallError as error:
            await self._report_error(error, responder, context)
        except Exception as error:
            logger.debug("request failure", exc_info=error)
            emit(
                logger,
                Event.REQUEST_FAILED,
                request_id=context.request_id,
                cause=repr(error),
            )
            failure = CallError("The router failed. The call may have run.")
            await self._report_error(failure, responder, context)
        finally:
            self._gate.leave()
            self._record_completion(responder, context, arrived)

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        responder: AsgiResponder,
        context: _RequestContext,
        arrived: float,
    ) -> None:
        reason = self._gate.refusal()
        lookup = self._lookup()
        if reason is not None or lookup is None:
            raise Refused(reason or RefusalReason.NOT_READY, 1.0)
        workspace = self._authenticate(scope["headers"], lookup)
        context.workspace = workspace.name
        body = await read_body(scope["headers"], receive, self._max_body_bytes)
        call = self._build_call(scope, lookup, workspace, body, context, arrived)
        await run_until_disconnect(
            lambda: self._runner.run(call, responder), receive, responder
        )

    def _authenticate(self, headers: Headers, lookup: RouteLookup) -> Workspace:
        bearer = bearer_token(headers)
        workspace = lookup.workspace_for_key(bearer) if bearer else None
        if workspace is None:
            raise Unauthorized("Send a known key as `Authorization: Bearer KEY`.")
        return workspace

    def _build_call(
        self,
        scope: Scope,
        lookup: RouteLookup,
        workspace: Workspace,
        body: bytes,
        context: _RequestContext,
        arrived: float,
    ) -> Call:
        method, path = scope["method"], scope["path"]
        is_chat = path == CHAT_PATH and method == "POST"
        chat = parse_chat_body(body) if is_chat else ChatBody()
        route = lookup.route_for(method, path, chat.model, workspace.name)
        if route is None:
            raise RouteNotFound("No route of the tables takes this call.")
        context.route = route.name
        if len(body) > route.max_body_bytes:
            raise BodyTooLarge(f"A body may have {route.max_body_bytes} bytes here.")
        headers = scope["headers"]
        query = scope.get("query_string", b"")
        target = scope.get("raw_path") or path.encode()
        key = header(headers, b"idempotency-key")
        if len(key) > MAX_KEY_LENGTH:
            raise BadRequest(f"`Idempotency-Key` may have {MAX_KEY_LENGTH} characters.")
        return Call(
            request_id=context.request_id,
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

    async def _report_error(
        self, error: CallError, responder: AsgiResponder, context: _RequestContext
    ) -> None:
        """Send an error response, or abort an answer that has begun.

        Raise `AnswerBroken` if the answer has begun.
        """
        fields = {
            "request_id": context.request_id,
            "workspace": context.workspace,
            "route": context.route,
            "code": error.code,
        }
        if error.ran is Ran.NOT_RUN:
            emit(logger, Event.REQUEST_REFUSED, **fields)
            self._metrics.incr(f"refused.{error.code}")
        else:
            emit(logger, Event.REQUEST_UNKNOWN, **fields)
            self._metrics.incr("unknown")
        if not responder.begun:
            await responder.error(error, _error_headers(error, context.request_id))
            return
        emit(logger, Event.STREAM_BROKEN, **fields)
        # On an exception, the HTTP server closes the connection without sending the
        # last chunk, so that the caller can detect the truncated answer.
        raise AnswerBroken(error.message)

    def _record_disconnect(self, context: _RequestContext) -> None:
        self._metrics.incr("caller_left")
        emit(
            logger,
            Event.CALLER_LEFT,
            request_id=context.request_id,
            workspace=context.workspace,
        )

    def _record_completion(
        self, responder: AsgiResponder, context: _RequestContext, arrived: float
    ) -> None:
        seconds = self._clock() - arrived
        self._metrics.timing("request", seconds)
        if not responder.finished or responder.status >= 400:
            return
        self._metrics.incr("completed")
        emit(
            logger,
            Event.REQUEST_DONE,
            request_id=context.request_id,
            workspace=context.workspace,
            route=context.route,
            status=responder.status,
            seconds=round(seconds, 4),
        )


def _make_responder(send: SendEvent, request_id: str) -> AsgiResponder:
    headers = [_request_id_header(request_id), _ran_header(Ran.RAN)]
    return AsgiResponder(send, request_id, extra_headers=headers)


def _error_headers(error: CallError, request_id: str) -> Headers:
    headers = [_request_id_header(request_id), _ran_header(error.ran)]
    if error.retry_after_s is not None:
        seconds = max(1, round(error.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    return headers


def _request_id_header(request_id: str) -> tuple[bytes, bytes]:
    return (b"x-request-id", request_id.encode())


def _ran_header(ran: Ran) -> tuple[bytes, bytes]:
    return (b"fulmarroad-ran", ran.value.encode())
