"""Kill all routers while the store holds an entry that can't be read.

With BEAT=1 the entry is written again at the heartbeat interval instead, and nothing
is killed.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import BROKEN, CANNOT_RUN, HEARTBEAT_S, HELD, Lab, run_case  # noqa: E402

ROUTERS = 7
SERVERS = 3
RATE_PER_S = 16.0
BEFORE_S = 6.0
DOWN_S = 1.6
RECOVERY_S = 12.0
AFTER_S = 10.0
BEAT_S = 60.0
DEPTH = 4000
UNREADABLE = b"[" * DEPTH + b"]" * DEPTH
KEY = "servers/batch-import"
ENDS, MACHINES = 3, 2


async def case(lab: Lab) -> int:
    """Run the case and return its result."""
    await lab.start_platform(SERVERS)
    await lab.start_routers(ROUTERS)
    begin = lab.now
    await lab.send_load(RATE_PER_S, BEFORE_S)
    served, sent = lab.share_served(begin, lab.now)
    print(f"before: {served} of {sent} served")
    if served < sent / 2:
        return CANNOT_RUN
    if os.environ.get("BEAT"):
        return await beat_case(lab)
    if lab.trouble:
        lab.record("entry", key=KEY, bytes=len(UNREADABLE))
        lab.store.put(KEY, UNREADABLE)
    begin = lab.now
    await lab.send_load(RATE_PER_S, BEFORE_S)
    served, sent = lab.share_served(begin, lab.now)
    print(f"after the entry: {served} of {sent} served")
    return await lab.recovers(RATE_PER_S, DOWN_S, RECOVERY_S, AFTER_S)


async def beat_case(lab: Lab) -> int:
    """Write the entry again and again, and judge how often processes end."""

    async def beat() -> None:
        number = 0
        while True:
            number += 1
            lab.record("entry", key=KEY, bytes=len(UNREADABLE) + number)
            lab.store.put(KEY, UNREADABLE + b" " * number)
            await asyncio.sleep(HEARTBEAT_S)

    if lab.trouble:
        lab.start(beat())
    begin = lab.now
    await lab.send_load(RATE_PER_S, BEAT_S)
    served, sent = lab.share_served(begin, lab.now)
    ends = [len(router.ends) for router in lab.routers]
    print(f"{served} of {sent} served; processes that ended by themselves: {ends}")
    lab.record("result", served=served, sent=sent, ends=ends)
    return BROKEN if sum(count >= ENDS for count in ends) >= MACHINES else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
