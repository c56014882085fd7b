"""Choice of the shard and the unit that run a request."""

from fulmarroad._placement import PrefixMap as PrefixMap
from fulmarroad._placement import ShardView as ShardView
from fulmarroad._placement import choose_shard as choose_shard
from fulmarroad._placement import choose_unit as choose_unit
