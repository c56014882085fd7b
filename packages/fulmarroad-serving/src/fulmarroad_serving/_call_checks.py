"""Checks of calls against a configuration, and what a configuration can't decide.

Load pattern: a router is cut off from the store and the other routers, or stood still,
while a new configuration adds routes and keys. Callers that use these come back after a
503, but give up for good after a 404 or a 401.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from fulmarroad.types import RefusalReason
from fulmarroad_router.exceptions import (
    CallError,
    Refused,
    RouteNotFound,
    Unauthorized,
)
from fulmarroad_serving._catalog import Service
from fulmarroad_serving.contracts import CallHead
from fulmarroad_serving.decoding import MAX_CALL_TOKENS

TOO_LARGE_RETRY_S = 60.0
"""Retry delay of a call that no server can hold in its memory, today or later."""

UNCONFIRMED_RETRY_S = 0.5
"""Retry delay of a call that another configuration may allow; its caller finds another
router at once, and this one is back within about this time."""


@frozen
class ConfigurationAge:
    """Tell whether a newer configuration may be in force than the known one."""

    seconds: Callable[[], float]  # since it was known to be the newest
    max_s: float  # in which routers apply a new configuration

    def error(self, error: CallError) -> CallError:
        """Return an error, or a refusal in place of a denial that may be outdated."""
        is_denial = isinstance(error, RouteNotFound | Unauthorized)
        if not is_denial or self.seconds() <= self.max_s:
            return error
        reason = RefusalReason.CONFIGURATION_UNCONFIRMED
        return Refused(reason, UNCONFIRMED_RETRY_S)


ALWAYS_CONFIRMED = ConfigurationAge(lambda: 0.0, 0.0)


def check_size(head: CallHead, service: Service | None) -> CallHead:
    """Return the call as it counts; raise `Refused` if no server can hold it.

    Refused by each of its servers as full, it would also use up retries, and it would
    count in the shares of all workspaces by numbers that its caller made up.
    """
    engine = service.engine if service is not None else None
    if engine is None:
        # Plain servers have no memory for tokens.
        return head if head.tokens < MAX_CALL_TOKENS else head.without_tokens()
    if not engine.holds(head.tokens):
        raise Refused(RefusalReason.CALL_TOO_LARGE, TOO_LARGE_RETRY_S)
    return head
