"""Know a request again: by caller, path and body, not by the id of one attempt."""

from __future__ import annotations

import hashlib

FINGERPRINT_BYTES = 16
"""Long enough that nobody finds a body that passes for another caller's request."""

Fingerprint = bytes


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
