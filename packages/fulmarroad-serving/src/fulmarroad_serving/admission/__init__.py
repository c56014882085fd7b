"""Order the calls that wait for a place at an owner of servers, and bound their wait.

The decisions do no I/O; the time is an argument.
"""

from fulmarroad_serving.admission._counts import DROPPED as DROPPED
from fulmarroad_serving.admission._counts import GRANTED as GRANTED
from fulmarroad_serving.admission._counts import REFUSED as REFUSED
from fulmarroad_serving.admission._counts import QueueCounts as QueueCounts
from fulmarroad_serving.admission._counts import QueueStatus as QueueStatus
from fulmarroad_serving.admission._entries import EntryKey as EntryKey
from fulmarroad_serving.admission._entries import QueueEntry as QueueEntry
from fulmarroad_serving.admission._entries import Urgency as Urgency
from fulmarroad_serving.admission._forecast import TurnForecast as TurnForecast
from fulmarroad_serving.admission._queue import AdmissionQueue as AdmissionQueue
from fulmarroad_serving.admission._queue import WorkspaceShares as WorkspaceShares
from fulmarroad_serving.admission._reservations import Claim as Claim
from fulmarroad_serving.admission._reservations import Reservation as Reservation
from fulmarroad_serving.admission._reservations import (
    ReservationBook as ReservationBook,
)
from fulmarroad_serving.admission._scans import MAX_GRANTS as MAX_GRANTS
from fulmarroad_serving.admission._scans import MAX_TRIES as MAX_TRIES
from fulmarroad_serving.admission._scans import ScanSchedule as ScanSchedule
from fulmarroad_serving.admission._scheduled_retries import (
    OwnerBacklog as OwnerBacklog,
)
from fulmarroad_serving.admission._scheduled_retries import (
    RetryOutcome as RetryOutcome,
)
from fulmarroad_serving.admission._scheduled_retries import (
    ScheduledRetries as ScheduledRetries,
)
from fulmarroad_serving.admission._start import StartBound as StartBound
from fulmarroad_serving.admission._start import StartTimes as StartTimes
from fulmarroad_serving.admission._start import excess_wait_s as excess_wait_s
from fulmarroad_serving.admission._start import start_times as start_times
