"""Pytest plugin that tolerates failures of the tests listed in `KNOWN-RED.txt`.

    test: packages/fulmarroad/tests/test_x.py::TestX::test_y
    command: make test ARGS=packages/fulmarroad/tests/test_x.py (seed 7)
    seen: what fails, in a sentence
    issue: title of the open issue

An empty line ends an entry; lines that begin with `#` are ignored. A listed test that
fails is printed and does not fail the run. A listed test that passes, is skipped or is
not found fails the run, so that its entry is removed together with the fault.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from attrs import define, field, fields, frozen

FILE_NAME = "KNOWN-RED.txt"


class KnownRedError(Exception):
    """Report an invalid entry of the list."""


@frozen
class Entry:
    """Describe a test that fails because of a known fault."""

    test: str
    command: str
    seen: str
    issue: str


def read_entries(text: str) -> tuple[Entry, ...]:
    """Return the entries of a list; raise `KnownRedError` for an invalid one."""
    entries: list[Entry] = []
    for block in _split_blocks(text):
        entry = _parse_entry(block)
        if any(row.test == entry.test for row in entries):
            raise KnownRedError(f"{entry.test} is listed twice; keep one entry.")
        entries.append(entry)
    return tuple(entries)


def _split_blocks(text: str) -> Iterator[list[str]]:
    block: list[str] = []
    for line in [*text.splitlines(), ""]:
        if line.startswith("#"):
            continue
        if line.strip():
            block.append(line)
        elif block:
            yield block
            block = []


def _parse_entry(block: list[str]) -> Entry:
    names = [row.name for row in fields(Entry)]
    values: dict[str, str] = {}
    for line in block:
        name, _, value = line.partition(":")
        if name not in names or name in values or not value.strip():
            raise KnownRedError(
                f"Write each of {names} once; this line is invalid: {line}"
            )
        values[name] = value.strip()
    if len(values) < len(names):
        raise KnownRedError(
            f"Write each of {names} in the entry that begins with: {block[0]}"
        )
    return Entry(**values)


@define
class KnownRed:
    """Adjust the outcomes of the listed tests in one run."""

    entries: tuple[Entry, ...]
    _failed: list[Entry] = field(factory=list)

    def missing(self, tests: set[str], *, whole_suite: bool) -> list[str]:
        """Return the listed tests that were not collected but should have been.

        Unless the whole suite runs, only tests of collected files are expected.
        """
        files = {test.partition("::")[0] for test in tests}
        return [
            entry.test
            for entry in self.entries
            if entry.test not in tests
            and (whole_suite or entry.test.partition("::")[0] in files)
        ]

    def adjust_outcome(self, report: pytest.TestReport) -> None:
        """Turn a listed test's failure into a skip, and a pass or skip into a failure.

        A failure in set-up or teardown stays a failure.
        """
        entry = next((row for row in self.entries if row.test == report.nodeid), None)
        if entry is None or report.when != "call" and not report.skipped:
            return
        if report.failed:
            self._failed.append(entry)
            report.outcome = "skipped"
            report.wasxfail = f"{FILE_NAME}: {entry.issue}"
            return
        actual = "passes" if report.passed else "was skipped"
        report.outcome = "failed"
        report.longrepr = (
            f"{entry.test} {actual}, but {FILE_NAME} lists it. Remove its entry, "
            "or state there what fails now."
        )
        # With `wasxfail` pytest would report an expected failure instead.
        vars(report).pop("wasxfail", None)

    def summary_lines(self) -> list[str]:
        """Return the summary lines of the listed tests that failed."""
        return [
            line
            for entry in self._failed
            for line in (
                f"{entry.test}: {entry.seen}",
                f"    {entry.command} [{entry.issue}]",
            )
        ]


class KnownRedPlugin:
    """Apply the list to a pytest run."""

    def __init__(self, known: KnownRed) -> None:
        self._known = known

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        """Abort the run if a listed test does not exist."""
        if any("::" in argument for argument in config.args):
            return
        whole_suite = config.args == list(config.getini("testpaths"))
        missing = self._known.missing(
            {item.nodeid for item in items}, whole_suite=whole_suite
        )
        if missing:
            raise pytest.UsageError(
                f"{FILE_NAME} lists tests that don't exist: {', '.join(missing)}"
            )

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(self) -> Iterator[None]:
        """Adjust the report of a listed test."""
        report: Any = yield
        self._known.adjust_outcome(report)
        return report

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        """Print the listed tests that failed."""
        summary_lines = self._known.summary_lines()
        if summary_lines:
            terminalreporter.section("known to fail")
        for line in summary_lines:
            terminalreporter.write_line(line)


def pytest_configure(config: pytest.Config) -> None:
    """Read the list at the project's root and register the plugin."""
    path = Path(config.rootpath) / FILE_NAME
    text = path.read_text() if path.exists() else ""
    try:
        known = KnownRed(read_entries(text))
    except KnownRedError as error:
        raise pytest.UsageError(f"{FILE_NAME}: {error}") from error
    config.pluginmanager.register(KnownRedPlugin(known), "known_red_judge")
