"""What the status of a backend server's answer says of the server."""

from __future__ import annotations

from fulmarroad.tables import Pool, PoolKind
from fulmarroad.types import Outcome

REFUSED_STATUSES = {429, 503}
"""Statuses by which a backend server reports that it did not accept the call."""

FAILED_STATUSES = {500, 502, 504}
"""Statuses by which a backend server reports that it failed."""


def outcome_of(pool: Pool, status: int) -> Outcome:
    """Return the outcome that an answer's status counts as for its server.

    A failing engine answers at once and would be rated as the fastest one, so its
    failures count. A status 500 of a plain service does not: one caller's data may
    have caused it, and other calls may succeed.
    """
    failed = status in REFUSED_STATUSES or status in FAILED_STATUSES - {500}
    if failed or (pool.kind is PoolKind.MODEL and status in FAILED_STATUSES):
        return Outcome.FAILED
    return Outcome.COMPLETED
