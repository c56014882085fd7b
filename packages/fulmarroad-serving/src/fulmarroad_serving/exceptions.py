"""Exceptions of the serving package, grouped by layer."""

from __future__ import annotations

from fulmarroad.exceptions import FulmarroadError
from fulmarroad_serving._attempts import SendOutcome


class SendError(FulmarroadError):
    """Report a send without a complete answer; `outcome` says whether it ran."""

    outcome = SendOutcome.UNKNOWN


class NotSentError(SendError):
    """Report that no byte was sent to the backend server."""

    outcome = SendOutcome.NOT_SENT


class ConnectionLimitError(NotSentError):
    """Report that this router may open no more connections to the server."""


class ConnectionRefusedByHostError(NotSentError):
    """Report that nothing listens at the server's address any more."""


class WithheldError(NotSentError):
    """Report that a request is withheld for now, as servers crashed running it."""


class BarredError(WithheldError):
    """Report that a request is barred, as too many servers crashed while running it."""


class NotRunError(SendError):
    """Report that the backend server stated that it did not run the call."""

    outcome = SendOutcome.NOT_RUN


class RestingServerError(NotRunError):
    """Report that the backend server did not run the call and asked for rest."""

    outcome = SendOutcome.RESTS


class WithdrawnServerError(NotSentError):
    """Report that the chosen backend server may get no calls any more."""


class OtherInstanceError(NotRunError):
    """Report that another backend server now uses the address."""


class BrokenAnswerError(SendError):
    """Report an answer that is truncated, corrupt or missing."""


class ConnectionBrokenError(BrokenAnswerError):
    """Report a connection that closed before the answer was complete."""


class SilentServerError(BrokenAnswerError):
    """Report a backend server that sent nothing within the timeout."""


class FailedAnswerError(SendError):
    """Report that the backend server ran the call and returned an error."""

    outcome = SendOutcome.FAILED


class StoreError(FulmarroadError):
    """Report that the platform's store gave no usable answer."""


class ReplyTooLargeError(StoreError):
    """Report an answer of the store that is larger than any page of a listing."""


class HistoryLostError(StoreError):
    """Report that the store no longer has the requested changes."""
