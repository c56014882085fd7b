"""Schedule the units of a shard: fair queue, baselines, service totals and moves."""

from fulmarroad._fairqueue import Charge, FleetQueue, Waiting
from fulmarroad._policies import (
    FifoQueue,
    LocalQueue,
    SchedulingPolicy,
    make_queue,
)
from fulmarroad._rebalance import Handover, Rebalancer
from fulmarroad._scheduler import Scheduler, Send, grant_valid
from fulmarroad._totals import Totals, gap_bound, spread_interval

__all__ = [
    "Charge",
    "FifoQueue",
    "FleetQueue",
    "Handover",
    "LocalQueue",
    "Rebalancer",
    "Scheduler",
    "SchedulingPolicy",
    "Send",
    "Totals",
    "Waiting",
    "gap_bound",
    "grant_valid",
    "make_queue",
    "spread_interval",
]
