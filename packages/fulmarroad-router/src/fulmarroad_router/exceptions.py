"""Errors that a caller sees, each with its HTTP status and whether the call ran."""

from __future__ import annotations

from fulmarroad.exceptions import FulmarroadError
from fulmarroad.types import Ran, RefusalReason


class CallError(FulmarroadError):
    """Answer a caller with an error in the one JSON format."""

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
    """Refuse a request that can't be read."""

    status = 400
    code = "malformed_request"
    kind = "invalid_request_error"
    ran = Ran.NOT_RUN


class Unauthorized(CallError):
    """Refuse a request without a known key."""

    status = 401
    code = "invalid_key"
    kind = "authentication_error"
    ran = Ran.NOT_RUN


class RouteNotFound(CallError):
    """Refuse a request for which the tables name no route."""

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
    """Refuse headers above the limit for callers."""

    status = 431
    code = "headers_too_large"
    kind = "invalid_request_error"
    ran = Ran.NOT_RUN


class KeyReused(CallError):
    """Refuse an idempotency key that came before with another request."""

    status = 422
    code = "key_reused"
    kind = "invalid_request_error"
    ran = Ran.NOT_RUN


class KeyInProgress(CallError):
    """Tell that the first attempt of this key still runs."""

    status = 409
    code = "key_in_progress"
    kind = "conflict_error"
    ran = Ran.UNKNOWN


class KeyUnverifiable(CallError):
    """Refuse a repeat of which nobody can say now whether an earlier attempt ran."""

    status = 503
    kind = "overloaded_error"
    ran = Ran.UNKNOWN


class AnswerNotKept(CallError):
    """Tell a repeat that its call ran and that its answer is gone."""

    status = 409
    code = "answer_not_kept"
    kind = "conflict_error"
    ran = Ran.RAN


class Refused(CallError):
    """Turn a request away without having run it."""

    status = 503
    kind = "overloaded_error"
    ran = Ran.NOT_RUN

    def __init__(self, reason: RefusalReason, retry_after_s: float) -> None:
        super().__init__(
            _REFUSALS[reason], code=reason.value, retry_after_s=retry_after_s
        )
        self.reason = reason
        if reason is RefusalReason.WORKSPACE_QUEUE_FULL:
            self.status = 429


class OutcomeUnknown(CallError):
    """Say honestly that a call was sent and its outcome is not known."""

    status = 502
    code = "outcome_unknown"
    kind = "upstream_error"
    ran = Ran.UNKNOWN


class RequestBarred(CallError):
    """Say that a request ran, that servers crash under it, and that it runs no more."""

    status = 502
    code = "request_barred"
    kind = "upstream_error"
    ran = Ran.RAN


class TimedOut(CallError):
    """Say that a call was sent and did not end in time."""

    status = 504
    code = "timeout"
    kind = "upstream_error"
    ran = Ran.UNKNOWN


class AnswerBroken(CallError):
    """Break an answer off that has begun, visibly to its caller."""

    status = 502
    code = "answer_broken"


_REFUSALS = {
    RefusalReason.QUEUE_FULL: "The fleet's queue is full. Try again later.",
    RefusalReason.WORKSPACE_QUEUE_FULL: (
        "Too many requests of this workspace wait already. Send fewer at once."
    ),
    RefusalReason.WAIT_TOO_LONG: "The wait would be too long. Try again later.",
    RefusalReason.DEADLINE_PASSED: "No capacity came free in time. Try again later.",
    RefusalReason.NO_SERVERS: "No backend server takes work for this route now.",
    RefusalReason.SHUTTING_DOWN: "This router is shutting down. Try again at once.",
    RefusalReason.ABOVE_SHARE: "Your workspace uses its share. Come back later.",
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
