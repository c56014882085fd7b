"""Immediate removal of load from a data centre that leaves, and its gradual return."""

from fulmarroad._shifting import CentreChange as CentreChange
from fulmarroad._shifting import CentreShift as CentreShift
from fulmarroad._shifting import CentreState as CentreState
from fulmarroad._shifting import hold_time as hold_time
