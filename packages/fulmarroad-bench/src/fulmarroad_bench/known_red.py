"""Let the tests that `KNOWN-RED.txt` lists fail, and no others: a plugin of pytest.

    test: packages/fulmarroad/tests/test_x.py::TestX::test_y
    command: make test ARGS=packages/fulmarroad/tests/test_x.py (seed 7)
    seen: what fails, in a sentence
    issue: title of the open issue

An empty line ends an entry; lines that begin with `#` are left out. A listed test that
fails is printed and does not turn the run red. One that passes, is skipped or is not
found does, so that an entry goes with the mend and none is forgotten.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from attrs import define, field, fields, frozen

FILE_NAME = "KNOWN-RED.txt"


class KnownRedError(Exception):
    """Say what is wrong with the list, and where."""


@frozen
class Entry:
    """Name a test that fails for a known fault."""

    test: str
    command: str
    seen: str
    issue: str


def read_entries(text: str) -> tuple[Entry, ...]:
    """Return the entries of a list; raise `KnownRedError` for one that is not whole."""
    entries: list[Entry] = []
    for block in _blocks(text):
        entry = _entry(block)
        if any(row.test == entry.test for row in entries):
            raise KnownRedError(f"{entry.test} is listed twice; keep one entry.")
        entries.append(entry)
    return tuple(entries)


def _blocks(text: str) -> Iterator[list[str]]:
    block: list[str] = []
    for line in [*text.splitlines(), ""]:
        if line.startswith("#"):
            continue
        if line.strip():
            block.append(line)
        elif block:
            yield block
            block = []


def _entry(block: list[str]) -> Entry:
    names = [row.name for row in fields(Entry)]
    values: dict[str, str] = {}
    for line in block:
        name, _, value = line.partition(":")
        if name not in names or name in values or not value.strip():
            raise KnownRedError(f"Write each of {names} once; this line is off: {line}")
        values[name] = value.strip()
    if len(values) < len(names):
        raise KnownRedError(f"Write each of {names} for {block[0]}")
    return Entry(**values)


@define
class KnownRed:
    """Judge the listed tests of one run."""

    entries: tuple[Entry, ...]
    _red: list[Entry] = field(factory=list)

    def missing(self, tests: set[str], *, whole: bool) -> list[str]:
        """Return the listed tests that a collection should hold and lacks.

        In a run of a part, only files that were collected can lack a test.
        """
        files = {test.partition("::")[0] for test in tests}
        return [
            entry.test
            for entry in self.entries
            if entry.test not in tests
            and (whole or entry.test.partition("::")[0] in files)
        ]

    def judge(self, report: pytest.TestReport) -> None:
        """Turn the outcome of a listed test round."""
        entry = next((row for row in self.entries if row.test == report.nodeid), None)
        if entry is None or report.when != "call" and not report.skipped:
            return
        if report.failed:
            self._red.append(entry)
            report.outcome = "skipped"
            report.wasxfail = f"{FILE_NAME}: {entry.issue}"
            return
        what = "passes" if report.passed else "was skipped"
        report.outcome = "failed"
        report.longrepr = (
            f"{entry.test} {what}, but {FILE_NAME} lists it. Take its entry out, "
            "or say there what fails now."
        )
        # An expected failure or a skip that pytest knows of would hide the outcome.
        vars(report).pop("wasxfail", None)

    def lines(self) -> list[str]:
        """Return what is to be printed of this run."""
        return [
            line
            for entry in self._red
            for line in (
                f"{entry.test}: {entry.seen}",
                f"    {entry.command} [{entry.issue}]",
            )
        ]


class KnownRedPlugin:
    """Tell pytest what the list says."""

    def __init__(self, known: KnownRed) -> None:
        self._known = known

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        """End the run if a listed test does not exist."""
        if any("::" in argument for argument in config.args):
            return
        whole = config.args == list(config.getini("testpaths"))
        missing = self._known.missing({item.nodeid for item in items}, whole=whole)
        if missing:
            raise pytest.UsageError(
                f"{FILE_NAME} lists tests that don't exist: {', '.join(missing)}"
            )

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(self) -> Iterator[None]:
        """Judge the report of a listed test."""
        report: Any = yield
        self._known.judge(report)
        return report

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        """Print the listed tests that failed."""
        lines = self._known.lines()
        if lines:
            terminalreporter.section("known to fail")
        for line in lines:
            terminalreporter.write_line(line)


def pytest_configure(config: pytest.Config) -> None:
    """Read the list at the root of the project."""
    path = Path(config.rootpath) / FILE_NAME
    text = path.read_text() if path.exists() else ""
    try:
        known = KnownRed(read_entries(text))
    except KnownRedError as error:
        raise pytest.UsageError(f"{FILE_NAME}: {error}") from error
    config.pluginmanager.register(KnownRedPlugin(known), "known_red_judge")
