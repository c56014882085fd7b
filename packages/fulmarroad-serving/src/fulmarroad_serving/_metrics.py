"""Prometheus metrics of a router, served as text on the metrics port."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from fulmarroad.delivery import CloseMode
from fulmarroad_serving._queueing import QueuedRequests
from fulmarroad_serving.engines._book import SlowChange
from fulmarroad_serving.engines._slow_down import FIRST_TOKENS, OVERDUE

ESTIMATE_ERROR_BUCKETS = (-0.4, -0.2, -0.1, -0.05, 0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6)
"""Bucket bounds in seconds for estimate errors; above zero the answer came later."""

LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)


class Metrics:
    """Hold the metrics of one router."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.calls = Counter(
            "fulmarroad_calls",
            "Calls that ended, by route kind and outcome",
            ["kind", "outcome"],
            registry=self._registry,
        )
        self.first_answer = Histogram(
            "fulmarroad_first_answer_seconds",
            "Time from a call's arrival to the first part of its answer",
            ["kind"],
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self.estimate_error = Histogram(
            "fulmarroad_first_estimate_error_seconds",
            "Time from sending to the first part, beyond what was estimated",
            ["kind"],
            buckets=ESTIMATE_ERROR_BUCKETS,
            registry=self._registry,
        )
        self.whole_answer = Histogram(
            "fulmarroad_whole_answer_seconds",
            "Time from a call's arrival to the end of its answer",
            ["kind"],
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self.taken_up = Counter(
            "fulmarroad_streams_taken_up",
            "Streams that callers took up, by why they could not go on",
            ["refusal"],
            registry=self._registry,
        )
        self.spilled = Counter(
            "fulmarroad_calls_spilled",
            "Calls sent on to a second owner of servers, by its decision",
            ["outcome"],
            registry=self._registry,
        )
        self.unanswered = Counter(
            "fulmarroad_unanswered_requests",
            "Calls whose last request to a server has no answer, by its delivery",
            ["delivery"],
            registry=self._registry,
        )
        self.queue_decisions = Counter(
            "fulmarroad_admission_queue_decisions",
            "Calls decided on as the owner of servers, by decision",
            ["decision"],
            registry=self._registry,
        )
        self.queue_waiting = Gauge(
            "fulmarroad_admission_queue_waiting",
            "Calls that wait for a place in this router's queue",
            registry=self._registry,
        )
        self.closed = Counter(
            "fulmarroad_server_connections_closed",
            "Connections to servers that ended, by how",
            ["how"],
            registry=self._registry,
        )
        self.retries = Counter(
            "fulmarroad_scheduled_retries",
            "Returns of refused calls that this owner scheduled, by what became of it",
            ["outcome"],
            registry=self._registry,
        )
        self.engines_slow = Counter(
            "fulmarroad_engines_slow",
            "Slow-downs of engines that this router owns, by what showed them",
            ["source"],
            registry=self._registry,
        )
        self.engines_recovered = Counter(
            "fulmarroad_engines_recovered",
            "Slow-downs that ended, by what had shown them",
            ["source"],
            registry=self._registry,
        )
        self.stream_records = Gauge(
            "fulmarroad_stream_records",
            "Streams of which this router remembers where they began",
            registry=self._registry,
        )
        self.in_flight = Gauge(
            "fulmarroad_in_flight", "Calls in flight", registry=self._registry
        )
        self.peers = Gauge(
            "fulmarroad_peers_alive",
            "Peers heard lately",
            registry=self._registry,
        )
        self.version = Gauge(
            "fulmarroad_catalog_version",
            "Version of the configuration in force",
            registry=self._registry,
        )
        self.store_age = Gauge(
            "fulmarroad_store_age_seconds",
            "Time since this router heard from the store itself",
            registry=self._registry,
        )
        self.loop_late = Gauge(
            "fulmarroad_loop_late_seconds",
            "Delay with which the event loop runs what is due, standing for 0.12 s",
            registry=self._registry,
        )
        self.dropped = Gauge(
            "fulmarroad_log_lines_dropped",
            "Log lines waiting to be told as dropped",
            registry=self._registry,
        )

    def note_slow_change(self, change: SlowChange) -> None:
        """Count a server that became slow, or is no longer."""
        counter = self.engines_recovered if change.ended else self.engines_slow
        source = change.state.source
        if source not in (FIRST_TOKENS, OVERDUE):
            source = "gaps"  # a label for each router would be too many
        counter.labels(source).inc()

    def note_closed(self, mode: CloseMode) -> None:
        """Count a connection to a server that ended."""
        self.closed.labels(mode.value).inc()

    def note_queue(self, queued: QueuedRequests) -> None:
        """Take the state of the queue for places, and its decisions since last time."""
        self.queue_waiting.set(len(queued.queue))
        for decision, number in queued.counts.pop_uncounted().items():
            self.queue_decisions.labels(decision).inc(number)

    def note_retry(self, outcome: str) -> None:
        """Count a scheduled return, or what became of it."""
        self.retries.labels(outcome).inc()

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
