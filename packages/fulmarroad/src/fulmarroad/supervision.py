"""Supervision of tasks in anyio task groups."""

from fulmarroad._supervisor import ChildSpec, Supervisor, continue_on_error

__all__ = ["ChildSpec", "Supervisor", "continue_on_error"]
