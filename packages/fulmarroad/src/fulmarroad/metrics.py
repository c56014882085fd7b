"""Metrics by statsd; docs/METRICS.md lists each with its unit and meaning."""

from __future__ import annotations

from typing import Protocol

from statsd import StatsClient


class Metrics(Protocol):
    """Take counts, readings and times."""

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a reading."""

    def timing(self, name: str, seconds: float) -> None:
        """Add one duration."""


class NoMetrics:
    """Drop everything: for embedding and tests."""

    def incr(self, name: str, count: int = 1) -> None:
        """Drop a count."""

    def gauge(self, name: str, value: float) -> None:
        """Drop a reading."""

    def timing(self, name: str, seconds: float) -> None:
        """Drop a duration."""


class StatsdMetrics:
    """Send metrics by UDP; a collector that is away costs nothing."""

    def __init__(self, host: str, port: int, prefix: str = "fulmarroad") -> None:
        self._client = StatsClient(host, port, prefix=prefix)

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set a reading."""
        self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Add one duration; statsd takes milliseconds."""
        self._client.timing(name, seconds * 1000)
