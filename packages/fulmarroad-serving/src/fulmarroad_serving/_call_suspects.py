"""Apply what is known of crashes to one call: to its request and its parts."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from attrs import define, field

from fulmarroad.types import ServerName, WorkspaceName
from fulmarroad_serving._culprits import CrashId
from fulmarroad_serving._fingerprints import Fingerprint, part_fingerprint
from fulmarroad_serving._registry import Instance
from fulmarroad_serving._suspect_records import CallerTag, caller_tag, crash_id
from fulmarroad_serving._suspects import Suspects, SuspectState, Suspicion
from fulmarroad_serving.exceptions import BarredError, WithheldError

MAX_SUSPECT_PARTS = 32
"""Maximum number of a prompt's shared parts that are watched, the first ones."""


@define
class CallSuspects:
    """Hold the suspects of a call: its request, and each shared part of its prompt."""

    _suspects: Suspects
    _request: Fingerprint
    _caller: CallerTag
    _parts: dict[Fingerprint, str] = field(factory=dict)  # names
    _is_running: bool = False

    @classmethod
    def of(
        cls,
        suspects: Suspects,
        request: Fingerprint,
        service: str,
        workspace: WorkspaceName,
        parts: Sequence[str],
    ) -> CallSuspects:
        """Return the suspects of a call to a service."""
        names = {
            part_fingerprint(service, part): part for part in parts[:MAX_SUSPECT_PARTS]
        }
        return cls(suspects, request, caller_tag(workspace), names)

    @property
    def fingerprints(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of all suspects of the call."""
        return (self._request, *self._parts)

    def suspicion(self, now: float) -> Suspicion:
        """Return how the call may be run, and for which suspect."""
        suspicion = self._suspects.suspicion_of(self.fingerprints, self._caller, now)
        if suspicion.state is SuspectState.BARRED:
            part = self.part_name(suspicion.fingerprint)
            self._suspects.note_part_name(suspicion.fingerprint, part)
        return suspicion

    def part_name(self, fingerprint: Fingerprint) -> str:
        """Return the name of a part of the call, or "" for the whole request."""
        return self._parts.get(fingerprint, "")

    def withheld_error(self, suspicion: Suspicion, now: float) -> WithheldError | None:
        """Return an error if the call may not be sent now."""
        if suspicion.state is SuspectState.CLEAR:
            return None
        if suspicion.state is SuspectState.BARRED:
            part = self.part_name(suspicion.fingerprint)
            what = f"requests with the prompt part {part}" if part else "the request"
            return BarredError(f"Servers crashed while they ran {what}.")
        if any(self._is_tried(name, now) for name in self.fingerprints):
            return WithheldError(
                "It is suspected of crashing servers, and another one like it runs."
            )
        return None

    def _is_tried(self, fingerprint: Fingerprint, now: float) -> bool:
        state = self._suspects.suspect_state(fingerprint, now)
        return state is not SuspectState.CLEAR and self._suspects.is_running(
            fingerprint, now
        )

    def trial_servers(
        self, instances: Iterable[Instance], now: float
    ) -> set[ServerName]:
        """Return the servers that the call must avoid if it is isolated.

        Each of them runs an isolated request, and a crash must have a single suspect.
        """
        if self.suspicion(now).state < SuspectState.ISOLATED:
            return set()
        trials = self._suspects.trial_servers(now)
        return {
            row.id for row in instances if crash_id(row.id, row.started_ms) in trials
        }

    def begin(self, server: CrashId, now: float) -> None:
        """Record that the call is about to be sent to a start of a server."""
        self._is_running = True
        for name in self.fingerprints:
            self._suspects.begin(name, server, now)

    def end(self) -> None:
        """Record that the call no longer runs where it might crash its server."""
        if not self._is_running:
            return
        self._is_running = False
        for name in self.fingerprints:
            self._suspects.end(name)

    def note_good_run(self, started_at: float, now: float) -> None:
        """Record that a server ran the call well since its answer began."""
        if not self._is_running:
            return
        self.end()
        for name in self.fingerprints:
            self._suspects.note_success(name, now, started_at)

    def note_crash(self, end: CrashId, now: float, answered_s: float) -> None:
        """Record that a server crashed while it ran the call."""
        for name in self.fingerprints:
            self._suspects.note_crash(
                name,
                end,
                now,
                answered_s=answered_s,
                caller=self._caller,
                part=self.part_name(name),
            )

    @property
    def ends(self) -> int:
        """Return the most crashes that count against one suspect of the call."""
        return max(self._suspects.ends(name) for name in self.fingerprints)
