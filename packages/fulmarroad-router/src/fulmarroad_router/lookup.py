"""The tables in force with the index over them."""

from __future__ import annotations

from attrs import frozen

from fulmarroad.tables import Route, RouteIndex, Tables, Workspace


@frozen
class Lookup:
    """Hold the tables in force with the index over them."""

    tables: Tables
    index: RouteIndex

    def workspace_for_key(self, bearer: str) -> Workspace | None:
        """Return the workspace that a key belongs to."""
        return self.index.workspace_for_key(bearer)

    def route_for(
        self, method: str, path: str, model: str, workspace: str
    ) -> Route | None:
        """Return the route of a call."""
        return self.index.route_for(method, path, model, workspace)
