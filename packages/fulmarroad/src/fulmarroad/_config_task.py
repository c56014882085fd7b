"""Task that keeps this router's tables at the newest version of the fleet.

A few watchers in each data centre read a change from the service; the other routers
learn its version from membership packets and fetch the tables from a peer. A starting
router asks its peers before it serves: the service may be stale, and a router that
restarted without its tables must not bring an older version back into force.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Awaitable, Callable, Collection, Sequence
from typing import Any

import anyio
import anyio.to_thread
from attrs import evolve

from fulmarroad._acceptance import Acceptance, TableStore, Verdict
from fulmarroad._config_polling import Poller
from fulmarroad._config_source import ConfigurationSource
from fulmarroad._manifest import MAX_PARTS, Manifest, parse_manifest
from fulmarroad._messages import TablesReply, TablesRequest
from fulmarroad._rendezvous import watchers
from fulmarroad._table_diff import TableChange
from fulmarroad._tables import Tables
from fulmarroad._vm_listing import VmListing, parse_vm_list
from fulmarroad.audit import AuditTrail, Subject
from fulmarroad.events import Event, emit
from fulmarroad.exceptions import (
    ConfigurationError,
    ConfigurationServiceError,
    FulmarroadError,
    TransportError,
)
from fulmarroad.types import RouterName

logger = logging.getLogger("fulmarroad.configuration")

WATCHERS_PER_DATA_CENTRE = 2
"""Watchers in each data centre.

With two, a data centre that loses one watcher need not wait for a slow poll. The number
also bounds the long polls that the service has to count per data centre."""

MANIFEST_PERIOD_S = 60.0
"""Mean seconds between slow reads of the manifest.

They matter only to a router that learns no versions from either watcher, so one minute
is frequent enough."""

VM_LIST_PERIOD_S = 15.0
"""Mean seconds between slow reads of the VM list.

Routers with different lists disagree about the units of the VMs that differ, so the
list is read more often than the manifest."""

JOIN_PEERS = 5
"""Maximum number of peers that a starting router asks at a time.

While a change spreads, some peers still have the old version; with five, it is unlikely
that all of them do."""

JOIN_TIMEOUT_S = 3.0
"""Seconds that a starting router looks for a peer with tables.

After that it assumes that the whole fleet is new, and serves with the tables of the
service."""

JOIN_RETRY_S = 0.25
"""Seconds until a starting router asks its peers again."""

MAX_REMEMBERED_REFUSALS = 64
"""Maximum number of logged refusals that are remembered.

A refusal is logged once; otherwise a version that is offered repeatedly, for example by
a stale service, would fill the log."""

MAX_LOGGED_PROBLEMS = 20
"""Maximum number of problems of invalid tables in one log line.

`fulmarroadctl check` lists all."""

MAX_AUDITED_CHANGES = 200
"""Maximum number of changed rows recorded per version in the audit trail, which holds
4096 records in total."""

Offload = Callable[..., Awaitable[Any]]


class ConfigurationWatcher:
    """Keep the table store current and notify the router of changes.

    Reads the configuration service and fetches newer versions from peers.
    """

    def __init__(
        self,
        store: TableStore,
        source: ConfigurationSource,
        *,
        me: RouterName,
        live: Callable[[], Collection[RouterName]],
        peers: Callable[[], Sequence[RouterName]],
        fetch_from_peer: Callable[[RouterName, TablesRequest], Awaitable[TablesReply]],
        on_tables: Callable[[Tables], None],
        on_vm_list: Callable[[VmListing], None],
        audit: AuditTrail,
        seed: int,
        offload: Offload = anyio.to_thread.run_sync,
    ) -> None:
        """Set the collaborators of the task.

        `live` returns the live routers of this router's data centre, including itself;
        `peers` returns the routers that can be asked. `fetch_from_peer` raises
        `TransportError` on failure. `offload` runs the parsing in a thread, so that
        answers keep streaming meanwhile.
        """
        self._store = store
        self._source = source
        self._me = me
        self._live = live
        self._peers = peers
        self._fetch_from_peer = fetch_from_peer
        self._on_tables = on_tables
        self._on_vm_list = on_vm_list
        self._audit = audit
        self._rng = random.Random(seed)
        self._offload = offload
        self._offer_lock = anyio.Lock()
        self._reported_versions: dict[RouterName, int] = {}
        self._version_reported = anyio.Event()
        self._ready = anyio.Event()
        self._vm_list_version = 0
        self._logged_refusals: set[tuple[Verdict, int]] = set()
        self._highest_invalid_version = 0

    @property
    def ready(self) -> anyio.Event:
        """Return the event that is set once this router may serve."""
        return self._ready

    @property
    def is_watcher(self) -> bool:
        """Return whether this router is a watcher of its data centre."""
        return self._me in watchers(self._live(), WATCHERS_PER_DATA_CENTRE)

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._vm_list_poller().run)
            group.start_soon(self._manifest_poller().run)
            group.start_soon(self._fetch_reported_versions)
            group.start_soon(self._join)

    def record_peer_version(self, router: RouterName, version: int) -> None:
        """Record the version that a peer reports as in force."""
        if version > max(self._store.version, self._highest_invalid_version):
            self._reported_versions[router] = version
            self._version_reported.set()

    def make_reply(self, request: TablesRequest) -> TablesReply:
        """Return the reply to a peer's request for tables."""
        return self._store.make_reply(request)

    def _manifest_poller(self) -> Poller:
        return Poller(
            "manifest",
            self._source.manifest,
            self._apply_manifest,
            is_watcher=lambda: self.is_watcher,
            period_s=MANIFEST_PERIOD_S,
            rng=self._rng,
        )

    def _vm_list_poller(self) -> Poller:
        return Poller(
            "vm_list",
            self._source.vm_list,
            self._apply_vm_list,
            is_watcher=lambda: self.is_watcher,
            period_s=VM_LIST_PERIOD_S,
            rng=self._rng,
        )

    async def _join(self) -> None:
        """Set `ready` once the peers' versions are known or the wait is over."""
        deadline = anyio.current_time() + JOIN_TIMEOUT_S
        while not self._ready.is_set():
            conclusive = await self._ask_peers()
            late = anyio.current_time() >= deadline
            if self._store.in_force is not None and (conclusive or late):
                self._ready.set()
            else:
                await anyio.sleep(JOIN_RETRY_S)

    async def _ask_peers(self) -> bool:
        """Ask some peers for their tables; return whether the answers are conclusive.

        They are if a peer has tables, or if every peer answered and none has any.
        """
        peers = [peer for peer in self._peers() if peer != self._me]
        asked = self._rng.sample(peers, min(JOIN_PEERS, len(peers)))
        versions: list[int] = []

        async def ask(peer: RouterName) -> None:
            try:
                versions.append(await self._fetch(peer))
            except (TransportError, ConfigurationError) as error:
                logger.debug("cannot fetch tables from peer %s: %s", peer, error)

        async with anyio.create_task_group() as group:
            for peer in asked:
                group.start_soon(ask, peer)
        all_answered = bool(peers) and len(versions) == len(peers)
        return any(versions) or all_answered

    async def _fetch_reported_versions(self) -> None:
        """Fetch newer versions that peers report."""
        while True:
            await self._version_reported.wait()
            self._version_reported = anyio.Event()
            while (router := self._peer_with_highest_version()) is not None:
                del self._reported_versions[router]
                try:
                    await self._fetch(router)
                except FulmarroadError as error:
                    # Gossip reports the version again, from this peer or another one.
                    logger.debug("cannot fetch tables from peer %s: %s", router, error)

    def _peer_with_highest_version(self) -> RouterName | None:
        handled_version = max(self._store.version, self._highest_invalid_version)
        self._reported_versions = {
            name: v
            for name, v in self._reported_versions.items()
            if v > handled_version
        }
        if not self._reported_versions:
            return None
        highest = max(self._reported_versions.values())
        return self._rng.choice(
            [n for n, v in self._reported_versions.items() if v == highest]
        )

    async def _fetch(self, router: RouterName) -> int:
        """Fetch a peer's tables in as many replies as needed; return its version.

        Raise `TransportError` if the peer cannot be reached, and `ConfigurationError`
        if it does not send complete tables.
        """
        parts: dict[str, bytes] = {}
        while True:
            request = self._store.make_request()
            request = evolve(request, known=(*request.known, *parts))
            reply = await self._fetch_from_peer(router, request)
            if not reply.manifest:
                return reply.version
            manifest = parse_manifest(reply.manifest)
            new_parts = reply.parts.keys() - parts.keys()
            parts |= reply.parts
            acceptance = await self._offer(manifest, parts, f"peer {router}")
            if acceptance.verdict is not Verdict.INCOMPLETE:
                return reply.version
            if not new_parts or acceptance.problems or len(parts) > MAX_PARTS:
                raise ConfigurationError(f"Peer {router} did not send complete tables.")

    async def _apply_manifest(self, body: bytes) -> None:
        try:
            manifest = parse_manifest(body)
        except ConfigurationError as error:
            self._log_rejected("service", 0, error.problems or (error.message,))
            return
        if manifest.version == 0:
            return
        acceptance = self._store.check_manifest(manifest, "service")
        if acceptance.verdict is not Verdict.INCOMPLETE:
            self._report_refusal(acceptance)
            return
        parts = {sha: await self._source.part(sha) for sha in acceptance.missing}
        acceptance = await self._offer(manifest, parts, "service")
        if acceptance.verdict is Verdict.INCOMPLETE:
            raise ConfigurationServiceError(
                "The configuration service returned damaged parts: "
                + "; ".join(acceptance.problems)
            )

    async def _offer(
        self, manifest: Manifest, parts: dict[str, bytes], source: str
    ) -> Acceptance:
        async with self._offer_lock:
            acceptance = await self._offload(self._store.offer, manifest, parts, source)
            if acceptance.accepted:
                self._report_accepted(acceptance)
            else:
                self._report_refusal(acceptance)
            return acceptance

    def _report_accepted(self, acceptance: Acceptance) -> None:
        tables = self._store.in_force
        if tables is None:
            return
        self._logged_refusals.clear()
        fields = {"version": acceptance.version, "before": acceptance.before}
        emit(logger, Event.TABLES_ACCEPTED, **fields, source=acceptance.source)
        if acceptance.source != "service":
            emit(logger, Event.TABLES_FROM_PEER, **fields, source=acceptance.source)
        self._audit_tables(acceptance)
        self._on_tables(tables)

    def _audit_tables(self, acceptance: Acceptance) -> None:
        self._audit.record(
            Subject.TABLES,
            "tables",
            before=str(acceptance.before),
            after=str(acceptance.version),
            cause=acceptance.source,
            version=acceptance.version,
        )
        for change in acceptance.changes[:MAX_AUDITED_CHANGES]:
            self._audit_change(change, acceptance.version)

    def _audit_change(self, change: TableChange, version: int) -> None:
        label = f"{change.kind} {change.name} {change.field}".strip()
        self._audit.record(
            Subject.TABLES,
            label,
            before=change.before,
            after=change.after,
            cause=f"tables {version}",
            version=version,
        )

    def _report_refusal(self, acceptance: Acceptance) -> None:
        verdict, version = acceptance.verdict, acceptance.version
        if verdict in (Verdict.UNCHANGED, Verdict.INCOMPLETE):
            return
        if (verdict, version) in self._logged_refusals:
            return
        if len(self._logged_refusals) >= MAX_REMEMBERED_REFUSALS:
            self._logged_refusals.clear()
        self._logged_refusals.add((verdict, version))
        fields = {"before": acceptance.before, "source": acceptance.source}
        if verdict is Verdict.LOWER:
            emit(logger, Event.TABLES_LOWER, version=version, **fields)
        elif verdict is Verdict.CONFLICT:
            emit(logger, Event.TABLES_CONFLICT, version=version, **fields)
        else:
            self._highest_invalid_version = max(self._highest_invalid_version, version)
            self._log_rejected(acceptance.source, version, acceptance.problems)

    def _log_rejected(self, source: str, version: int, problems: Sequence[str]) -> None:
        emit(
            logger,
            Event.TABLES_REJECTED,
            source=source,
            version=version,
            problem_count=len(problems),
            problems=list(problems[:MAX_LOGGED_PROBLEMS]),
        )

    async def _apply_vm_list(self, body: bytes) -> None:
        try:
            listing = parse_vm_list(body)
        except ConfigurationError as error:
            problems = error.problems or (error.message,)
            emit(logger, Event.VM_LIST_REJECTED, problems=list(problems[:20]))
            return
        if listing.version < self._vm_list_version:
            problem = f"version {listing.version} is below {self._vm_list_version}"
            emit(logger, Event.VM_LIST_REJECTED, problems=[problem])
            return
        if listing.version == 0:
            return
        self._vm_list_version = listing.version
        count = len(listing.entries)
        emit(logger, Event.VM_LIST_CHANGED, version=listing.version, vms=count)
        self._on_vm_list(listing)
