"""Keep this router's share of the retry budget of each service."""

from __future__ import annotations

from attrs import define, field

from fulmarroad_serving._budgets import RetryShare
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._demands import FleetBounds


@define
class RetryBook:
    """Keep a share of the retry budget for each service."""

    _bounds: FleetBounds
    _shares: dict[ServiceName, RetryShare] = field(factory=dict)

    def of(self, service: ServiceName) -> RetryShare:
        """Return the share of a service's budget."""
        share = self._shares.get(service)
        if share is None:
            bounds = self._bounds
            share = self._shares[service] = RetryShare(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_burst
            )
        return share
