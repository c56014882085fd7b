"""Validation of offered table versions and storage of the version in force.

The configuration service may be down, stale or wrong, peers may hold older versions,
and operators may publish an invalid table. A router that accepted a stale copy would
send work again to a data centre that operators have taken out of service. The version
in force therefore only increases, regardless of the source and order of the offers.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

from attrs import evolve, frozen

from fulmarroad._manifest import Manifest, TableName, check_part
from fulmarroad._messages import TablesReply, TablesRequest
from fulmarroad._route_index import RouteIndex
from fulmarroad._table_diff import TableChange, diff_tables
from fulmarroad._table_rows import PartRows, read_part
from fulmarroad._tables import Tables
from fulmarroad._tables_check import ReadPart, join_tables
from fulmarroad.exceptions import ConfigurationError

MAX_REPLY_BYTES = 1_000_000
"""Maximum bytes of parts in one reply to a peer; a single larger part is still sent.

Well below the maximum message size, and small enough not to delay other messages on
the same link."""


class Verdict(enum.StrEnum):
    """Name the possible results of an offer."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    LOWER = "lower"
    CONFLICT = "conflict"
    INVALID = "invalid"
    INCOMPLETE = "incomplete"


@frozen
class Acceptance:
    """Hold the result of an offer of tables and its reasons.

    `before` is the version in force when the offer arrived, 0 for none; `changes` are
    the rows that differ from that version.
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
        """Return whether the offered version is now in force."""
        return self.verdict is Verdict.ACCEPTED


@frozen
class _VersionInForce:
    """Hold all data of one version, so that a single assignment activates it."""

    manifest: Manifest
    tables: Tables
    index: RouteIndex
    parts: dict[str, bytes]
    rows: dict[tuple[TableName, str], PartRows]


class TableStore:
    """Hold the tables in force and validate offered replacements.

    Parts and their parsed rows are kept by SHA-256 while the version in force uses
    them, so a change to one part costs only the transfer and parsing of that part.
    `offer` may run in a worker thread, one call at a time, while other threads read.
    Parsing 16,000 workspaces takes most of a second, which would stall all streaming
    answers on the event loop. The route index and the differences are also computed
    in `offer`.
    """

    def __init__(self) -> None:
        self._current: _VersionInForce | None = None
        self._last_invalid: tuple[int, str, tuple[str, ...]] | None = None

    @property
    def in_force(self) -> Tables | None:
        """Return the tables in force, or `None` before the first valid version."""
        return self._current.tables if self._current else None

    @property
    def index(self) -> RouteIndex | None:
        """Return the route index of the tables in force."""
        return self._current.index if self._current else None

    @property
    def manifest(self) -> Manifest | None:
        """Return the manifest in force."""
        return self._current.manifest if self._current else None

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self._current.manifest.version if self._current else 0

    @property
    def known(self) -> tuple[str, ...]:
        """Return the SHA-256 of each part of the version in force."""
        return tuple(sorted(self._current.parts)) if self._current else ()

    def check_manifest(self, manifest: Manifest, source: str) -> Acceptance:
        """Check a manifest before its parts are fetched, and list the missing parts.

        With the verdict `INCOMPLETE`, the caller fetches the missing parts and calls
        `offer`; any other verdict is final.
        """
        verdict = self._compare_version(manifest)
        missing = tuple(sorted(manifest.hashes - set(self.known)))
        if verdict is Verdict.INVALID and self._last_invalid is not None:
            return self._result(
                verdict, manifest, source, problems=self._last_invalid[2]
            )
        if verdict is Verdict.INCOMPLETE:
            return self._result(verdict, manifest, source, missing=missing)
        return self._result(verdict, manifest, source)

    def offer(
        self, manifest: Manifest, parts: Mapping[str, bytes], source: str
    ) -> Acceptance:
        """Put a higher version in force if all its parts are present and valid.

        `parts` maps SHA-256 to content and may omit parts that the store holds.
        `source` names the origin of the offer: the service or a peer.
        """
        preliminary = self.check_manifest(manifest, source)
        if preliminary.verdict is not Verdict.INCOMPLETE:
            return preliminary
        missing = tuple(sha for sha in preliminary.missing if sha not in parts)
        if missing:
            return self._result(Verdict.INCOMPLETE, manifest, source, missing=missing)
        contents = {
            **{sha: parts[sha] for sha in preliminary.missing},
            **self._stored_parts(manifest),
        }
        problems = _content_problems(manifest, contents)
        if problems:
            # The parts may have been corrupted in transit, so the version itself is
            # not recorded as invalid and may be offered again.
            return self._result(
                Verdict.INCOMPLETE, manifest, source, problems, preliminary.missing
            )
        return self._apply(manifest, contents, source)

    def make_request(self) -> TablesRequest:
        """Return the request that asks a peer for a newer version."""
        return TablesRequest(self.version, self.known)

    def make_reply(self, request: TablesRequest) -> TablesReply:
        """Return the version in force if it is newer than the peer's.

        Parts beyond the size limit of one reply are left out; the peer asks again and
        lists the parts that it has received in `known`.
        """
        held = self._current
        if held is None or held.manifest.version <= request.above:
            return TablesReply(self.version)
        missing = sorted(held.parts.keys() - set(request.known))
        parts: dict[str, bytes] = {}
        size = 0
        for sha in missing:
            size += len(held.parts[sha])
            if parts and size > MAX_REPLY_BYTES:
                break
            parts[sha] = held.parts[sha]
        return TablesReply(held.manifest.version, held.manifest.raw, parts)

    def _compare_version(self, manifest: Manifest) -> Verdict:
        if manifest.version < self.version:
            return Verdict.LOWER
        if manifest.version == 0:
            return Verdict.UNCHANGED
        if self._current is not None and manifest.version == self.version:
            same = manifest.fingerprint == self._current.manifest.fingerprint
            return Verdict.UNCHANGED if same else Verdict.CONFLICT
        if self._last_invalid and self._last_invalid[:2] == (
            manifest.version,
            manifest.fingerprint,
        ):
            return Verdict.INVALID
        return Verdict.INCOMPLETE

    def _apply(
        self, manifest: Manifest, contents: dict[str, bytes], source: str
    ) -> Acceptance:
        known = self._current.rows if self._current else {}
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
            self._last_invalid = (
                manifest.version,
                manifest.fingerprint,
                error.problems,
            )
            return self._result(Verdict.INVALID, manifest, source, error.problems)
        changes = diff_tables(self.in_force, tables) if self.in_force else ()
        result = evolve(
            self._result(Verdict.ACCEPTED, manifest, source), changes=changes
        )
        index = RouteIndex(tables)
        self._current = _VersionInForce(manifest, tables, index, contents, rows)
        self._last_invalid = None
        return result

    def _stored_parts(self, manifest: Manifest) -> dict[str, bytes]:
        parts = self._current.parts if self._current else {}
        return {sha: parts[sha] for sha in manifest.hashes if sha in parts}

    def _result(
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
