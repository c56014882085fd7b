"""Forms in which a router is out of step while streams break elsewhere."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class Lateness(Enum):
    """Name how a router gets out of step."""

    NONE = "none"
    CUT_OFF = "cut_off"  # from the store and from the other routers
    NO_STORE = "no_store"  # only its store is silent
    NO_PEERS = "no_peers"  # only the other routers don't reach it
    STOPPED = "stopped"  # its process stands still


class Breakage(Enum):
    """Name what breaks the streams that began at the other routers."""

    ROUTERS_KILLED = "routers_killed"
    SERVERS_ENDED = "servers_ended"  # those of the version that joined


@frozen
class Form:
    """Describe a router that is out of step, and what happens meanwhile."""

    lateness: Lateness
    late_s: float = 0.0  # seconds from getting out of step to the end of `back_s`
    breakage: Breakage = Breakage.ROUTERS_KILLED
    joins: bool = True  # another version joins meanwhile
    store_silent_s: float = 0.0  # after a process that stood still goes on
    back_s: float | None = None  # seconds in step again when streams break


_CUT, _STOPPED = Lateness.CUT_OFF, Lateness.STOPPED
_ENDED = Breakage.SERVERS_ENDED

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
    "in_step_killed": Form(Lateness.NONE, 1.4),
    "one_version": Form(Lateness.NONE, 1.4, joins=False),
    "one_version_cut": Form(_CUT, 2.1, joins=False),
    "one_version_stopped": Form(_STOPPED, 2.1, joins=False),
    "one_version_back": Form(_CUT, 2.1, joins=False, back_s=1.0),
    "one_version_woken": Form(_STOPPED, 2.1, joins=False, back_s=1.0),
}
