"""Shift work at once off a data centre that left, slowly back to one that returned."""

from fulmarroad._shifting import CentreChange as CentreChange
from fulmarroad._shifting import CentreShift as CentreShift
from fulmarroad._shifting import CentreState as CentreState
from fulmarroad._shifting import hold_time as hold_time
