"""Order all that the store ever said, also where it came back from an older copy.

A store that returns from a copy of itself gives revisions out again; its era rises by
one each time. A position holds the era above the revision, so that one comparison
orders both.
"""

from __future__ import annotations

Position = int

REVISION_BITS = 40
"""Bits of the revision: a thousand changes a second for thirty years."""


def position(era: int, revision: int) -> Position:
    """Return the position of a revision; raise `ValueError` for one out of range."""
    if era < 0 or not 0 <= revision < 1 << REVISION_BITS:
        raise ValueError(f"Era {era}, revision {revision} is no position.")
    return era << REVISION_BITS | revision


def era_of(at: Position) -> int:
    """Return how often the store had come back by then."""
    return at >> REVISION_BITS


def revision_of(at: Position) -> int:
    """Return the store's own revision."""
    return at & ((1 << REVISION_BITS) - 1)
