"""At-most-once calls: each key runs at most once across the fleet."""

from fulmarroad._keygroup import (
    AskMember,
    KeyAttempt,
    KeyClocks,
    KeyDecision,
    KeyGroups,
    KeyIdentity,
    KeyInProgress,
    KeyMismatch,
    KeyOutcomeUnknown,
    KeyRefusal,
    Replay,
    SendOnce,
)
from fulmarroad._keyrecords import MAX_BODY_BYTES, KeyLimits, KeyRecords, KeyState
from fulmarroad._keys import KeyStore
from fulmarroad._keyverdict import (
    Fenced,
    Finished,
    Full,
    InProgress,
    Mismatch,
    Started,
    Superseded,
    Unknown,
    Unverifiable,
    decide_fence,
    decide_start,
)
from fulmarroad._voting_eligibility import VotingEligibility

__all__ = [
    "MAX_BODY_BYTES",
    "AskMember",
    "Fenced",
    "Finished",
    "Full",
    "InProgress",
    "KeyAttempt",
    "KeyClocks",
    "KeyDecision",
    "KeyGroups",
    "KeyIdentity",
    "KeyInProgress",
    "KeyLimits",
    "KeyMismatch",
    "KeyOutcomeUnknown",
    "KeyRecords",
    "KeyRefusal",
    "KeyState",
    "KeyStore",
    "Mismatch",
    "Superseded",
    "Replay",
    "SendOnce",
    "Started",
    "Unknown",
    "Unverifiable",
    "VotingEligibility",
    "decide_fence",
    "decide_start",
]
