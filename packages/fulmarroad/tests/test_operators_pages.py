"""The operators' pages: each alarm and each field of the tables is on them."""

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


def field_rows():
    """Return the default that the page gives for each field."""
    page = (DOCS / "TABLES.md").read_text()
    pattern = r"^\| `(\w+)\.(\w+)` \| [^|]* \| ([^|]*) \|"
    found = re.findall(pattern, page, re.MULTILINE)
    return {(kind, name): default for kind, name, default in found}


class TestAlarms:
    def test_page_tells_what_to_do_for_each_event_above_info(self):
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
        assert set(field_rows()) == expected

    def test_gives_the_defaults_in_force(self):
        for (kind, name), shown in field_rows().items():
            default = getattr(fields(ROWS[kind]), name).default
            if default is NOTHING:
                assert shown == "required"
            elif isinstance(default, bool):
                assert shown == str(default).lower()
            elif isinstance(default, (int, float)):
                assert float(shown) == default
