"""Ranges of the numbers that callers, servers, the store and other routers state.

A router adds such numbers up and sends the sums to its peers. Without a range, one call
that states more tokens than 64 bits hold makes each report fail that includes it.
"""

from __future__ import annotations

MAX_NUMBER = 2**53
"""Largest number that is accepted. Floats hold all integers up to it, and the sum over
a thousand routers is below 64 bits, the most that a packet can hold."""

MAX_CALL_TOKENS = 10**9
"""Number of tokens from which a call is too large for any server; larger numbers in its
headers count as this one."""


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
