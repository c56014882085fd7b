"""Commands of `fulmarroadctl`; each prints plain text, or JSON with `--json`."""

from __future__ import annotations

import json as json_module
import os
import sys
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any, TextIO

from attrs import asdict
from result import Err, Result

from fulmarroad.tables import TableChange, Tables, diff_tables, servers_leaving
from fulmarroad_ctl._client import AdminClient
from fulmarroad_ctl._files import read_tables
from fulmarroad_ctl._fleet_status import (
    differing_fields,
    fetch_statuses,
    fleet_status_lines,
)
from fulmarroad_ctl._render import audit_line, explain_lines, status_lines
from fulmarroad_ctl._router_tables import parse_router_tables, with_key_counts
from fulmarroad_ctl.exceptions import (
    EXIT_DIFFERS,
    EXIT_ROUTER_ERROR,
    RouterError,
    UsageError,
)
from fulmarroad_platform.settings import load_settings as load_platform_settings
from fulmarroad_router.settings import Settings, load_settings

ADMIN_VARIABLE = "FULMARROAD_ADMIN"
TOKEN_VARIABLE = "FULMARROAD_ADMIN_TOKEN"

FOLLOW_WAIT_S = 20
"""Seconds that one audit request waits for records; below the router's own limit."""


def _parse_bool(value: bool | str) -> bool:
    return str(value).lower() not in ("false", "no", "0")


def _parse_whole_number(value: int | str) -> int:
    text = str(value)
    if text.isascii() and text.isdigit():
        return int(text)
    raise UsageError(f"--after must be a whole number; is {text}.")


class Commands:
    """Manage a fleet of fulmarroad routers.

    Commands that query a router take --settings FILE (the router's own settings), or
    --admin URL with --token_file FILE, or the environment variables FULMARROAD_ADMIN
    and FULMARROAD_ADMIN_TOKEN. Every command takes --json.
    """

    def __init__(
        self, out: TextIO | None = None, environment: Mapping[str, str] = os.environ
    ) -> None:
        self._out = out or sys.stdout
        self._environment = environment

    def check(
        self,
        settings: str = "",
        routes: str = "",
        pools: str = "",
        platform_settings: str = "",
        json: bool = False,
    ) -> None:
        """Check settings and tables in files, without a router.

        Exit code 0: valid. 2: invalid; all problems are listed.

        Args:
            settings: TOML settings of a router.
            routes: files of the routes table, separated by commas; needs --pools.
            pools: files of the pools table, separated by commas; needs --routes.
            platform_settings: TOML settings that the users' platform wrote.
            json: print JSON.

        """
        if not (settings or routes or pools or platform_settings):
            raise UsageError(
                "Nothing to check is named.",
                hint="Name --settings FILE, or --routes FILES and --pools FILES.",
            )
        loaded = load_settings(settings) if settings else None
        if platform_settings:
            load_platform_settings(Path(platform_settings), metrics_port=0)
        tables = read_tables(routes, pools) if routes or pools else None
        warnings = _cross_check_warnings(loaded, tables)
        counts = _count_rows(tables) if tables else {}
        if json:
            self._print_json({"valid": True, "counts": counts, "warnings": warnings})
            return
        self._print(f"warning: {warning}" for warning in warnings)
        self._print(["settings are valid"] if loaded or platform_settings else [])
        parts = ", ".join(f"{count} {kind}" for kind, count in counts.items())
        self._print([f"tables are valid: {parts}"] if tables else [])

    def status(
        self,
        admin: str = "",
        token_file: str = "",
        settings: str = "",
        json: bool = False,
    ) -> None:
        """Show a router's state: members, schedulers, servers and their warmth.

        Exit code 0: answered. 3: no answer, or an error response.

        Args:
            admin: URL of the router's admin port.
            token_file: file with the admin token.
            settings: the router's settings, in place of --admin and --token_file.
            json: print JSON.

        """
        client = self._client(admin, token_file, settings)
        document = _unwrap(client.get("/status"))
        self._show(document, status_lines(document), json)

    def beliefs(self, routers: str, json: bool = False) -> None:
        """Compare the fleet state that serving routers report and show differences.

        Exit code 0: they agree. 1: they differ. 3: a router did not answer.

        Args:
            routers: control addresses, HOST:PORT, separated by commas.
            json: print JSON.

        """
        answers = fetch_statuses(filter(None, routers.split(",")))
        self._show({"routers": answers}, fleet_status_lines(answers), json)
        if any("error" in row for row in answers.values()):
            raise SystemExit(EXIT_ROUTER_ERROR)
        if differing_fields(answers):
            raise SystemExit(EXIT_DIFFERS)

    def explain(
        self,
        route: str,
        workspace: str = "",
        admin: str = "",
        token_file: str = "",
        settings: str = "",
        json: bool = False,
    ) -> None:
        """Show where a call of a route would be routed now, and why.

        Exit code 0: it would be routed. 1: it would be refused. 3: no answer, or an
        error response, such as for a route that is not in the tables.

        Args:
            route: name of the route.
            workspace: name of the workspace that calls.
            admin: URL of the router's admin port.
            token_file: file with the admin token.
            settings: the router's settings, in place of --admin and --token_file.
            json: print JSON.

        """
        client = self._client(admin, token_file, settings)
        query = {"route": route, "workspace": workspace}
        document = _unwrap(client.get("/explain", query))
        routed = document.get("chosen_shard") and document.get("allowed", True)
        self._show(document, explain_lines(document), json)
        if not routed:
            raise SystemExit(EXIT_DIFFERS)

    def audit(
        self,
        after: int | str = 0,
        follow: bool | str = True,
        admin: str = "",
        token_file: str = "",
        settings: str = "",
        json: bool = False,
    ) -> None:
        """Show changes of tables, members, roles, warmth and states as they happen.

        Exit code 0: ended by Ctrl-C or --follow=false. 3: no answer, or an error
        response. With --json each record is one line.

        Args:
            after: sequence number after which records are shown.
            follow: wait for new records; --follow=false ends after the stored ones.
            admin: URL of the router's admin port.
            token_file: file with the admin token.
            settings: the router's settings, in place of --admin and --token_file.
            json: print JSON.

        """
        last, keep_following = _parse_whole_number(after), _parse_bool(follow)
        client = self._client(admin, token_file, settings)
        wait_s = 0
        while True:
            query = {"after": str(last), "wait_s": str(wait_s)}
            answer = _unwrap(client.get("/audit", query, wait_s))
            for record in answer.get("records", []):
                last = max(last, int(record.get("sequence", 0)))
                if json:
                    self._print_json(record)
                else:
                    self._print([audit_line(record)])
            if not keep_following:
                return
            wait_s = FOLLOW_WAIT_S

    def diff(
        self,
        routes: str,
        pools: str,
        against_routes: str = "",
        against_pools: str = "",
        admin: str = "",
        token_file: str = "",
        settings: str = "",
        json: bool = False,
    ) -> None:
        """Compare new tables in files with those of a router or of other files.

        Exit code 0: no change. 1: changes. 2: invalid files. 3: no answer, or an error
        response. A router returns the number of keys, not the keys.

        Args:
            routes: files of the new routes table, separated by commas.
            pools: files of the new pools table, separated by commas.
            against_routes: files of the routes table to compare with.
            against_pools: files of the pools table to compare with.
            admin: URL of the admin port of a router to compare with.
            token_file: file with the admin token.
            settings: the router's settings, in place of --admin and --token_file.
            json: print JSON.

        """
        new = read_tables(routes, pools)
        if against_routes or against_pools:
            old = read_tables(against_routes, against_pools)
        else:
            client = self._client(admin, token_file, settings)
            old = parse_router_tables(_unwrap(client.get("/tables")))
            new = with_key_counts(new)
        changes = diff_tables(old, new)
        leaving = servers_leaving(old, new)
        document = {
            "changes": [asdict(change) for change in changes],
            "servers_leaving": leaving,
        }
        self._show(document, _diff_lines(changes, leaving), json)
        if changes:
            raise SystemExit(EXIT_DIFFERS)

    def drain(
        self,
        admin: str = "",
        token_file: str = "",
        settings: str = "",
        json: bool = False,
    ) -> None:
        """Start a router's graceful shutdown: no new calls, running ones finish.

        Exit code 0: started. 3: no answer, or an error response.

        Args:
            admin: URL of the router's admin port.
            token_file: file with the admin token.
            settings: the router's settings, in place of --admin and --token_file.
            json: print JSON.

        """
        client = self._client(admin, token_file, settings)
        document = _unwrap(client.post("/drain"))
        text = "graceful shutdown begun; the process ends when its last call has ended"
        self._show(document, [text], json)

    def _client(self, admin: str, token_file: str, settings: str) -> AdminClient:
        loaded = load_settings(settings) if settings else None
        url = admin or self._environment.get(ADMIN_VARIABLE, "")
        if not url and loaded is not None:
            url = _admin_url(loaded)
        token = self._environment.get(TOKEN_VARIABLE, "")
        if token_file:
            token = _read_token(token_file)
        elif loaded is not None:
            token = loaded.admin.token
        if not url or not token:
            raise UsageError(
                "No router is named." if not url else "No admin token is named.",
                hint="Use --settings FILE, or --admin http://127.0.0.1:PORT and "
                f"--token_file FILE, or set {ADMIN_VARIABLE} and {TOKEN_VARIABLE}.",
            )
        return AdminClient(url, token, loaded.tls.authority if loaded else "")

    def _show(self, document: Any, lines: Iterable[str], json: bool) -> None:
        if json:
            self._print_json(document)
        else:
            self._print(lines)

    def _print(self, lines: Iterable[str]) -> None:
        for line in lines:
            print(line, file=self._out, flush=True)

    def _print_json(self, document: Any) -> None:
        self._print([json_module.dumps(document)])


def _unwrap(result: Result[Any, RouterError]) -> Any:
    if isinstance(result, Err):
        raise result.err_value
    return result.ok_value


def _admin_url(settings: Settings) -> str:
    listen = settings.listen
    if not listen.admin_port:
        raise UsageError(
            "The settings have admin_port 0, so the port is not known in advance.",
            hint="Use --admin http://127.0.0.1:PORT; the router logs its port.",
        )
    host = f"[{listen.admin_host}]" if ":" in listen.admin_host else listen.admin_host
    scheme = "https" if settings.admin_uses_tls else "http"
    return f"{scheme}://{host}:{listen.admin_port}"


def _read_token(path: str) -> str:
    try:
        with open(path) as file:
            return file.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"The token file {path} can't be read: {error}.") from error


def _count_rows(tables: Tables) -> dict[str, int]:
    return {
        "workspaces": len(tables.workspaces),
        "routes": len(tables.routes),
        "data centres": len(tables.data_centres),
        "pools": len(tables.pools),
        "backend servers": sum(len(pool.servers) for pool in tables.pools.values()),
    }


def _cross_check_warnings(
    settings: Settings | None, tables: Tables | None
) -> list[str]:
    """Return conflicts between settings and tables that are each valid on their own."""
    if settings is None or tables is None:
        return []
    warnings = []
    centre = settings.router.data_centre
    if centre not in tables.data_centres:
        warnings.append(f"router.data_centre: the pools table has no {centre!r}")
    longest = max((route.timeout_s for route in tables.routes.values()), default=0.0)
    if settings.limits.drain_timeout_s < longest:
        warnings.append(
            f"limits.drain_timeout_s: a route may take {longest:g} s, so that a "
            "graceful shutdown could cut it off"
        )
    return warnings


def _diff_lines(
    changes: Iterable[TableChange], leaving: Mapping[str, int]
) -> Iterable[str]:
    lines = [str(change) for change in changes]
    for centre, count in sorted(leaving.items()):
        lines.append(f"{count} backend servers in {centre} would take no more work")
    return lines or ["nothing would change"]
