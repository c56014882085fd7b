"""Fleet membership by probes and gossip, with the VM list as a hint."""

from fulmarroad._gossip import Gossip, HigherVersionReported, PacketSeal
from fulmarroad._members import Member, MemberChange
from fulmarroad._packets import Outgoing
from fulmarroad._piggyback import PACKET_BYTES
from fulmarroad._swim import TICK_S, Swim
from fulmarroad._vmlist import VmEntry, VmList

__all__ = [
    "PACKET_BYTES",
    "TICK_S",
    "Gossip",
    "Member",
    "MemberChange",
    "Outgoing",
    "PacketSeal",
    "Swim",
    "HigherVersionReported",
    "VmEntry",
    "VmList",
]
