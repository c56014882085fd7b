"""Server that answers each request by bytes without end, for tests of routers.

python endless_server.py FORM    # prints its port
"""

import asyncio
import contextlib
import os
import subprocess
import sys
from pathlib import Path

from serving_bed import answer, chunk, event, stream_head
from stream_listener import start_listener

BLOCK = 64 * 1024

FORMS = {
    "header-lines": (b"HTTP/1.1 200 OK\r\n", b"x-more: %s\r\n" % (b"a" * 1000)),
    "one-header-line": (b"HTTP/1.1 200 OK\r\nx-more: ", b"a" * BLOCK),
    "status-line": (b"HTTP/1.1 200 ", b"a" * BLOCK),
    "interim-heads": (b"", b"HTTP/1.1 102 Wait\r\n\r\n"),
    "chunk-extension": (stream_head() + b"4;x=", b"a" * BLOCK),
    "trailers": (stream_head() + chunk(b"done") + b"0\r\n", b"x: %s\r\n" % (b"a" * 99)),
    "body": (stream_head(), chunk(b"a" * BLOCK)),
    "beyond-length": (answer(body=event(1)), b"a" * BLOCK),
    "other-answers": (b"", answer(request_id="another")),
    "garbage": (b"", b"\x00\xff" * BLOCK),
}
"""What the server sends first, and what it repeats until its connection is closed."""


def resident_bytes():
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


@contextlib.contextmanager
def endless_server(form):
    """Run the server in a process of its own, so that it leaves routers their time."""
    tests = Path(__file__).parent
    process = subprocess.Popen(
        [sys.executable, str(tests / "endless_server.py"), form],
        stdout=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
    )
    try:
        yield int(process.stdout.readline())
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


async def serve(form):
    start, repeated = FORMS[form]
    repeated *= max(1, BLOCK // len(repeated))

    async def connected(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            while not writer.is_closing():
                writer.write(repeated)
                await writer.drain()

    server = await start_listener(connected, backlog=512)
    print(server.port, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
