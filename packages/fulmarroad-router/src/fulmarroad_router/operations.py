"""Operations of the admin port, answered from the state of the running router."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable, Mapping
from typing import Any

import anyio
from attrs import asdict

from fulmarroad.audit import AuditTrail
from fulmarroad.coordination import Coordinator
from fulmarroad.membership import Member
from fulmarroad.placement import choose_shard
from fulmarroad.tables import Pool, Tables
from fulmarroad.transport import TrafficCount
from fulmarroad_router.admin import AdminError
from fulmarroad_router.gate import CallGate, GateState
from fulmarroad_router.settings import Settings

AUDIT_POLL_S = 0.1


class RouterOperations:
    """Implement the operations of the admin port."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        gate: CallGate,
        audit: AuditTrail,
        traffic: TrafficCount,
        tables: Callable[[], Tables | None],
        members: Callable[[], Mapping[str, Member]],
        versions: Callable[[], Mapping[str, int]],
        clock: Callable[[], float],
        drain: Callable[[str], None],
        cut: set[str],
    ) -> None:
        self._settings = settings
        self._coordinator = coordinator
        self._gate = gate
        self._audit = audit
        self._traffic = traffic
        self._tables = tables
        self._members = members
        self._versions = versions
        self._clock = clock
        self._drain = drain
        self._cut = cut
        self._started = time.time()

    def healthy(self) -> bool:
        """Return True: a process that answers is alive."""
        return True

    def ready(self) -> bool:
        """Return whether the load balancer may send calls."""
        return self._gate.ready

    def status(self) -> dict[str, Any]:
        """Return the router's state."""
        tables = self._tables()
        follower = self._coordinator.follower
        return {
            "router": self._settings.router.name,
            "data_centre": self._settings.router.data_centre,
            "state": self._gate.state.value,
            "started_at": self._started,
            "table_version": tables.version if tables else 0,
            "in_flight": self._gate.in_flight,
            "waiting": follower.waiting,
            "running": follower.running,
            "members": [self._member(name) for name in sorted(self._members())],
            "data_centres": self._centres(tables),
            "follows": self._follows(),
            "schedulers": self._roles(),
            "control": self._control(),
        }

    def explain(self, route: str, workspace: str) -> dict[str, Any]:
        """Return where a call of a route would be routed now, and why."""
        tables = self._tables()
        if tables is None:
            raise AdminError(503, "No tables are in force on this router yet.")
        row = tables.routes.get(route)
        if row is None:
            raise AdminError(404, f"The tables have no route {route!r}.")
        if workspace and workspace not in tables.workspaces:
            raise AdminError(404, f"The tables have no workspace {workspace!r}.")
        now = self._clock()
        views = self._coordinator.follower.views(row.pool, now)
        chosen = choose_shard(views, avoid=(), key=f"{workspace}/{route}")
        schedulers = self._coordinator.follower.schedulers
        return {
            "route": route,
            "workspace": workspace,
            "allowed": not row.workspaces or workspace in row.workspaces,
            "pool": row.pool,
            "gate": self._gate.state.value,
            "chosen_shard": str(chosen) if chosen else None,
            "scheduler": schedulers.get(chosen) if chosen else None,
            "reason": _reason(chosen is not None, self._gate.state),
            "estimated_wait_s": self._coordinator.follower.estimated_wait_s(row.pool),
            "shards": [self._shard(view, schedulers) for view in views],
            "out_of_service": _out_of_service(tables.pools[row.pool], tables),
        }

    def tables(self) -> dict[str, Any]:
        """Return the tables in force, without keys."""
        tables = self._tables()
        if tables is None:
            raise AdminError(503, "No tables are in force on this router yet.")
        document = asdict(tables)
        for row in document["workspaces"].values():
            row["keys"] = len(row.pop("key_sha256"))
        return document

    async def audit(self, after: int, wait_s: float) -> list[dict[str, Any]]:
        """Return audit records after a sequence number.

        If there are none yet, wait up to `wait_s` seconds for the next one.
        """
        deadline = self._clock() + wait_s
        records = self._audit.since(after)
        while not records and self._clock() < deadline:
            await anyio.sleep(AUDIT_POLL_S)
            records = self._audit.since(after)
        return [record.as_dict() for record in records]

    def drain(self, cause: str) -> None:
        """Start the graceful shutdown."""
        self._drain(cause)

    def cut(self, peers: list[str]) -> None:
        """Block traffic with peers, if the bench settings allow it."""
        if not self._settings.bench.allow_cut:
            raise AdminError(403, "The settings do not allow cuts.")
        self._cut.clear()
        self._cut.update(peers)

    def _member(self, name: str) -> dict[str, Any]:
        member = self._members()[name]
        return {
            "router": name,
            "state": member.state.value,
            "data_centre": member.data_centre,
            "incarnation": member.incarnation,
            "table_version": self._versions().get(name),
        }

    def _centres(self, tables: Tables | None) -> dict[str, str]:
        if tables is None:
            return {}
        return {name: row.state.value for name, row in tables.data_centres.items()}

    def _follows(self) -> list[dict[str, Any]]:
        return [
            {
                "shard": str(shard),
                "scheduler": follow.scheduler,
                "welcomed": follow.epoch is not None,
                "wait_s": follow.heartbeat.wait_s if follow.heartbeat else None,
                "waiting": follow.heartbeat.waiting if follow.heartbeat else None,
            }
            for shard, follow in sorted(self._coordinator.follower.follows.items())
        ]

    def _roles(self) -> list[dict[str, Any]]:
        now = self._clock()
        return [
            {
                "shard": str(shard),
                "servers": [
                    {
                        "server": row.server,
                        "warmth": row.warmth.value,
                        "limit": row.limit,
                        "running": row.running,
                        "usable": row.usable,
                    }
                    for row in role.book.status(now)
                ],
            }
            for shard, role in sorted(self._coordinator.roles.held.items())
        ]

    def _control(self) -> dict[str, Any]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "bytes_sent": self._traffic.sent,
            "bytes_received": self._traffic.received,
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "memory_bytes": usage.ru_maxrss * 1024,
        }

    def _shard(self, view: Any, schedulers: Mapping[Any, str]) -> dict[str, Any]:
        heartbeat = view.heartbeat
        servers = heartbeat.servers if heartbeat is not None else ()
        return {
            "shard": str(view.shard),
            "scheduler": schedulers.get(view.shard),
            "own_data_centre": view.own_centre,
            "reachable": view.reachable,
            "waiting": heartbeat.waiting if heartbeat else None,
            "wait_s": heartbeat.wait_s if heartbeat else None,
            "servers": [
                {
                    "server": row.server,
                    "warmth": row.warmth.value,
                    "limit": row.limit,
                    "running": row.running,
                }
                for row in servers
            ],
        }


def _reason(chosen: bool, state: GateState) -> str:
    if state is not GateState.OPEN:
        return f"the router is {state.value}"
    if not chosen:
        return "no backend server of the pool takes work"
    return "own data centre first, then room and shorter waits elsewhere"


def _out_of_service(pool: Pool, tables: Tables) -> list[str]:
    return [
        server.name for server in pool.servers if not tables.server_takes_work(server)
    ]
