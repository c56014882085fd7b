"""Find routers whose tables reverted, from the versions they reported in force."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import frozen

MAX_PROPAGATION_S = 5.0
"""Seconds within which an accepted version must be in force on every router."""


@frozen
class VersionObservation:
    """Hold the table version that a ready router reported in force at a time."""

    at: float
    router: str
    version: int


def find_reverts(
    seen: Sequence[VersionObservation],
) -> list[VersionObservation]:
    """Return each observation of a version older than allowed.

    It is older than one the same router had before, or than one that any router had
    more than `MAX_PROPAGATION_S` earlier. The second case is a router that restarted
    without its state and accepted an old version; a router that is partitioned from
    its peers shows it too.
    """
    found = []
    newest: dict[str, int] = {}
    first_at: dict[int, float] = {}
    for observation in sorted(seen, key=lambda observation: observation.at):
        required = max(
            (
                v
                for v, at in first_at.items()
                if observation.at - at > MAX_PROPAGATION_S
            ),
            default=0,
        )
        if observation.version < max(newest.get(observation.router, 0), required):
            found.append(observation)
        newest[observation.router] = max(
            newest.get(observation.router, 0), observation.version
        )
        first_at.setdefault(observation.version, observation.at)
    return found
