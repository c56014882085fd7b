"""Acceptance of table versions: the newest good one, and never back.

Answers a configuration service that is down, stale or wrong, peers that offer what
they have, and operators who publish a bad table. Without it a router that reads a
stale copy would bring a data centre back that operators took out; one would notice by
work that arrives there after the change was in force. The version in force therefore
only rises, whatever offers come in whatever order.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

from attrs import evolve, frozen

from fulmarroad._manifest import Manifest, TableName, check_part
from fulmarroad._messages import TablesGiven, TablesWanted
from fulmarroad._route_index import RouteIndex
from fulmarroad._table_diff import TableChange, diff_tables
from fulmarroad._table_rows import PartRows, read_part
from fulmarroad._tables import Tables
from fulmarroad._tables_check import ReadPart, join_tables
from fulmarroad.exceptions import ConfigurationError

GIVEN_BYTES = 1_000_000
"""Bytes of parts in one answer to a peer, unless one part alone is larger; well below
the largest message, and short enough not to hold up other messages of the link."""


class Verdict(enum.StrEnum):
    """Say what became of an offer."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    LOWER = "lower"
    CONFLICT = "conflict"
    INVALID = "invalid"
    INCOMPLETE = "incomplete"


@frozen
class Acceptance:
    """Say what became of an offer of tables, and why.

    `before` is the version in force when the offer came, 0 for none; `changes` are the
    rows that differ from it.
    """

    verdict: Verdict
    version: int
    before: int
    source: str
    problems: tuple[str, ...] = ()
    changes: tuple[TableChange, ...] = ()
    missing: tuple[str, ...] = ()  # SHA-256 of parts to fetch before the next offer

    @property
    def accepted(self) -> bool:
        """Tell whether the offer is in force now."""
        return self.verdict is Verdict.ACCEPTED


@frozen
class _InForce:
    """Hold everything of one version, so that one assignment puts it in force."""

    manifest: Manifest
    tables: Tables
    index: RouteIndex
    parts: dict[str, bytes]
    rows: dict[tuple[TableName, str], PartRows]


class TableStore:
    """Hold the tables in force and judge what is offered instead.

    Parts and their parsed rows are kept by SHA-256 while the version in force uses
    them, so a change of one part costs the transfer and the parsing of that part.
    An offer may run in a worker thread, one at a time, while others read: 16,000
    workspaces take most of a second to parse, in which no answer would stream. Lookups
    and differences are worked out there too.
    """

    def __init__(self) -> None:
        self._held: _InForce | None = None
        self._bad: tuple[int, str, tuple[str, ...]] | None = None

    @property
    def in_force(self) -> Tables | None:
        """Return the tables in force, none before the first good ones."""
        return self._held.tables if self._held else None

    @property
    def index(self) -> RouteIndex | None:
        """Return the lookups of the tables in force."""
        return self._held.index if self._held else None

    @property
    def manifest(self) -> Manifest | None:
        """Return the manifest in force."""
        return self._held.manifest if self._held else None

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self._held.manifest.version if self._held else 0

    @property
    def known(self) -> tuple[str, ...]:
        """Return the SHA-256 of the parts held."""
        return tuple(sorted(self._held.parts)) if self._held else ()

    def consider(self, manifest: Manifest, source: str) -> Acceptance:
        """Judge a manifest before its parts are fetched; name the parts that lack.

        `INCOMPLETE` asks for the missing parts; any other verdict is final.
        """
        verdict = self._judge(manifest)
        missing = tuple(sorted(manifest.hashes - set(self.known)))
        if verdict is Verdict.INVALID and self._bad is not None:
            return self._answer(verdict, manifest, source, problems=self._bad[2])
        if verdict is Verdict.INCOMPLETE:
            return self._answer(verdict, manifest, source, missing=missing)
        return self._answer(verdict, manifest, source)

    def offer(
        self, manifest: Manifest, parts: Mapping[str, bytes], source: str
    ) -> Acceptance:
        """Take a higher version if all its parts are there and it is good.

        `parts` is by SHA-256 and may lack those that the store holds. `source` names
        who offers: the service or a peer.
        """
        early = self.consider(manifest, source)
        if early.verdict is not Verdict.INCOMPLETE:
            return early
        missing = tuple(sha for sha in early.missing if sha not in parts)
        if missing:
            return self._answer(Verdict.INCOMPLETE, manifest, source, missing=missing)
        contents = {
            **{sha: parts[sha] for sha in early.missing},
            **self._kept(manifest),
        }
        problems = _content_problems(manifest, contents)
        if problems:
            # Damage on the way says nothing about the version, which may come again.
            return self._answer(
                Verdict.INCOMPLETE, manifest, source, problems, early.missing
            )
        return self._take(manifest, contents, source)

    def wanted(self) -> TablesWanted:
        """Return the question to a peer for anything newer."""
        return TablesWanted(self.version, self.known)

    def give(self, wanted: TablesWanted) -> TablesGiven:
        """Answer a peer's question with the version in force, if it is newer.

        What doesn't fit one answer is given when the peer asks again with what it got.
        """
        held = self._held
        if held is None or held.manifest.version <= wanted.above:
            return TablesGiven(self.version)
        lacking = sorted(held.parts.keys() - set(wanted.known))
        parts: dict[str, bytes] = {}
        size = 0
        for sha in lacking:
            size += len(held.parts[sha])
            if parts and size > GIVEN_BYTES:
                break
            parts[sha] = held.parts[sha]
        return TablesGiven(held.manifest.version, held.manifest.raw, parts)

    def _judge(self, manifest: Manifest) -> Verdict:
        if manifest.version < self.version:
            return Verdict.LOWER
        if manifest.version == 0:
            return Verdict.UNCHANGED
        if self._held is not None and manifest.version == self.version:
            same = manifest.fingerprint == self._held.manifest.fingerprint
            return Verdict.UNCHANGED if same else Verdict.CONFLICT
        if self._bad and self._bad[:2] == (manifest.version, manifest.fingerprint):
            return Verdict.INVALID
        return Verdict.INCOMPLETE

    def _take(
        self, manifest: Manifest, contents: dict[str, bytes], source: str
    ) -> Acceptance:
        known = self._held.rows if self._held else {}
        rows = {
            (part.table, part.sha256): known.get((part.table, part.sha256))
            or read_part(part.table, contents[part.sha256])
            for part in manifest.parts
        }
        read = [
            ReadPart(part, rows[part.table, part.sha256]) for part in manifest.parts
        ]
        try:
            tables = join_tables(manifest.version, read)
        except ConfigurationError as error:
            self._bad = (manifest.version, manifest.fingerprint, error.problems)
            return self._answer(Verdict.INVALID, manifest, source, error.problems)
        changes = diff_tables(self.in_force, tables) if self.in_force else ()
        answer = evolve(
            self._answer(Verdict.ACCEPTED, manifest, source), changes=changes
        )
        index = RouteIndex(tables)
        self._held = _InForce(manifest, tables, index, contents, rows)
        self._bad = None
        return answer

    def _kept(self, manifest: Manifest) -> dict[str, bytes]:
        parts = self._held.parts if self._held else {}
        return {sha: parts[sha] for sha in manifest.hashes if sha in parts}

    def _answer(
        self,
        verdict: Verdict,
        manifest: Manifest,
        source: str,
        problems: Iterable[str] = (),
        missing: tuple[str, ...] = (),
    ) -> Acceptance:
        return Acceptance(
            verdict,
            manifest.version,
            self.version,
            source,
            problems=tuple(problems),
            missing=missing,
        )


def _content_problems(
    manifest: Manifest, contents: Mapping[str, bytes]
) -> tuple[str, ...]:
    faults = (
        (part, check_part(part, contents[part.sha256])) for part in manifest.parts
    )
    return tuple(
        f"{part.table} (part {part.name}): {fault}" for part, fault in faults if fault
    )
