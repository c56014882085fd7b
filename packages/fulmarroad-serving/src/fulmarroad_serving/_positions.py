"""Positions in the store's history, ordered even across restores from older copies.

A store restored from an older copy assigns revisions again and increments its era. A
position holds the era in the bits above the revision, so a single comparison orders
both.
"""

from __future__ import annotations

Position = int

REVISION_BITS = 40
"""Bits of the revision, enough for a thousand changes a second for thirty years."""


def position(era: int, revision: int) -> Position:
    """Return the position of a revision; raise `ValueError` if one is out of range."""
    if era < 0 or not 0 <= revision < 1 << REVISION_BITS:
        raise ValueError(f"Era {era}, revision {revision} is out of range.")
    return era << REVISION_BITS | revision


def era_of(at: Position) -> int:
    """Return the era of a position: how often the store had been restored by then."""
    return at >> REVISION_BITS


def revision_of(at: Position) -> int:
    """Return the store's revision number of a position."""
    return at & ((1 << REVISION_BITS) - 1)
