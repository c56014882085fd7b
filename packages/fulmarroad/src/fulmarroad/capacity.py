"""Units of backend servers: shares, concurrency limits, cold start and health."""

from fulmarroad._concurrency import ConcurrencyLimit as ConcurrencyLimit
from fulmarroad._shares import LEND_QUARANTINE_S as LEND_QUARANTINE_S
from fulmarroad._shares import LENDING_TERM_S as LENDING_TERM_S
from fulmarroad._shares import START_WINDOW_S as START_WINDOW_S
from fulmarroad._shares import TAKE_UP_DELAY_S as TAKE_UP_DELAY_S
from fulmarroad._shares import Shares as Shares
from fulmarroad._slots import CapacityError as CapacityError
from fulmarroad._slots import FreeUnit as FreeUnit
from fulmarroad._slots import ServerBook as ServerBook
from fulmarroad._warmth import ServerHealth as ServerHealth
from fulmarroad._warmth import WarmthChange as WarmthChange
from fulmarroad._warmth import ramp_time as ramp_time
