"""Forms in which routers are out of step while streams break elsewhere."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class Lateness(Enum):
    """Name how routers get out of step."""

    NONE = "none"
    CUT_OFF = "cut_off"  # from the store and from the other routers
    NO_STORE = "no_store"  # only their store is silent
    NO_PEERS = "no_peers"  # only the other routers don't reach them
    STOPPED = "stopped"  # their processes stand still


class Breakage(Enum):
    """Name what breaks the streams that began at the other routers."""

    ROUTERS_KILLED = "routers_killed"
    SERVERS_ENDED = "servers_ended"  # those of the version that joined
    SERVERS_LEFT = "servers_left"  # the same, and their entries are removed at once


@frozen
class Form:
    """Describe routers that are out of step, and what happens meanwhile."""

    lateness: Lateness
    late_s: float = 0.0  # seconds out of step until streams break, or `back_s` begins
    breakage: Breakage = Breakage.ROUTERS_KILLED
    joins: bool = True  # another version joins meanwhile
    store_silent_s: float = 0.0  # after a process that stood still goes on
    back_s: float | None = None  # seconds in step again when streams break
    heals_s: float | None = None  # seconds from the break until they are in step
    late_routers: int = 1


_CUT, _STOPPED = Lateness.CUT_OFF, Lateness.STOPPED
_ENDED, _LEFT = Breakage.SERVERS_ENDED, Breakage.SERVERS_LEFT

FORMS = {
    "cut_1_killed": Form(_CUT, 1.4),
    "cut_2_killed": Form(_CUT, 2.1),
    "cut_6_killed": Form(_CUT, 6.1),
    "cut_1_ended": Form(_CUT, 1.4, _ENDED),
    "cut_2_ended": Form(_CUT, 2.1, _ENDED),
    "cut_6_ended": Form(_CUT, 6.1, _ENDED),
    "stopped_1_killed": Form(_STOPPED, 1.4),
    "stopped_2_killed": Form(_STOPPED, 2.1),
    "stopped_6_killed": Form(_STOPPED, 6.1),
    "stopped_2_ended": Form(_STOPPED, 2.1, _ENDED),
    "stopped_store_killed": Form(_STOPPED, 1.4, store_silent_s=1.0),
    "stopped_store_ended": Form(_STOPPED, 2.1, _ENDED, store_silent_s=1.0),
    "store_2_killed": Form(Lateness.NO_STORE, 2.1),
    "store_2_ended": Form(Lateness.NO_STORE, 2.1, _ENDED),
    "peers_2_killed": Form(Lateness.NO_PEERS, 2.1),
    "cut_2_left": Form(_CUT, 2.1, _LEFT),
    "stopped_2_left": Form(_STOPPED, 2.1, _LEFT),
    "healed_killed": Form(_CUT, 2.1, heals_s=0.1),
    "healed_left": Form(_CUT, 2.1, _LEFT, heals_s=0.1),
    "pair_cut_killed": Form(_CUT, 4.1, late_routers=2),
    "pair_stopped_killed": Form(_STOPPED, 4.1, late_routers=2),
    "pair_store_killed": Form(Lateness.NO_STORE, 4.1, late_routers=2),
    "in_step_killed": Form(Lateness.NONE, 1.4),
    "one_version": Form(Lateness.NONE, 1.4, joins=False),
    "one_version_cut": Form(_CUT, 2.1, joins=False),
    "one_version_stopped": Form(_STOPPED, 2.1, joins=False),
    "one_version_back": Form(_CUT, 2.1, joins=False, back_s=1.0),
    "one_version_woken": Form(_STOPPED, 2.1, joins=False, back_s=1.0),
}
