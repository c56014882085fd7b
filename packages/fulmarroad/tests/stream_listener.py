"""Listener for the scripted servers of tests; it closes what it has accepted."""

import asyncio


class StreamListener:
    """Accept connections and run a handler for each, as `asyncio.start_server` does.

    A `StreamWriter` that is still open when its event loop is closed raises from its
    finalizer in some releases of Python, in whichever test runs at that moment.
    """

    def __init__(self, handler):
        self._handler = handler
        self._writers = set()
        self._server = None

    @property
    def port(self):
        return self._server.sockets[0].getsockname()[1]

    async def start(self, port=0, **options):
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", port, **options
        )
        return self

    def close(self):
        """Stop listening; accepted connections go on."""
        self._server.close()

    async def aclose(self):
        """Stop listening and abort the accepted connections."""
        self.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    def _accept(self, reader, writer):
        # A handler that is cancelled before its first step can't register its writer.
        self._writers.add(writer)
        return self._handle(reader, writer)

    async def _handle(self, reader, writer):
        try:
            await self._handler(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()


async def start_listener(handler, port=0, **options):
    """Start a listener on the loopback address."""
    return await StreamListener(handler).start(port, **options)
