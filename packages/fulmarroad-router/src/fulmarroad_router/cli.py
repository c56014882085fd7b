"""The binary `fulmarroad-router`."""

from __future__ import annotations


def main() -> None:
    """Run a router until it is told to shut down."""
    raise SystemExit("fulmarroad-router does not serve yet.")
