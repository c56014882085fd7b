"""Decode what callers, servers, the store and other routers state, within ranges.

A router adds such numbers up and sends the sums to its peers. Without a range, one call
that states more tokens than 64 bits hold makes each report fail that includes it.
"""

from __future__ import annotations

import msgpack

MAX_NUMBER = 2**53
"""Largest number that is accepted. Floats hold all integers up to it, and the sum over
a thousand routers is below 64 bits, the most that a packet can hold."""

MAX_ID = 2**64 - 1
"""Largest hash; a packet holds no larger number."""

MAX_CALL_TOKENS = 10**9
"""Number of tokens from which a call is too large for any server; larger numbers in its
headers count as this one."""


DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
    msgpack.UnpackException,
)
"""Errors of decoding a message with a missing, invalid or deeply nested value."""


def parse_number(text: bytes, most: int = MAX_NUMBER) -> int | None:
    """Return a number in decimal digits, `most` if it is larger; None for other text.

    Python refuses to convert texts of some thousand digits.
    """
    text = text.strip()
    if not text.isdigit():
        return None
    digits = text.lstrip(b"0") or b"0"
    return min(int(digits), most) if len(digits) <= len(str(most)) else most


def parse_seconds(milliseconds: bytes) -> float | None:
    """Return a time that is stated in milliseconds; None if it is not a finite number.

    A negative time counts as none that is left.
    """
    try:
        value = float(milliseconds)
    except ValueError:
        return None
    return max(0.0, value / 1000) if abs(value) <= MAX_NUMBER else None


def read_int(value: object, least: int = -MAX_NUMBER, most: int = MAX_NUMBER) -> int:
    """Return a decoded number as an integer; raise `ValueError` if it is out of range.

    Text is no number, however it reads: it may have any number of digits.
    """
    # A comparison with a number that is not one is false.
    if not isinstance(value, int | float) or not least <= value <= most:
        raise ValueError(f"This is not a number from {least} to {most}.")
    return int(value)


def read_float(value: object) -> float:
    """Return a decoded number; raise `ValueError` if it is out of range."""
    if not isinstance(value, int | float) or not abs(value) <= MAX_NUMBER:
        raise ValueError(f"This is not a number up to {MAX_NUMBER}.")
    return float(value)


def read_id(value: object) -> int:
    """Return a decoded hash of 64 bits; raise `ValueError` if it is none."""
    return read_int(value, 0, MAX_ID)


def saturated(value: float) -> int:
    """Return a sum as it is sent: the largest number stands for all larger ones."""
    return int(min(max(value, -MAX_NUMBER), MAX_NUMBER))
