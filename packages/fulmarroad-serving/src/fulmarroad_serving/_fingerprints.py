"""Know a request again: by caller, path and body, not by the id of one attempt."""

from __future__ import annotations

import hashlib

FINGERPRINT_BYTES = 16
"""Long enough that nobody finds a body that passes for another caller's request."""

Fingerprint = bytes


def hash_fraction_of(fingerprint: Fingerprint) -> float:
    """Return a number from 0 to 1 that is the same for each attempt of a request.

    A caller that tries more often gets no more chances by it.
    """
    return int.from_bytes(fingerprint[:8], "big") / 2**64


def fingerprint_of(
    caller: str, host: str, method: str, target: bytes, body: bytes
) -> Fingerprint:
    """Return what every attempt of a request has in common."""
    digest = hashlib.sha256()
    for field in (caller.encode(), host.encode(), method.encode(), target):
        # With its length, so that no two rows of fields run into the same bytes.
        digest.update(b"%d:" % len(field) + field)
    digest.update(body)
    return digest.digest()[:FINGERPRINT_BYTES]
