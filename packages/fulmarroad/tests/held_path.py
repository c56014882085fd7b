"""A network path on loopback that can hold what it gets, as a cut network does.

It drops held bytes if their sender resets the connection, and delivers them before a
FIN. Bytes wait in the path, not in the server's receive buffer, from which a server
could read them after a reset.
"""

import asyncio
import contextlib

from stream_listener import start_listener


class HeldPath:
    """Forward connections to a server's port; hold what goes there during a cut."""

    def __init__(self, server_port):
        self._server_port = server_port
        self._open = asyncio.Event()
        self._open.set()
        self._tasks = set()
        self.port = 0
        self.held_bytes = 0
        self.resets = 0
        self.orderly_ends = 0

    async def start(self):
        self._listener = await start_listener(self._accept)
        self.port = self._listener.port

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    async def close(self):
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._listener.aclose()

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            to_server = await asyncio.open_connection("127.0.0.1", self._server_port)
            await self._join(reader, writer, *to_server)

    async def _join(self, reader, writer, server_reader, server_writer):
        answers = asyncio.create_task(self._pass_answers(server_reader, writer))
        self._tasks.add(answers)
        try:
            await self._pass_requests(reader, server_writer)
            self.orderly_ends += 1
        except ConnectionResetError:
            self.resets += 1
            server_writer.transport.abort()
        finally:
            answers.cancel()
            server_writer.close()
            writer.close()

    async def _pass_requests(self, reader, server_writer):
        held = b""
        ended = False
        while not ended:
            read = asyncio.ensure_future(reader.read(65536))
            opened = asyncio.ensure_future(self._open.wait())
            if held:
                await asyncio.wait({read, opened}, return_when="FIRST_COMPLETED")
            else:
                await asyncio.wait({read})
            if read.done():
                data = read.result()
                ended = not data
                held += data
            else:
                read.cancel()
            if ended:
                await opened
            opened.cancel()
            self.held_bytes = len(held)
            if self._open.is_set():
                server_writer.write(held)
                held = b""
                await server_writer.drain()

    async def _pass_answers(self, server_reader, writer):
        with contextlib.suppress(OSError):
            while data := await server_reader.read(65536):
                await self._open.wait()
                writer.write(data)
            await self._open.wait()
            writer.close()
