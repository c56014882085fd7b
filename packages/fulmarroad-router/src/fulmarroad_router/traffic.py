"""Accounting of membership packets as control traffic."""

from __future__ import annotations

from fulmarroad.metrics import Metrics
from fulmarroad.transport import TrafficCount

UDP_OVERHEAD_BYTES = 28
"""Bytes of the IPv4 and UDP headers of one packet."""


class TrafficCountingMetrics:
    """Forward metrics and add the bytes of membership packets to control traffic."""

    def __init__(self, metrics: Metrics, traffic: TrafficCount) -> None:
        self._metrics = metrics
        self._traffic = traffic

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        if name == "membership.sent_bytes":
            self._traffic.sent += count + UDP_OVERHEAD_BYTES
        elif name == "membership.received_bytes":
            self._traffic.received += count + UDP_OVERHEAD_BYTES
        self._metrics.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._metrics.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        self._metrics.timing(name, seconds)
