"""The task that keeps this router's tables the newest that the fleet has.

A change is read from the service by a few watchers in each data centre; the others
hear of its version in membership packets and fetch it from a peer that has it. A router
that starts asks its peers before it serves: the service may be stale, and a router that
forgot what it knew must not bring an older table back.
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
from fulmarroad._messages import TablesGiven, TablesWanted
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

WATCHERS = 2
"""Watchers in each data centre: one may be lost without the data centre waiting for a
slow poll, and the service counts no more watches than data centres times this."""

MANIFEST_PERIOD_S = 60.0
"""Mean time between slow reads of the manifest. They matter only where a router hears
neither of the watchers, so a minute is soon enough."""

VM_LIST_PERIOD_S = 15.0
"""Mean time between slow reads of the VM list. Routers whose lists differ disagree
about the units of the VMs in question, so it is read more often than the manifest."""

JOIN_PEERS = 5
"""Peers that a starting router asks. While a change spreads some lag behind; five make
it unlikely that each of them does."""

JOIN_TIMEOUT_S = 3.0
"""How long a starting router looks for a peer that has tables, before it believes that
the whole fleet is new and serves what the service says."""

JOIN_RETRY_S = 0.25

KEPT_REFUSALS = 64
"""Refusals that were logged already; a version that is offered over and over, as by a
stale service, would otherwise fill the log."""

SHOWN_PROBLEMS = 20
"""Problems of a bad table in one log line; `fulmarroadctl check` lists all."""

AUDITED_CHANGES = 200
"""Rows of a change in the audit trail; it holds 4096 records in all."""

Offload = Callable[..., Awaitable[Any]]


class ConfigurationWatcher:
    """Own the table store: read the service, fetch from peers, tell the router."""

    def __init__(
        self,
        store: TableStore,
        source: ConfigurationSource,
        *,
        me: RouterName,
        live: Callable[[], Collection[RouterName]],
        peers: Callable[[], Sequence[RouterName]],
        fetch_from_peer: Callable[[RouterName, TablesWanted], Awaitable[TablesGiven]],
        on_tables: Callable[[Tables], None],
        on_vm_list: Callable[[VmListing], None],
        audit: AuditTrail,
        seed: int,
        offload: Offload = anyio.to_thread.run_sync,
    ) -> None:
        """Take what surrounds the task.

        `live` gives the live routers of the own data centre, this one too; `peers` the
        routers that can be asked; `fetch_from_peer` raises `TransportError`; `offload`
        runs the parsing in a thread, so that answers keep streaming meanwhile.
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
        self._offering = anyio.Lock()
        self._heard: dict[RouterName, int] = {}
        self._news = anyio.Event()
        self._settled = anyio.Event()
        self._vm_list_version = 0
        self._refusals: set[tuple[Verdict, int]] = set()
        self._invalid_version = 0

    @property
    def settled(self) -> anyio.Event:
        """Return the event after which this router may serve."""
        return self._settled

    @property
    def is_watcher(self) -> bool:
        """Tell whether this router long-polls for its data centre."""
        return self._me in watchers(self._live(), WATCHERS)

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._vm_list_poller().run)
            group.start_soon(self._manifest_poller().run)
            group.start_soon(self._follow_news)
            group.start_soon(self._join)

    def record_peer_version(self, router: RouterName, version: int) -> None:
        """Note the version that a peer says it has in force."""
        if version > max(self._store.version, self._invalid_version):
            self._heard[router] = version
            self._news.set()

    def give(self, wanted: TablesWanted) -> TablesGiven:
        """Answer a peer's question."""
        return self._store.give(wanted)

    def _manifest_poller(self) -> Poller:
        return Poller(
            "manifest",
            self._source.manifest,
            self._take_manifest,
            watches=lambda: self.is_watcher,
            period_s=MANIFEST_PERIOD_S,
            rng=self._rng,
        )

    def _vm_list_poller(self) -> Poller:
        return Poller(
            "vm_list",
            self._source.vm_list,
            self._take_vm_list,
            watches=lambda: self.is_watcher,
            period_s=VM_LIST_PERIOD_S,
            rng=self._rng,
        )

    async def _join(self) -> None:
        """Let this router serve once it knows what its peers have in force."""
        deadline = anyio.current_time() + JOIN_TIMEOUT_S
        while not self._settled.is_set():
            learned = await self._ask_peers()
            late = anyio.current_time() >= deadline
            if self._store.in_force is not None and (learned or late):
                self._settled.set()
            else:
                await anyio.sleep(JOIN_RETRY_S)

    async def _ask_peers(self) -> bool:
        """Ask some peers for their tables; return whether the answers settle it.

        They do if one has tables, or if every peer answered and none has any.
        """
        peers = [peer for peer in self._peers() if peer != self._me]
        asked = self._rng.sample(peers, min(JOIN_PEERS, len(peers)))
        versions: list[int] = []

        async def ask(peer: RouterName) -> None:
            try:
                versions.append(await self._fetch(peer))
            except (TransportError, ConfigurationError) as error:
                logger.debug("peer %s gave no tables: %s", peer, error)

        async with anyio.create_task_group() as group:
            for peer in asked:
                group.start_soon(ask, peer)
        all_answered = bool(peers) and len(versions) == len(peers)
        return any(versions) or all_answered

    async def _follow_news(self) -> None:
        """Fetch what peers have and this router lacks."""
        while True:
            await self._news.wait()
            self._news = anyio.Event()
            while (router := self._best_heard()) is not None:
                del self._heard[router]
                try:
                    await self._fetch(router)
                except FulmarroadError as error:
                    # Gossip tells the version again, from this peer or another one.
                    logger.debug("fetch from %s failed: %s", router, error)

    def _best_heard(self) -> RouterName | None:
        floor = max(self._store.version, self._invalid_version)
        self._heard = {name: v for name, v in self._heard.items() if v > floor}
        if not self._heard:
            return None
        highest = max(self._heard.values())
        return self._rng.choice([n for n, v in self._heard.items() if v == highest])

    async def _fetch(self, router: RouterName) -> int:
        """Fetch a peer's tables in as many answers as they need; return its version."""
        parts: dict[str, bytes] = {}
        while True:
            wanted = self._store.wanted()
            wanted = evolve(wanted, known=(*wanted.known, *parts))
            given = await self._fetch_from_peer(router, wanted)
            if not given.manifest:
                return given.version
            manifest = parse_manifest(given.manifest)
            fresh = given.parts.keys() - parts.keys()
            parts |= given.parts
            acceptance = await self._offer(manifest, parts, f"peer {router}")
            if acceptance.verdict is not Verdict.INCOMPLETE:
                return given.version
            if not fresh or acceptance.problems or len(parts) > MAX_PARTS:
                raise ConfigurationError(f"Peer {router} gave no whole tables.")

    async def _take_manifest(self, body: bytes) -> None:
        try:
            manifest = parse_manifest(body)
        except ConfigurationError as error:
            self._reject("service", 0, error.problems or (error.message,))
            return
        if manifest.version == 0:
            return
        acceptance = self._store.consider(manifest, "service")
        if acceptance.verdict is not Verdict.INCOMPLETE:
            self._note_refusal(acceptance)
            return
        parts = {sha: await self._source.part(sha) for sha in acceptance.missing}
        acceptance = await self._offer(manifest, parts, "service")
        if acceptance.verdict is Verdict.INCOMPLETE:
            raise ConfigurationServiceError(
                "The configuration service gave damaged parts: "
                + "; ".join(acceptance.problems)
            )

    async def _offer(
        self, manifest: Manifest, parts: dict[str, bytes], source: str
    ) -> Acceptance:
        async with self._offering:
            acceptance = await self._offload(self._store.offer, manifest, parts, source)
            if acceptance.accepted:
                self._note_accepted(acceptance)
            else:
                self._note_refusal(acceptance)
            return acceptance

    def _note_accepted(self, acceptance: Acceptance) -> None:
        tables = self._store.in_force
        if tables is None:
            return
        self._refusals.clear()
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
        for change in acceptance.changes[:AUDITED_CHANGES]:
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

    def _note_refusal(self, acceptance: Acceptance) -> None:
        verdict, version = acceptance.verdict, acceptance.version
        if verdict in (Verdict.UNCHANGED, Verdict.INCOMPLETE):
            return
        if (verdict, version) in self._refusals:
            return
        if len(self._refusals) >= KEPT_REFUSALS:
            self._refusals.clear()
        self._refusals.add((verdict, version))
        fields = {"before": acceptance.before, "source": acceptance.source}
        if verdict is Verdict.LOWER:
            emit(logger, Event.TABLES_LOWER, version=version, **fields)
        elif verdict is Verdict.CONFLICT:
            emit(logger, Event.TABLES_CONFLICT, version=version, **fields)
        else:
            self._invalid_version = max(self._invalid_version, version)
            self._reject(acceptance.source, version, acceptance.problems)

    def _reject(self, source: str, version: int, problems: Sequence[str]) -> None:
        emit(
            logger,
            Event.TABLES_REJECTED,
            source=source,
            version=version,
            problem_count=len(problems),
            problems=list(problems[:SHOWN_PROBLEMS]),
        )

    async def _take_vm_list(self, body: bytes) -> None:
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
