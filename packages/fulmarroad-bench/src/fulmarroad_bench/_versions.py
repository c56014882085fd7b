"""Find routers whose tables went back, from what they said was in force."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import frozen

SPREAD_ALLOWED_S = 5.0
"""Seconds in which an accepted version must be in force on every router."""


@frozen
class VersionObservation:
    """Say which table version a router that takes calls had in force at a time."""

    at: float
    router: str
    version: int


def find_reverts(seen: Sequence[VersionObservation]) -> list[VersionObservation]:
    """Return each sight of a router behind itself, or long behind any other.

    The second kind is a router that restarted without memory and believed an old
    version; one that is cut off from its peers shows it too.
    """
    found = []
    newest: dict[str, int] = {}
    first_at: dict[int, float] = {}
    for sight in sorted(seen, key=lambda sight: sight.at):
        due = max(
            (v for v, at in first_at.items() if sight.at - at > SPREAD_ALLOWED_S),
            default=0,
        )
        if sight.version < max(newest.get(sight.router, 0), due):
            found.append(sight)
        newest[sight.router] = max(newest.get(sight.router, 0), sight.version)
        first_at.setdefault(sight.version, sight.at)
    return found
