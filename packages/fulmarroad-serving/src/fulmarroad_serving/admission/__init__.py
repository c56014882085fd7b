"""Decide which of the waiting calls goes first, and when refused callers return."""

from fulmarroad_serving.admission._forecast import TurnForecast as TurnForecast
from fulmarroad_serving.admission._reservations import Claim as Claim
from fulmarroad_serving.admission._reservations import Reservation as Reservation
from fulmarroad_serving.admission._reservations import (
    ReservationBook as ReservationBook,
)
from fulmarroad_serving.admission._scheduled_retries import (
    OwnerBacklog as OwnerBacklog,
)
from fulmarroad_serving.admission._scheduled_retries import (
    RetryOutcome as RetryOutcome,
)
from fulmarroad_serving.admission._scheduled_retries import (
    ScheduledRetries as ScheduledRetries,
)
