"""The current tables together with their index."""

from __future__ import annotations

from attrs import frozen

from fulmarroad.tables import Route, RouteIndex, Tables, Workspace


@frozen
class Lookup:
    """Hold the current tables and their index."""

    tables: Tables
    index: RouteIndex

    def workspace_for_key(self, bearer: str) -> Workspace | None:
        """Return the workspace of an API key, or `None` if the key is unknown."""
        return self.index.workspace_for_key(bearer)

    def route_for(
        self, method: str, path: str, model: str, workspace: str
    ) -> Route | None:
        """Return the route that matches a call, or `None`."""
        return self.index.route_for(method, path, model, workspace)
