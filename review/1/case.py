"""Let a client send requests that are larger than a server's memory."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import BROKEN, CANNOT_RUN, HELD, STREAM_PATH, Lab, run_case  # noqa: E402

ROUTERS = 7
ENGINES = 5
CLIENTS = 28
PAUSE_S = 0.5
BEFORE_S = 5.0
DURING_S = 60.0
LARGE_INTERVAL_S = 0.5
LARGE = f"1460,{2**63 - 1}"
USUAL = "1460,80"
ENDS, MACHINES = 3, 2


async def send_large(lab: Lab) -> None:
    """Send requests of one client, large ones with trouble."""
    usage = LARGE if lab.trouble else USUAL
    while True:
        await asyncio.sleep(LARGE_INTERVAL_S)
        await lab.send(lab.pick_router(), STREAM_PATH, "tenant-b", Token_Usage=usage)


async def case(lab: Lab) -> int:
    """Run the case and return its result."""
    await lab.start_platform(0, ENGINES)
    await lab.start_routers(ROUTERS)
    begin = lab.now
    for _ in range(CLIENTS):
        lab.start(lab.keep_sending(PAUSE_S, STREAM_PATH, "tenant-a"))
    await asyncio.sleep(BEFORE_S)
    served, sent = lab.share_served(begin, lab.now)
    print(f"before: {served} of {sent} served")
    if served < sent / 2:
        return CANNOT_RUN
    lab.start(send_large(lab))
    begin = lab.now
    await asyncio.sleep(DURING_S)
    served, sent = lab.share_served(begin, lab.now, "tenant-a")
    ends = [len(router.ends) for router in lab.routers]
    print(
        f"tenant-a: {served} of {sent} served, {lab.cut('tenant-a')} streams cut off; "
        f"processes that ended by themselves, by machine: {ends}"
    )
    lab.record("result", served=served, sent=sent, ends=ends)
    return BROKEN if sum(count >= ENDS for count in ends) >= MACHINES else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
