"""Fingerprints that are equal for all attempts of a request, or all uses of a part.

Those of requests cover the caller, the target and the body, not the request id of one
attempt; those of parts the service and the part's name, not the caller: servers of
another service may be able to run what crashes these.
"""

from __future__ import annotations

import hashlib
from functools import lru_cache

FINGERPRINT_BYTES = 16
"""Long enough that nobody can find a body whose fingerprint equals that of another
caller's request."""

Fingerprint = bytes


def hash_fraction_of(fingerprint: Fingerprint) -> float:
    """Return a number from 0 to 1 that is the same for each attempt of a request.

    Retrying therefore does not give a caller another draw.
    """
    return int.from_bytes(fingerprint[:8], "big") / 2**64


def fingerprint_of(
    caller: str, host: str, method: str, target: bytes, body: bytes
) -> Fingerprint:
    """Return the fingerprint shared by all attempts of a request."""
    digest = digest_fields(caller.encode(), host.encode(), method.encode(), target)
    digest.update(body)
    return digest.digest()[:FINGERPRINT_BYTES]


@lru_cache(maxsize=1_024)
def part_fingerprint(service: str, part: str) -> Fingerprint:
    """Return the fingerprint of a part of prompts, for servers of one service."""
    digest = digest_fields(b"part", service.encode(), part.encode())
    return digest.digest()[:FINGERPRINT_BYTES]


def digest_fields(*fields: bytes) -> hashlib._Hash:
    """Return a digest of some fields, which may be continued."""
    digest = hashlib.sha256()
    for field in fields:
        # The length prefix keeps different fields from joining to the same bytes.
        digest.update(b"%d:" % len(field) + field)
    return digest
