"""Metrics sent to statsd; docs/METRICS.md lists each with its unit and meaning."""

from __future__ import annotations

from typing import Protocol

from statsd import StatsClient


class Metrics(Protocol):
    """Record counters, gauges and timings."""

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set the value of a gauge."""

    def timing(self, name: str, seconds: float) -> None:
        """Record one duration in seconds."""


class NoMetrics:
    """Discard all metrics, for embedding and tests."""

    def incr(self, name: str, count: int = 1) -> None:
        """Discard a count."""

    def gauge(self, name: str, value: float) -> None:
        """Discard a gauge value."""

    def timing(self, name: str, seconds: float) -> None:
        """Discard a duration."""


class StatsdMetrics:
    """Send metrics over UDP; an unreachable collector does not affect callers."""

    def __init__(self, host: str, port: int, prefix: str = "fulmarroad") -> None:
        self._client = StatsClient(host, port, prefix=prefix)

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set the value of a gauge."""
        self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Record one duration in seconds; statsd receives milliseconds."""
        self._client.timing(name, seconds * 1000)
