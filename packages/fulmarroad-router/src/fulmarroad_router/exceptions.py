"""Errors reported to callers, with their HTTP status and whether the call ran."""

from __future__ import annotations

from fulmarroad.exceptions import FulmarroadError
from fulmarroad.types import Ran, RefusalReason


class CallError(FulmarroadError):
    """Report an error to a caller, as the JSON document that all errors share."""

    status = 500
    code = "internal_error"
    kind = "server_error"
    ran = Ran.UNKNOWN

    def __init__(
        self, message: str, *, code: str = "", retry_after_s: float | None = None
    ) -> None:
        super().__init__(message)
        self.code = code or self.code
        self.retry_after_s = retry_after_s


class BadRequest(CallError):
    """Refuse a malformed request."""

    status = 400
    code = "malformed_request"
    kind = "invalid_request_error"
    ran = Ran.NOT_RUN


class Unauthorized(CallError):
    """Refuse a request without a valid API key."""

    status = 401
    code = "invalid_key"
    kind = "authentication_error"
    ran = Ran.NOT_RUN


class RouteNotFound(CallError):
    """Refuse a request that matches no route of the tables."""

    status = 404
    code = "unknown_route"
    kind = "invalid_request_error"
    ran = Ran.NOT_RUN


class BodyTooLarge(CallError):
    """Refuse a body above the route's limit."""

    status = 413
    code = "body_too_large"
    kind = "invalid_request_error"
    ran = Ran.NOT_RUN


class HeadersTooLarge(CallError):
    """Refuse headers above the size limit."""

    status = 431
    code = "headers_too_large"
    kind = "invalid_request_error"
    ran = Ran.NOT_RUN


class KeyReused(CallError):
    """Refuse an idempotency key that was used before for a different request."""

    status = 422
    code = "key_reused"
    kind = "invalid_request_error"
    ran = Ran.NOT_RUN


class KeyInProgress(CallError):
    """Report that an earlier attempt with this key may still be running."""

    status = 409
    code = "key_in_progress"
    kind = "conflict_error"
    ran = Ran.UNKNOWN


class KeyUnverifiable(CallError):
    """Refuse a repeat when it can't be checked whether an earlier attempt ran."""

    status = 503
    kind = "overloaded_error"
    ran = Ran.UNKNOWN


class AnswerNotKept(CallError):
    """Report to a repeat that its call ran and that the answer was not stored."""

    status = 409
    code = "answer_not_kept"
    kind = "conflict_error"
    ran = Ran.RAN


class Refused(CallError):
    """Refuse a request that has not run."""

    status = 503
    kind = "overloaded_error"
    ran = Ran.NOT_RUN

    def __init__(self, reason: RefusalReason, retry_after_s: float) -> None:
        super().__init__(
            _REFUSAL_MESSAGES[reason], code=reason.value, retry_after_s=retry_after_s
        )
        self.reason = reason
        if reason is RefusalReason.WORKSPACE_QUEUE_FULL:
            self.status = 429


class OutcomeUnknown(CallError):
    """Report that a call was sent and that its outcome is unknown."""

    status = 502
    code = "outcome_unknown"
    kind = "upstream_error"
    ran = Ran.UNKNOWN


class RequestBarred(CallError):
    """Refuse a request that ran and crashed servers, and is not sent again."""

    status = 502
    code = "request_barred"
    kind = "upstream_error"
    ran = Ran.RAN


class TimedOut(CallError):
    """Report that a call was sent and did not end in time."""

    status = 504
    code = "timeout"
    kind = "upstream_error"
    ran = Ran.UNKNOWN


class AnswerBroken(CallError):
    """Abort an answer that has begun, so that the caller can detect it."""

    status = 502
    code = "answer_broken"


_REFUSAL_MESSAGES = {
    RefusalReason.QUEUE_FULL: "The fleet's queue is full. Try again later.",
    RefusalReason.WORKSPACE_QUEUE_FULL: (
        "Too many requests of this workspace wait already. Send fewer at once."
    ),
    RefusalReason.WAIT_TOO_LONG: "The wait would be too long. Try again later.",
    RefusalReason.DEADLINE_PASSED: ("No capacity came free in time. Try again later."),
    RefusalReason.NO_SERVERS: "No backend server takes work for this route now.",
    RefusalReason.SERVERS_REST: "All backend servers rest. Come back when one is back.",
    RefusalReason.STREAM_ORIGIN_GONE: (
        "No backend server can go on with this stream now. Send it anew."
    ),
    RefusalReason.STREAM_UNKNOWN: (
        "Where this stream began is not known here. Send it anew."
    ),
    RefusalReason.STREAM_UNCONFIRMED: (
        "This router is cut off and can't tell where this stream began. Try another."
    ),
    RefusalReason.CANNOT_FINISH: (
        "The answer can't end before the deadline. Allow more time or fewer tokens."
    ),
    RefusalReason.CALL_TOO_LARGE: (
        "No backend server has memory for this call. Send fewer tokens."
    ),
    RefusalReason.CONFIGURATION_UNCONFIRMED: (
        "This router is cut off and can't tell whether this is allowed. Try another."
    ),
    RefusalReason.SHUTTING_DOWN: "This router is shutting down. Try again at once.",
    RefusalReason.ABOVE_SHARE: ("Your workspace uses its share. Come back later."),
    RefusalReason.ROUTER_BUSY: "This router is busy. Try another one at once.",
    RefusalReason.NOT_READY: "This router is not ready yet. Try again shortly.",
    RefusalReason.RETRY_BUDGET: (
        "The backend server could not be reached and too many retries run already."
    ),
    RefusalReason.KEY_IN_PROGRESS: "The first attempt of this key still runs.",
    RefusalReason.KEY_UNVERIFIABLE: (
        "It can't be shown now that this key has not run before. Try again later."
    ),
    RefusalReason.REQUEST_SUSPECTED: (
        "Servers ended under this request, and a copy of it runs now. Try again later."
    ),
    RefusalReason.KEYS_FULL: "Too many idempotency keys are kept. Try again later.",
}
