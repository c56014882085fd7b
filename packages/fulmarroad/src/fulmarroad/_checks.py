"""Checks of single values and rows from TOML, shared by tables and settings.

A check takes a raw value and returns the value to store, or raises `ValueError` with a
text that completes the message "FIELD: …" for the user.
"""

from __future__ import annotations

import enum
import ipaddress
import math
import re
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from attrs import NOTHING, fields

T = TypeVar("T")
Check = Callable[[Any], Any]
Report = Callable[[str, str], None]

MAX_SHOWN_CHARACTERS = 60
"""Maximum length of an invalid value in a message; the rest is cut off."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_SHA256 = re.compile(r"[0-9a-fA-F]{64}")
MAX_PORT = 65535


def shown(value: Any) -> str:
    """Return a value as text for a message, on one line and cut to a maximum length."""
    if isinstance(value, (dict, list)):
        return "a table" if isinstance(value, dict) else "a list"
    if isinstance(value, int) and not isinstance(value, bool):
        # Python refuses to print integers of several thousand digits.
        return str(value) if value.bit_length() < 128 else "a huge number"
    text = repr(value) if isinstance(value, str) else str(value)
    return (
        text
        if len(text) <= MAX_SHOWN_CHARACTERS
        else text[: MAX_SHOWN_CHARACTERS - 1] + "…"
    )


def name(value: Any) -> str:
    """Return a name that is safe in logs, metrics and shard names."""
    if isinstance(value, str) and _NAME.fullmatch(value):
        return value
    raise ValueError(
        "must be 1 to 64 letters, digits, '.', '_' or '-', the first a letter or "
        f"digit; is {shown(value)}"
    )


def text(longest: int, *, empty: bool = False) -> Check:
    """Return a check for printable text of at most `longest` characters."""

    def check(value: Any) -> str:
        if not isinstance(value, str):
            raise ValueError(f"must be text; is {shown(value)}")
        if not empty and not value:
            raise ValueError("must not be empty")
        if len(value) > longest:
            raise ValueError(f"must have at most {longest} characters")
        if not value.isprintable():
            raise ValueError(f"must be printable; is {shown(value)}")
        return value

    return check


def flag(value: Any) -> bool:
    """Return a boolean."""
    if isinstance(value, bool):
        return value
    raise ValueError(f"must be true or false; is {shown(value)}")


def whole(low: int, high: int) -> Check:
    """Return a check for an integer from `low` to `high`, both included."""

    def check(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError(f"must be a whole number; is {shown(value)}")
        if not low <= value <= high:
            raise ValueError(f"must be from {low} to {high}; is {shown(value)}")
        return value

    return check


def number(low: float, high: float) -> Check:
    """Return a check for a finite number from `low` to `high`, both included."""

    def check(value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ValueError(f"must be a number; is {shown(value)}")
        if not low <= value <= high or math.isnan(value):
            raise ValueError(f"must be from {low:g} to {high:g}; is {shown(value)}")
        return float(value)

    return check


def choice(options: type[enum.StrEnum]) -> Check:
    """Return a check for one of the values of an enumeration."""
    allowed_values = " or ".join(f'"{option.value}"' for option in options)

    def check(value: Any) -> enum.StrEnum:
        if isinstance(value, str) and value in options._value2member_map_:
            return options(value)
        raise ValueError(f"must be {allowed_values}; is {shown(value)}")

    return check


def list_of(check: Check, *, most: int) -> Check:
    """Return a check for a list of at most `most` entries without duplicates."""

    def check_list(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list):
            raise ValueError(f"must be a list; is {shown(value)}")
        if len(value) > most:
            raise ValueError(f"must have at most {most} entries; has {len(value)}")
        entries = tuple(check(entry) for entry in value)
        if len(set(entries)) != len(entries):
            raise ValueError("has an entry twice")
        return entries

    return check_list


def sha256(value: Any) -> str:
    """Return a SHA-256 as lower-case hexadecimal digits."""
    if isinstance(value, str) and _SHA256.fullmatch(value):
        return value.lower()
    # The value isn't shown, as operators may paste the key itself by mistake.
    raise ValueError("must be a SHA-256 of 64 hexadecimal digits")


def ip(value: Any) -> str:
    """Return an IP address in canonical form."""
    try:
        if isinstance(value, str):
            return str(ipaddress.ip_address(value))
    except ValueError:
        pass
    raise ValueError(f"must be an IP number, not a host name; is {shown(value)}")


def address(value: Any) -> str:
    """Return an address as `host:port` with an IP address as the host."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        host = ""
    try:
        number = ipaddress.ip_address(host)
    except ValueError:
        number = None
    valid_port = port.isascii() and port.isdigit() and len(port) <= 5
    if number is None or not valid_port or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(
            f"must be an IP number and a port, as in 10.0.0.7:8000; is {shown(value)}"
        )
    return f"[{number}]:{int(port)}" if number.version == 6 else f"{number}:{int(port)}"


def read_row(
    cls: type[T], row: Mapping[str, Any], checks: Mapping[str, Check], report: Report
) -> T | None:
    """Return an attrs object for a raw row, or report each problem and return None."""
    values: dict[str, Any] = {}
    valid = True
    for key, raw in row.items():
        check = checks.get(key)
        if check is None:
            report(key, "is not a known field; the fields are " + ", ".join(checks))
            valid = False
            continue
        try:
            values[key] = check(raw)
        except ValueError as error:
            report(key, str(error))
            valid = False
    for attribute in fields(cls):  # type: ignore[arg-type,misc]
        required = attribute.default is NOTHING and attribute.name in checks
        if required and attribute.name not in row:
            report(attribute.name, "is missing")
            valid = False
    return cls(**values) if valid else None
