"""Find which suspects explain the crashes of backend servers.

Load pattern: each crash breaks many calls, and each call has several parts that others
share, so one crash accuses dozens of suspects, all but one of them wrongly. A suspect
that explains three crashes is a culprit, if not many other servers crashed meanwhile
without it, and the crashes that it explains no longer count against the others that
were there.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import define, evolve, field, frozen

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

    @property
    def rank(self) -> tuple[bool, int, Fingerprint]:
        """Return the sort key: what never ran well first, then what explains most."""
        return self.ran_well, -len(self.crashes), self.fingerprint

    def is_alike(self, other: Accused) -> bool:
        """Return whether another suspect explains the same crashes as well."""
        if self.ran_well != other.ran_well:
            return False
        if not self.ran_well:
            return self.crashes == other.crashes
        common = len(self.crashes & other.crashes)
        return common >= ALIKE_FRACTION * len(self.crashes | other.crashes)


@define
class Culprits:
    """Hold the suspects that explain the crashes, in groups that are alike."""

    groups: list[tuple[Fingerprint, ...]] = field(factory=list)
    explained: set[CrashId] = field(factory=set)

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        return any(fingerprint in group for group in self.groups)

    @property
    def names(self) -> set[Fingerprint]:
        """Return all culprits."""
        return {name for group in self.groups for name in group}

    def group_of(self, fingerprint: Fingerprint) -> tuple[Fingerprint, ...]:
        """Return the culprits that explain the same crashes as one of them."""
        return next(group for group in self.groups if fingerprint in group)

    def forget(self, fingerprint: Fingerprint) -> None:
        """Drop a suspect of which nothing is known any more."""
        self.groups = [
            tuple(name for name in group if name != fingerprint)
            for group in self.groups
        ]


def find_culprits(
    accused: Iterable[Accused], crash_times: Mapping[CrashId, float]
) -> Culprits:
    """Return the fewest suspects that explain the crashes, with all that are alike."""
    culprits = Culprits()
    left = [row for row in accused if len(row.crashes) >= MIN_CRASHES]
    while left:
        telling = [row for row in left if _is_telling(row, crash_times, culprits)]
        if not telling:
            break
        top = min(telling, key=lambda row: row.rank)
        alike = [row for row in left if row.is_alike(top)]
        culprits.groups.append(tuple(row.fingerprint for row in alike))
        for row in alike:
            culprits.explained |= row.crashes
        left = [
            evolve(row, crashes=crashes)
            for row in left
            if row not in alike
            and len(crashes := row.crashes - culprits.explained) >= MIN_CRASHES
        ]
    return culprits


def _is_telling(
    row: Accused, crash_times: Mapping[CrashId, float], culprits: Culprits
) -> bool:
    """Return whether a suspect was at so many crashes of its time, or at so many."""
    if len(row.crashes) >= CERTAIN_CRASHES:
        return True
    times = [crash_times[end] for end in row.crashes if end in crash_times]
    if not times:
        return True
    meanwhile = sum(
        min(times) <= at <= max(times) and end not in culprits.explained
        for end, at in crash_times.items()
    )
    return len(row.crashes) >= MIN_CRASH_FRACTION * meanwhile
