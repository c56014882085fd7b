"""Errors of the serving side, each layer's own."""

from __future__ import annotations

from fulmarroad.exceptions import FulmarroadError
from fulmarroad_serving._attempts import SendOutcome


class SendError(FulmarroadError):
    """Report a send that brought no whole answer, with what is known of it."""

    outcome = SendOutcome.UNKNOWN


class NotSentError(SendError):
    """Report that no byte left for the backend server."""

    outcome = SendOutcome.NOT_SENT


class ConnectionLimitError(NotSentError):
    """Report that this router may open no more connections to the server."""


class ConnectionRefusedByHostError(NotSentError):
    """Report that nothing listens at the server's address any more."""


class WithheldError(NotSentError):
    """Report that a request isn't sent now, as servers ended under it."""


class BarredError(WithheldError):
    """Report that a request isn't sent any more, as too many servers ended under it."""


class NotRunError(SendError):
    """Report that the backend server said that it did not run the call."""

    outcome = SendOutcome.NOT_RUN


class OtherInstanceError(NotRunError):
    """Report that another backend server has the address now."""


class BrokenAnswerError(SendError):
    """Report an answer that is cut off, spoiled or missing."""


class ConnectionBrokenError(BrokenAnswerError):
    """Report a connection that ended before the answer did."""


class SilentServerError(BrokenAnswerError):
    """Report a backend server that said nothing for too long."""


class FailedAnswerError(SendError):
    """Report that the backend server ran the call and failed it."""

    outcome = SendOutcome.FAILED


class StoreError(FulmarroadError):
    """Report that the platform's store gave no usable answer."""


class HistoryLostError(StoreError):
    """Report that the store no longer has the changes asked for."""
