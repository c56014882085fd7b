"""Lookups made for every request: the workspace of a key, the route of a call."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable

from fulmarroad._tables import Route, Tables, Workspace

_BUCKET_BYTES = 8
"""Bytes of a key's hash that select a bucket. A collision is unlikely with 16,000
keys."""


_PathRoutes = dict[tuple[str, str], list[Route]]
"""Routes of one path by model and workspace. A path with a separate route for each of
many workspaces thus costs no more per call than a path with a single route."""


class RouteIndex:
    """Index one version of the tables for lookups."""

    def __init__(self, tables: Tables) -> None:
        self._keys = _index_keys(tables.workspaces.values())
        self._exact: dict[str, _PathRoutes] = {}
        self._prefixes: dict[str, _PathRoutes] = {}
        for route in sorted(tables.routes.values(), key=_sort_key):
            self._add(route)
        # Only lengths in use are tried, so a path with many slashes costs no more.
        self._prefix_lengths = sorted(
            {len(path) for path in self._prefixes}, reverse=True
        )

    def workspace_for_key(self, bearer: str) -> Workspace | None:
        """Return the workspace of a caller's key, or None if the key is unknown.

        A part of the key's SHA-256 selects the bucket, so response times reveal nothing
        about other keys. The whole hash is compared in constant time.
        """
        digest = hashlib.sha256(bearer.encode("utf-8", "surrogatepass"))
        bucket = int.from_bytes(digest.digest()[:_BUCKET_BYTES])
        presented = digest.hexdigest()
        found: Workspace | None = None
        for known, workspace in self._keys.get(bucket, ()):
            if hmac.compare_digest(known, presented):
                found = workspace
        return found

    def route_for(
        self, method: str, path: str, model: str, workspace: str
    ) -> Route | None:
        """Return the most specific route of a call, or None if no route matches.

        An exact path is preferred to a prefix, and a longer prefix to a shorter one.
        For the same path, a route for this model is preferred to one for every model,
        then one for this workspace, then one with a list of methods.
        """
        found = _first_match(self._exact.get(path), method, model, workspace)
        if found is not None:
            return found
        for length in self._prefix_lengths:
            found = _first_match(
                self._routes_under(path, length), method, model, workspace
            )
            if found is not None:
                return found
        return None

    def _routes_under(self, path: str, length: int) -> _PathRoutes | None:
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
            bucket = int(key[: 2 * _BUCKET_BYTES], 16)
            keys[bucket] = (*keys.get(bucket, ()), (key, workspace))
    return keys


def _sort_key(route: Route) -> tuple[bool, str]:
    return (not route.methods, route.name)


def _first_match(
    routes: _PathRoutes | None, method: str, model: str, workspace: str
) -> Route | None:
    if routes is None:
        return None
    for key in ((model, workspace), (model, ""), ("", workspace), ("", "")):
        for route in routes.get(key, ()):
            if not route.methods or method in route.methods:
                return route
    return None
