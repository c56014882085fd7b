"""Lookups that every request makes: workspace by key, route by call."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable

from fulmarroad._tables import Route, Tables, Workspace

_PREFIX_BYTES = 8
"""Bytes of a key's hash that pick a bucket; 16,000 keys make a clash unlikely."""


_PathRoutes = dict[tuple[str, str], list[Route]]
"""Routes of one path by model and workspace, so that a path which many workspaces share
by routes of their own costs each call no more than one that has a single route."""


class RouteIndex:
    """Answer the lookups of one version of the tables."""

    def __init__(self, tables: Tables) -> None:
        self._keys = _index_keys(tables.workspaces.values())
        self._exact: dict[str, _PathRoutes] = {}
        self._prefixes: dict[str, _PathRoutes] = {}
        for route in sorted(tables.routes.values(), key=_rank):
            self._add(route)
        # Only lengths in use are tried, so a path of many slashes costs no more.
        self._lengths = sorted({len(path) for path in self._prefixes}, reverse=True)

    def workspace_for_key(self, bearer: str) -> Workspace | None:
        """Return the workspace of a caller's key.

        The bucket is found by a part of the key's SHA-256, which tells a caller who
        measures times nothing about another key; the rest is compared in constant
        time.
        """
        digest = hashlib.sha256(bearer.encode("utf-8", "surrogatepass"))
        bucket = int.from_bytes(digest.digest()[:_PREFIX_BYTES])
        presented = digest.hexdigest()
        found: Workspace | None = None
        for known, workspace in self._keys.get(bucket, ()):
            if hmac.compare_digest(known, presented):
                found = workspace
        return found

    def route_for(
        self, method: str, path: str, model: str, workspace: str
    ) -> Route | None:
        """Return the route of a call, the most specific one first.

        An exact path goes before the longest prefix; for one path, a route for this
        model goes before a general one, then one for named workspaces, then one for
        named methods.
        """
        found = _pick(self._exact.get(path), method, model, workspace)
        if found is not None:
            return found
        for length in self._lengths:
            found = _pick(self._prefixed(path, length), method, model, workspace)
            if found is not None:
                return found
        return None

    def _prefixed(self, path: str, length: int) -> _PathRoutes | None:
        whole_segment = len(path) == length or path[length : length + 1] == "/"
        if len(path) < length or not whole_segment:
            return None
        return self._prefixes.get(path[:length])

    def _add(self, route: Route) -> None:
        if route.path_prefix:
            routes = self._prefixes.setdefault(route.path.rstrip("/"), {})
        else:
            routes = self._exact.setdefault(route.path, {})
        for workspace in route.workspaces or ("",):
            routes.setdefault((route.model, workspace), []).append(route)


def _index_keys(
    workspaces: Iterable[Workspace],
) -> dict[int, tuple[tuple[str, Workspace], ...]]:
    keys: dict[int, tuple[tuple[str, Workspace], ...]] = {}
    for workspace in workspaces:
        for key in workspace.key_sha256:
            bucket = int(key[: 2 * _PREFIX_BYTES], 16)
            keys[bucket] = (*keys.get(bucket, ()), (key, workspace))
    return keys


def _rank(route: Route) -> tuple[bool, str]:
    return (not route.methods, route.name)


def _pick(
    routes: _PathRoutes | None, method: str, model: str, workspace: str
) -> Route | None:
    if routes is None:
        return None
    for key in ((model, workspace), (model, ""), ("", workspace), ("", "")):
        for route in routes.get(key, ()):
            if not route.methods or method in route.methods:
                return route
    return None
