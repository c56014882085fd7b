"""Log each field and header of the platform that no list of an adapter names, once.

A new release of the platform may say more than the adapter reads. A field that nobody
reads shows nothing until callers miss what it says.
"""

from __future__ import annotations

import logging
from collections.abc import Collection, Iterable

from attrs import define, field

from fulmarroad.events import Event, emit

logger = logging.getLogger("fulmarroad.serving")

MAX_NAMES = 64
"""Maximum number of names logged by a process: callers may send any header."""

MAX_NAME_CHARS = 64
"""Length to which a logged name is cut."""


@define
class UnknownNames:
    """Remember which unknown names were logged."""

    _logged: set[tuple[str, str]] = field(factory=set)

    def note(self, place: str, names: Iterable[str], known: Collection[str]) -> None:
        """Log the names that are not among the known ones; `place` says where."""
        for name in names:
            if name not in known:
                self._log(place, name[:MAX_NAME_CHARS])

    def _log(self, place: str, name: str) -> None:
        if (place, name) in self._logged or len(self._logged) >= MAX_NAMES:
            return
        self._logged.add((place, name))
        emit(logger, Event.PLATFORM_NAME_UNKNOWN, place=place, unknown=name)
