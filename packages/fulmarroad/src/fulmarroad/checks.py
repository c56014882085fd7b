"""Checks of values and rows from TOML, shared by tables and settings."""

from fulmarroad._checks import (
    Check,
    Report,
    address,
    choice,
    flag,
    ip,
    list_of,
    name,
    number,
    read_row,
    sha256,
    shown,
    text,
    whole,
)

__all__ = [
    "Check",
    "Report",
    "address",
    "choice",
    "flag",
    "ip",
    "list_of",
    "name",
    "number",
    "read_row",
    "sha256",
    "shown",
    "text",
    "whole",
]
