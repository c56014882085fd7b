"""Serve two workspaces in proportion to their weights, whatever their demand."""

from fulmarroad.messages import Demand
from fulmarroad.scheduling import make_queue
from fulmarroad.types import ShardId

queue = make_queue("fleet")
shard = ShardId("drafting", "fes-1", 0)
for number in range(6):
    for workspace, weight in (("large", 1.0), ("small", 2.0)):
        name = f"{workspace}-{number}"
        demand = Demand(shard, name, workspace, weight, 100.0, 0.0, 60.0)
        queue.add(demand, "router-a", now=0.0)
for _ in range(6):
    waiting = queue.pop(lambda row: True, now=0.0)
    queue.begin(waiting)
    print(waiting.demand.demand_id)
