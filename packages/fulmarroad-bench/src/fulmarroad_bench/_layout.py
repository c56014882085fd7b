"""Describe a fleet and generate its tables, VM list and settings."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Mapping
from typing import Any

import tomli_w
from attrs import define, field, frozen

CLUSTER_SECRET = "bench-cluster-secret"
ADMIN_TOKEN = "bench-admin-token"
HOST = "127.0.0.1"


@frozen
class WorkspaceRow:
    """Hold a workspace's name and weight."""

    name: str
    weight: float = 1.0

    @property
    def key(self) -> str:
        """Return the bearer key that the workspace's callers send."""
        return f"key-of-{self.name}"


@frozen
class ServerRow:
    """Hold a backend server's name, data centre and port."""

    name: str
    data_centre: str
    port: int

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"{HOST}:{self.port}"


@frozen
class RouterRow:
    """Hold a router's name, data centre and ports."""

    name: str
    data_centre: str
    port: int
    admin_port: int
    peer_port: int
    gossip_port: int

    @property
    def address(self) -> str:
        """Return host and port for callers."""
        return f"{HOST}:{self.port}"

    @property
    def admin_address(self) -> str:
        """Return host and port for operators."""
        return f"{HOST}:{self.admin_port}"


@define
class Layout:
    """Hold the servers, workspaces and table options of a fleet."""

    data_centres: tuple[str, ...]
    workspaces: tuple[WorkspaceRow, ...]
    routers: tuple[RouterRow, ...]
    engines: tuple[ServerRow, ...]
    plains: tuple[ServerRow, ...]
    model_pool: dict[str, Any] = field(factory=dict)
    model_route: dict[str, Any] = field(factory=dict)
    plain_route: dict[str, Any] = field(factory=dict)

    def routes_part(self) -> str:
        """Return the only part of the routes table, as TOML."""
        workspaces = [_workspace(row) for row in self.workspaces]
        draft = {
            "name": "draft",
            "path": "/v1/chat/completions",
            "pool": "model",
            "methods": ["POST"],
            "repeatable": True,
            **self.model_route,
        }
        ledger = {
            "name": "ledger",
            "path": "/ledger",
            "path_prefix": True,
            "pool": "ledger",
            "repeatable": False,
            **self.plain_route,
        }
        routes = [draft] if not self.plains else [draft, ledger]
        return tomli_w.dumps({"workspace": workspaces, "route": routes})

    def pools_part(
        self, out: Collection[str] = (), servers_out: Collection[str] = ()
    ) -> str:
        """Return the only part of the pools table, as TOML.

        The data centres in `out` and the servers in `servers_out` get the state "out".
        """
        centres = [
            {"name": name, "state": _state(name in out)} for name in self.data_centres
        ]
        model = {
            "name": "model",
            "kind": "model",
            "cost": "tokens",
            "can_resume": True,
            **self.model_pool,
            "server": [_server(row, servers_out) for row in self.engines],
        }
        ledger = {
            "name": "ledger",
            "kind": "plain",
            "cost": "calls",
            "first_token_target_s": 1.0,
            "server": [_server(row, servers_out) for row in self.plains],
        }
        pools = [model] if not self.plains else [model, ledger]
        return tomli_w.dumps({"data_centre": centres, "pool": pools})

    def tables(
        self,
        version: int,
        out: Collection[str] = (),
        servers_out: Collection[str] = (),
    ) -> dict[str, Any]:
        """Return the control request that publishes a version at the platform."""
        return {
            "version": version,
            "routes": [self.routes_part()],
            "pools": [self.pools_part(out, servers_out)],
        }

    def vm_list(
        self,
        version: int,
        routers: Collection[RouterRow],
        leaving: Collection[str] = (),
    ) -> bytes:
        """Return the VM list of these routers, as TOML."""
        rows = [
            {
                "name": row.name,
                "data_centre": row.data_centre,
                "host": HOST,
                "peer_port": row.peer_port,
                "gossip_port": row.gossip_port,
                "state": "leaving" if row.name in leaving else "live",
            }
            for row in routers
        ]
        return tomli_w.dumps({"version": version, "vm": rows}).encode()


def router_settings(
    row: RouterRow,
    platform: str,
    *,
    policy: str = "fleet",
    allow_cut: bool = False,
    first_fleet: bool = False,
) -> str:
    """Return a router's settings as TOML."""
    address = f"http://{platform}"
    settings: Mapping[str, Any] = {
        "router": {"name": row.name, "data_centre": row.data_centre},
        "listen": {
            "host": HOST,
            "port": row.port,
            "admin_host": HOST,
            "admin_port": row.admin_port,
            "peer_host": HOST,
            "peer_port": row.peer_port,
            "gossip_port": row.gossip_port,
        },
        "platform": {"configuration": address, "vm_list": address},
        "admin": {"token": ADMIN_TOKEN},
        "cluster": {"secret": CLUSTER_SECRET},
        "keys": {"first_fleet": first_fleet},
        "bench": {"policy": policy, "allow_cut": allow_cut},
    }
    return tomli_w.dumps(settings)


def _workspace(row: WorkspaceRow) -> dict[str, Any]:
    digest = hashlib.sha256(row.key.encode()).hexdigest()
    return {"name": row.name, "weight": row.weight, "key_sha256": [digest]}


def _server(row: ServerRow, out: Collection[str]) -> dict[str, Any]:
    return {
        "name": row.name,
        "address": row.address,
        "data_centre": row.data_centre,
        "state": _state(row.name in out),
    }


def _state(out: bool) -> str:
    return "out" if out else "in"
