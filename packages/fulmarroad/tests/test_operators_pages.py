"""The operators' pages must describe each alarm and each field of the tables."""

from __future__ import annotations

import logging
import re
from pathlib import Path

from attrs import NOTHING, fields

from fulmarroad.events import Event
from fulmarroad.tables import BackendServer, DataCentre, Pool, Route, Workspace

DOCS = Path(__file__).parents[3] / "docs"
ROWS = {
    "workspace": Workspace,
    "route": Route,
    "data_centre": DataCentre,
    "pool": Pool,
    "server": BackendServer,
}


def documented_defaults():
    """Return the default of each field as the page states it."""
    page = (DOCS / "TABLES.md").read_text()
    pattern = r"^\| `(\w+)\.(\w+)` \| [^|]* \| ([^|]*) \|"
    found = re.findall(pattern, page, re.MULTILINE)
    return {(kind, name): default for kind, name, default in found}


class TestAlarms:
    def test_page_lists_each_event_above_info(self):
        page = (DOCS / "OPERATING.md").read_text()
        rows = re.findall(r"^\| (\d+) ([A-Z_]+) \|", page, re.MULTILINE)
        alarms = [
            (str(event.value.number), event.name)
            for event in Event
            if event.value.level >= logging.WARNING
        ]
        assert rows == sorted(alarms)


class TestTablesPage:
    def test_lists_every_field(self):
        expected = {
            (kind, attribute.name)
            for kind, cls in ROWS.items()
            for attribute in fields(cls)
            if attribute.name != "servers"
        }
        assert set(documented_defaults()) == expected

    def test_states_the_actual_defaults(self):
        for (kind, name), documented in documented_defaults().items():
            default = getattr(fields(ROWS[kind]), name).default
            if default is NOTHING:
                assert documented == "required"
            elif isinstance(default, bool):
                assert documented == str(default).lower()
            elif isinstance(default, (int, float)):
                assert float(documented) == default
