"""Find which suspects explain the crashes of backend servers.

Load pattern: each crash breaks many calls, and each call has several parts that others
share, so one crash accuses dozens of suspects, all but one of them wrongly. A suspect
that explains three crashes is a culprit, if not many other servers crashed meanwhile
without it, and the crashes that it explains no longer count against the others that
were there.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable, Mapping, Sequence

from attrs import define, field, frozen

from fulmarroad_serving._fingerprints import Fingerprint

MIN_CRASHES = 3
"""Number of crashes that nothing else explains from which a suspect is a culprit."""

CERTAIN_CRASHES = 5
"""The same, whatever else crashed meanwhile."""

MIN_CRASH_FRACTION = 0.4
"""Fraction of the unexplained crashes of its time that a suspect must explain.

Where servers crash for other reasons, a sound request is at three of them by chance.
"""

ALIKE_FRACTION = 0.75
"""Fraction of common crashes from which two suspects that ran well are alike.

What a part that turns bad explains, popular parts explain too if so many servers crash
that no run shows that these are good.
"""

CrashId = int
"""Identifies the crash of one start of a server."""


@frozen
class Accused:
    """Hold the crashes of a suspect since its last good run."""

    fingerprint: Fingerprint
    crashes: frozenset[CrashId]
    ran_well: bool  # before these crashes

    def is_alike(self, other: Accused) -> bool:
        """Return whether another suspect explains nearly the same crashes."""
        common = len(self.crashes & other.crashes)
        return common >= ALIKE_FRACTION * len(self.crashes | other.crashes)


@define
class Culprits:
    """Hold the suspects that explain the crashes, in groups that are alike."""

    explained: set[CrashId] = field(factory=set)
    _groups: dict[Fingerprint, tuple[Fingerprint, ...]] = field(factory=dict)

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._groups

    @property
    def names(self) -> set[Fingerprint]:
        """Return all culprits."""
        return set(self._groups)

    def group_of(self, fingerprint: Fingerprint) -> tuple[Fingerprint, ...]:
        """Return the culprits that explain the same crashes as one of them."""
        return self._groups[fingerprint]

    def forget(self, fingerprint: Fingerprint) -> None:
        """Drop a suspect of which nothing is known any more."""
        self._groups.pop(fingerprint, None)

    def add(self, group: Sequence[Accused]) -> None:
        """Add suspects that explain the same crashes."""
        names = tuple(row.fingerprint for row in group)
        for row in group:
            self._groups[row.fingerprint] = names
            self.explained |= row.crashes


def find_culprits(
    accused: Iterable[Accused], crash_times: Mapping[CrashId, float]
) -> Culprits:
    """Return the fewest suspects that explain the crashes, with all that are alike."""
    return _Search(accused, crash_times).run()


class _Search:
    """Find culprits in the order of their ranks, until nothing more is explained."""

    def __init__(
        self, accused: Iterable[Accused], crash_times: Mapping[CrashId, float]
    ) -> None:
        self._times = crash_times
        self._left = sorted(accused, key=self._rank)
        self._culprits = Culprits()
        self._sorted = sorted(crash_times.values())
        self._explained: list[float] = []  # times, sorted
        self._same: dict[frozenset[CrashId], list[Accused]] = {}
        self._ran_well = [row for row in self._left if row.ran_well]
        for row in self._left:
            if not row.ran_well:
                self._same.setdefault(row.crashes, []).append(row)

    def run(self) -> Culprits:
        """Return the culprits."""
        found = True
        while found:
            # What is explained now may leave others as the only ones for the rest.
            before = len(self._culprits.explained)
            self._left = [row for row in self._left if not self._try(row)]
            found = len(self._culprits.explained) > before
        return self._culprits

    def _rank(self, row: Accused) -> tuple[bool, int, float, Fingerprint]:
        """Return the sort key: what never ran well, explains most, and did so first."""
        times = sorted(self._times.get(end, math.inf) for end in row.crashes)
        enough_at = times[MIN_CRASHES - 1] if len(times) >= MIN_CRASHES else math.inf
        return row.ran_well, -len(row.crashes), enough_at, row.fingerprint

    def _try(self, row: Accused) -> bool:
        """Add a suspect if it is a culprit, and return whether it is decided."""
        if row.fingerprint in self._culprits:
            return True
        unexplained = row.crashes - self._culprits.explained
        if len(unexplained) < MIN_CRASHES:
            return True
        if not self._is_telling(unexplained):
            return False
        self._note_explained(unexplained)
        self._culprits.add(self._alike(row))
        return True

    def _alike(self, row: Accused) -> list[Accused]:
        if not row.ran_well:
            return self._same[row.crashes]
        return [other for other in self._ran_well if other.is_alike(row)]

    def _is_telling(self, crashes: frozenset[CrashId]) -> bool:
        """Return whether a suspect was at many crashes, or at many of its time."""
        times = [self._times[end] for end in crashes if end in self._times]
        if len(crashes) >= CERTAIN_CRASHES or not times:
            return True
        since, until = min(times), max(times)
        meanwhile = _count(self._sorted, since, until)
        meanwhile -= _count(self._explained, since, until)
        return len(crashes) >= MIN_CRASH_FRACTION * meanwhile

    def _note_explained(self, crashes: frozenset[CrashId]) -> None:
        for end in crashes:
            if end in self._times:
                insort(self._explained, self._times[end])


def _count(ordered: Sequence[float], since: float, until: float) -> int:
    return bisect_right(ordered, until) - bisect_left(ordered, since)
