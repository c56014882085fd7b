"""Let streams go on that callers take up, at the version that began them or nowhere."""

from fulmarroad_serving.streams._confirmation import (
    ListConfirmation as ListConfirmation,
)
from fulmarroad_serving.streams._departures import ServerDepartures as ServerDepartures
from fulmarroad_serving.streams._engine_lists import EngineEvidence as EngineEvidence
from fulmarroad_serving.streams._engine_lists import EngineLists as EngineLists
from fulmarroad_serving.streams._engine_lists import engines_of as engines_of
from fulmarroad_serving.streams._keeper_table import Keeper as Keeper
from fulmarroad_serving.streams._keepers import KEEPER_SILENCE_S as KEEPER_SILENCE_S
from fulmarroad_serving.streams._keepers import Confirm as Confirm
from fulmarroad_serving.streams._keepers import StreamKeepers as StreamKeepers
from fulmarroad_serving.streams._keepers import is_stream_message as is_stream_message
from fulmarroad_serving.streams._list_watch import ListWatch as ListWatch
from fulmarroad_serving.streams._records import MAX_LIFE_S as MAX_LIFE_S
from fulmarroad_serving.streams._records import StreamOrigin as StreamOrigin
from fulmarroad_serving.streams._resumption import StreamResumption as StreamResumption
from fulmarroad_serving.streams._resumption import evidence_name as evidence_name
from fulmarroad_serving.streams._store_history import StoreHistory as StoreHistory
