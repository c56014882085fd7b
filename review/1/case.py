"""Kill all routers while the store holds an entry that can't be read."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import BROKEN, CANNOT_RUN, HELD, Lab, run_case  # noqa: E402

ROUTERS = 7
SERVERS = 3
RATE_PER_S = 16.0
BEFORE_S = 6.0
DOWN_S = 1.6
RECOVERY_S = 12.0
AFTER_S = 10.0
DEPTH = 4000
UNREADABLE = b"[" * DEPTH + b"]" * DEPTH


async def case(lab: Lab) -> int:
    await lab.start_platform(SERVERS, 0.045)
    await lab.start_routers(ROUTERS)
    begin = lab.now
    await lab.send_load(RATE_PER_S, BEFORE_S)
    served, sent = lab.share_served(begin, lab.now)
    print(f"before: {served} of {sent} served")
    if served < sent / 2:
        return CANNOT_RUN
    if lab.trouble:
        lab.record("entry", key="servers/batch-import", bytes=len(UNREADABLE))
        lab.store.put("servers/batch-import", UNREADABLE)
    begin = lab.now
    await lab.send_load(RATE_PER_S, BEFORE_S)
    served, sent = lab.share_served(begin, lab.now)
    print(f"after the entry: {served} of {sent} served")
    for router in lab.routers:
        router.kill(DOWN_S)
    lab.record("kill_all")
    await asyncio.sleep(DOWN_S)
    back_at = lab.now
    await lab.send_load(RATE_PER_S, RECOVERY_S + AFTER_S)
    served, sent = lab.share_served(back_at + RECOVERY_S, lab.now)
    ends = sum(len(router.ends) for router in lab.routers)
    line = f"later than {RECOVERY_S:.0f} s after the return: {served} of {sent} served"
    print(f"{line}; processes that ended by themselves: {ends}")
    lab.record("result", served=served, sent=sent, ends=ends)
    return BROKEN if served < sent / 4 else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
