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
from fulmarroad_serving.admission._queue import AdmissionQueue as AdmissionQueue
from fulmarroad_serving.admission._queue import WorkspaceShares as WorkspaceShares
from fulmarroad_serving.admission._scans import MAX_GRANTS as MAX_GRANTS
from fulmarroad_serving.admission._scans import MAX_TRIES as MAX_TRIES
from fulmarroad_serving.admission._scans import ScanSchedule as ScanSchedule
from fulmarroad_serving.admission._start import StartBound as StartBound
from fulmarroad_serving.admission._start import StartTimes as StartTimes
from fulmarroad_serving.admission._start import excess_wait_s as excess_wait_s
from fulmarroad_serving.admission._start import other_engines as other_engines
from fulmarroad_serving.admission._start import start_times as start_times
from fulmarroad_serving.admission._start import with_backlog as with_backlog
