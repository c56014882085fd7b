"""Supervision of tasks in anyio task groups."""

from fulmarroad._supervisor import ChildSpec, Supervisor

__all__ = ["ChildSpec", "Supervisor"]
