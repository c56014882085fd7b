"""Report the gaps of servers' answers to the owners of the servers."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from fulmarroad.types import RouterName
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._owners import OwnerTable
from fulmarroad_serving.engines._pace_messages import PaceReport, pack_pace


@define
class PaceReporter:
    """Report servers whose answers pause here."""

    _me: RouterName
    _incarnation: int
    _dispatcher: Dispatcher
    _owners: OwnerTable
    _left_out: Callable[[], frozenset[RouterName]]
    """Return the routers that are not asked now."""
    _number: int = 0

    def pop_packets(self, now: float) -> list[tuple[RouterName, bytes]]:
        """Return the packets for owners; apply reports on own servers at once."""
        packets = []
        for server, finding in self._dispatcher.speeds.pace.scan(now):
            row = self._dispatcher.registry.get(server)
            if row is None:
                continue
            table = self._owners.owners(row.instance.service, self._left_out())
            owner = table.by_server.get(server)
            self._number += 1
            report = PaceReport(
                self._me,
                self._incarnation,
                self._number,
                server,
                row.instance.started_ms,
                finding.factor,
                finding.answers,
            )
            if owner == self._me:
                self._dispatcher.speeds.receive_pace(report, now)
            elif owner is not None:
                packets.append((owner, pack_pace(report)))
        return packets
