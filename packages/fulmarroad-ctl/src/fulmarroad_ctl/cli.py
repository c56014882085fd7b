"""The binary `fulmarroadctl`."""

from __future__ import annotations


def main() -> None:
    """Run one operator command."""
    raise SystemExit("fulmarroadctl has no commands yet.")
