"""Hold the configuration of services and the optional features in force for them."""

from __future__ import annotations

from attrs import define, field

from fulmarroad_serving._catalog import Catalog, Service, ServiceName
from fulmarroad_serving._features import FeatureBook, Features
from fulmarroad_serving._registry import Registry


@define
class ServiceSettings:
    """Tell what the configuration says about services, also about unknown ones."""

    _registry: Registry
    _features: FeatureBook
    catalog: Catalog = field(factory=lambda: Catalog(0))

    def service(self, name: ServiceName) -> Service:
        """Return a service, as a plain one if the configuration lacks it."""
        return self.catalog.services.get(name) or Service(name)

    def has_engines(self, service: ServiceName) -> bool:
        """Return whether the servers of a service are engines."""
        return self.service(service).engine is not None

    def features(self, service: ServiceName) -> Features:
        """Return the optional features in force for a service."""
        engines = len(self._registry.usable(service))
        return self._features.features(self.catalog, service, engines)

    def queues_calls(self, service: ServiceName) -> bool:
        """Return whether calls of a service wait in the queue of an owner."""
        return self.has_engines(service) and self.features(service).admission_queue

    def learns_speeds(self, service: ServiceName) -> bool:
        """Return whether the speed of a service's engines is modelled."""
        return self.has_engines(service) and self.features(service).engine_speeds

    def services_with_speeds(self) -> list[ServiceName]:
        """Return the services whose engines' speeds are modelled."""
        return [name for name in self.catalog.services if self.learns_speeds(name)]

    def may_spill(self, service: ServiceName) -> bool:
        """Return whether calls of a service may be sent on to a second owner.

        Only engines have a room, so it is never so for a plain service.
        """
        return self.has_engines(service) and self.features(service).spillover

    def spilling_services(self) -> list[ServiceName]:
        """Return the services whose calls may be sent on to a second owner."""
        return [name for name in self.catalog.services if self.may_spill(name)]
