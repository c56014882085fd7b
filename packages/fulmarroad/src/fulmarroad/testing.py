"""Test helpers for code that embeds the library."""

from fulmarroad._memory_network import MemoryNetwork, MemoryStream
from fulmarroad._virtual_time import VirtualTimeLoop, run_virtual

__all__ = ["MemoryNetwork", "MemoryStream", "VirtualTimeLoop", "run_virtual"]
