"""Where prompt parts belong, and where a call goes that their engines can't begin."""

from fulmarroad_serving.placement._spill_counts import SpillCounts as SpillCounts
from fulmarroad_serving.placement._spill_counts import SpillOutcome as SpillOutcome
from fulmarroad_serving.placement._spill_counts import most_asked as most_asked
from fulmarroad_serving.placement._spillover import BEGIN_WITHIN_S as BEGIN_WITHIN_S
from fulmarroad_serving.placement._spillover import OwnerRoom as OwnerRoom
from fulmarroad_serving.placement._spillover import SpareCapacity as SpareCapacity
from fulmarroad_serving.placement._spillover import (
    can_begin_on_time as can_begin_on_time,
)
from fulmarroad_serving.placement._spillover import engine_room as engine_room
from fulmarroad_serving.placement._weights import NO_CLASSES as NO_CLASSES
from fulmarroad_serving.placement._weights import ClassSnapshot as ClassSnapshot
from fulmarroad_serving.placement._weights import PartId as PartId
from fulmarroad_serving.placement._weights import SpeedClasses as SpeedClasses
from fulmarroad_serving.placement._weights import first_servers as first_servers
from fulmarroad_serving.placement._weights import hash_weight as hash_weight
from fulmarroad_serving.placement._weights import home_order as home_order
