"""Run calls with the same idempotency key at most once, unless they are repeatable.

A caller whose connection broke repeats its call and may reach another router, another
data centre, or the same router after a restart. Without this module each of them would
run the call again, and a letter would be sent or a payment charged twice.
"""

from __future__ import annotations

import hashlib
import logging

from fulmarroad.events import Event, emit
from fulmarroad.keys import (
    MAX_BODY_BYTES,
    KeyAttempt,
    KeyDecision,
    KeyGroups,
    KeyMismatch,
    KeyOutcomeUnknown,
    KeyRefusal,
    Replay,
    SendOnce,
)
from fulmarroad.keys import KeyInProgress as KeyInProgressDecision
from fulmarroad.types import Ran
from fulmarroad_router.app import CallRunner
from fulmarroad_router.backend import Headers
from fulmarroad_router.calls import Call
from fulmarroad_router.exceptions import (
    AnswerNotKept,
    CallError,
    KeyInProgress,
    KeyReused,
    KeyUnverifiable,
    OutcomeUnknown,
    Refused,
)
from fulmarroad_router.responder import Responder

logger = logging.getLogger("fulmarroad.router")

REPLAYED_HEADER = (b"idempotent-replayed", b"true")
IN_PROGRESS_RETRY_S = 1.0


class RecordingResponder:
    """Forward an answer and record it for repeats.

    Recording stops once the body exceeds `MAX_BODY_BYTES`.
    """

    def __init__(self, responder: Responder) -> None:
        self._responder = responder
        self.status = 0
        self.headers: Headers = []
        self.body = bytearray()

    @property
    def begun(self) -> bool:
        """Return whether the status and headers have been sent."""
        return self._responder.begun

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the status and headers."""
        self.status = status
        self.headers = headers
        await self._responder.begin(status, headers)

    async def send(self, chunk: bytes) -> None:
        """Send one chunk of the body."""
        if len(self.body) <= MAX_BODY_BYTES:
            self.body += chunk
        await self._responder.send(chunk)

    async def finish(self) -> None:
        """Send the end of a complete answer."""
        await self._responder.finish()


class IdempotentRunner:
    """Run calls with idempotency keys at most once.

    The groups of routers that store the keys decide whether a call may be sent.
    """

    def __init__(self, runner: CallRunner, keys: KeyGroups) -> None:
        self._runner = runner
        self._keys = keys

    async def run(self, call: Call, responder: Responder) -> None:
        """Run a call, or replay the stored answer if its key has already run.

        Raise `CallError` on failure. Calls without a key and repeatable ones run
        unchecked.
        """
        if not call.idempotency_key or call.route.repeatable:
            await self._runner.run(call, responder)
            return
        decision = await self._keys.begin(
            call.workspace.name,
            call.idempotency_key,
            fingerprint_of(call),
            call.first_attempt,
        )
        if isinstance(decision, SendOnce):
            await self._send(call, responder, decision.attempt)
        elif isinstance(decision, Replay):
            await self._replay(call, responder, decision)
        else:
            emit(
                logger,
                Event.KEY_REFUSED,
                request_id=call.request_id,
                workspace=call.workspace.name,
                cause=type(decision).__name__,
            )
            raise _refusal_error(call, decision)

    async def _send(
        self, call: Call, responder: Responder, attempt: KeyAttempt
    ) -> None:
        call.may_send = attempt.may_send
        recorder = RecordingResponder(responder)
        try:
            await self._runner.run(call, recorder)
        except CallError as error:
            await self._record_failure(call, attempt, error)
            raise
        except BaseException:
            # The caller disconnected or the router failed. If the call was sent, it may
            # have run.
            await self._record_interruption(call, attempt)
            raise
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in recorder.headers
        )
        await self._keys.finish(attempt, recorder.status, headers, bytes(recorder.body))

    async def _record_failure(
        self, call: Call, attempt: KeyAttempt, error: CallError
    ) -> None:
        if error.ran is Ran.NOT_RUN:
            await self._keys.give_up(attempt)
        else:
            await self._record_interruption(call, attempt)

    async def _record_interruption(self, call: Call, attempt: KeyAttempt) -> None:
        if call.sent:
            await self._keys.mark_outcome_unknown(attempt)
        else:
            await self._keys.give_up(attempt)

    async def _replay(self, call: Call, responder: Responder, answer: Replay) -> None:
        emit(
            logger,
            Event.KEY_REPLAYED,
            request_id=call.request_id,
            workspace=call.workspace.name,
            status=answer.status,
        )
        if not answer.whole:
            raise AnswerNotKept(
                f"This key's call ended with status {answer.status}; its answer was "
                "too long to be kept."
            )
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in answer.headers
        ]
        await responder.begin(answer.status, [*headers, REPLAYED_HEADER])
        await responder.send(answer.body)
        await responder.finish()


def fingerprint_of(call: Call) -> str:
    """Return a hash that distinguishes requests sent with the same key."""
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.target, call.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def _refusal_error(call: Call, decision: KeyDecision) -> CallError:
    match decision:
        case KeyMismatch():
            return KeyReused("This `Idempotency-Key` came with another request.")
        case KeyOutcomeUnknown():
            return OutcomeUnknown(
                "This key's call was sent before and its outcome is not known."
            )
        case KeyRefusal(reason, retry_after_s):
            if call.first_attempt:
                return Refused(reason, retry_after_s)
            # This attempt was not sent, but the caller would read "not run" as a
            # statement about the call, and an earlier attempt may have run.
            return KeyUnverifiable(
                "This attempt was not sent; whether an earlier one with this key ran "
                "can't be told now. Try again with the same key.",
                code=reason.value,
                retry_after_s=retry_after_s,
            )
        case KeyInProgressDecision():
            return KeyInProgress(
                "Another attempt with this key may be running.",
                retry_after_s=IN_PROGRESS_RETRY_S,
            )
        case _:
            raise TypeError(f"{decision!r} is not a refusal")
