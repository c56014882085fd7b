"""Decide whether routers together know every version that can have begun a stream.

Load pattern: a router stands still or is cut off for some seconds while servers of
another version join, begin streams and end. Its list names one version and is wrong,
and neither the list nor its age shows that. So "no other version" counts only if it
holds at the moment of the question: a view of the store that was read after the call
came, joined with views that reach back to before the stream can have begun; or, while
the store answers nobody, the word of every router that can have begun it.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum

from attrs import frozen

from fulmarroad_serving._positions import Position
from fulmarroad_serving.streams._records import StreamOrigin


class Confirmation(Enum):
    """Name what shows that a view was complete when a call came."""

    NONE = ""
    STORE = "store"  # it was read after the call came
    PEER = "peer"  # by another router
    ROUTERS = "routers"  # all that can have begun streams have answered


@frozen
class VersionView:
    """Hold the versions that a router knows, and for which changes of the store.

    It has seen every change after position `since_at` up to position `at`. The former
    was the newest position `watched_s` seconds ago, or an older one.
    """

    versions: frozenset[StreamOrigin] = frozenset()
    watched_s: float = 0.0
    since_at: Position = 0
    at: Position = 0
    confirmation: Confirmation = Confirmation.NONE


@frozen
class KnownVersions:
    """Hold the versions that can have begun a stream, and whether these are all.

    They are all of the last `watched_s` seconds unless `confirmation` is `NONE`.
    """

    versions: frozenset[StreamOrigin]
    watched_s: float = 0.0
    confirmation: Confirmation = Confirmation.NONE


def join_views(
    own: VersionView, others: Collection[VersionView], *, all_answered: bool
) -> KnownVersions:
    """Return what routers know together of the versions that have served.

    `all_answered` says that `others` are those of all other routers that can have begun
    streams, each given after the call came. Others confirm a list only for a router
    that has read as much as they have: its configuration chose the services.
    """
    views = (own, *others)
    versions = frozenset[StreamOrigin]().union(*(view.versions for view in views))
    confirmed = [
        row
        for row in views
        if row.confirmation is not Confirmation.NONE and row.at <= own.at
    ]
    if confirmed:
        newest = max(confirmed, key=lambda row: _watched_s(row, views))
        watched_s = _watched_s(newest, views)
        return KnownVersions(versions, watched_s, newest.confirmation)
    watched_s = min((view.watched_s for view in views), default=0.0)
    if all_answered and all(view.at <= own.at for view in others):
        # Each knows all versions that it can have used itself in that time.
        return KnownVersions(versions, watched_s, Confirmation.ROUTERS)
    watched_s = max((view.watched_s for view in views), default=0.0)
    return KnownVersions(versions, watched_s)


def _watched_s(newest: VersionView, views: Collection[VersionView]) -> float:
    """Return how far back the newest view reaches, joined with views before it."""
    first = newest
    while True:
        # A view joins another one that ends no earlier than it begins.
        joining = [view for view in views if view.at >= first.since_at > 0]
        best = max((first, *joining), key=lambda view: view.watched_s)
        if best.watched_s <= first.watched_s:
            return first.watched_s
        first = best
