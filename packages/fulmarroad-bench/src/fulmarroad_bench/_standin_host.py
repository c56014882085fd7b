"""Run several stand-ins of one kind in one process, with one control port."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

import anyio

from fulmarroad_bench._server import (
    App,
    Listener,
    Receive,
    Scope,
    Send,
    read_call,
    respond_json,
    run,
    wait_for_signal,
)

PORT_CHECK_S = 0.02
"""Seconds between checks whether a closed port has been bound again."""


class StandIn(Protocol):
    """Define what `StandInHost` needs of a stand-in."""

    name: str
    listener: Listener | None

    @property
    def app(self) -> App:
        """Return the app of the data port."""

    @property
    def control_app(self) -> App:
        """Return the app of the control paths."""

    async def run(self) -> None:
        """Run the stand-in's background work until cancelled."""


class Controlled(Protocol):
    """Define what `handle_control_request` needs of a stand-in."""

    async def control(self, order: dict[str, Any]) -> None:
        """Apply a control order of the scenario."""

    def report(self) -> dict[str, Any]:
        """Return the records of the calls received."""


async def handle_control_request(
    standin: Controlled, scope: Scope, receive: Receive, send: Send
) -> None:
    """Answer one call to a stand-in's control paths."""
    call = await read_call(scope, receive)
    if call.path.endswith("/control"):
        await standin.control(call.json())
        await respond_json(send, 200, {"ok": True})
    elif call.path.endswith("/records"):
        await respond_json(send, 200, standin.report())
    else:
        await respond_json(send, 404, {"error": "no such path"})


class StandInHost:
    """Serve stand-ins on their data ports, and one control port for all of them."""

    def __init__(
        self, standins: Sequence[StandIn], ports: Sequence[int], control_port: int = 0
    ) -> None:
        self._standins = {standin.name: standin for standin in standins}
        for standin, port in zip(standins, ports, strict=True):
            standin.listener = Listener(standin.app, port)
            standin.listener.bind()
        self.control = Listener(self._control_app, control_port)
        self.control.bind()

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as group:
            for standin in self._standins.values():
                group.start_soon(standin.run)
                group.start_soon(self._serve_when_bound, standin)
            group.start_soon(self.control.serve)

    def announce(self) -> None:
        """Print the address of each stand-in and of the control port."""
        for standin in self._standins.values():
            if standin.listener is not None:
                print(f"{standin.name} on {standin.listener.address}", flush=True)
        print(f"control on {self.control.address}", flush=True)

    async def _serve_when_bound(self, standin: StandIn) -> None:
        """Serve a stand-in's port whenever it is bound."""
        while True:
            if standin.listener is not None and standin.listener.bound:
                await standin.listener.serve()
            await anyio.sleep(PORT_CHECK_S)

    async def _control_app(self, scope: Scope, receive: Receive, send: Send) -> None:
        name = scope["path"].strip("/").split("/")[0]
        standin = self._standins.get(name)
        if standin is None and len(self._standins) == 1:
            standin = next(iter(self._standins.values()))
        if standin is None:
            await respond_json(send, 404, {"error": "no such stand-in"})
            return
        await standin.control_app(scope, receive, send)


def as_tuple(value: object) -> tuple[str, ...]:
    """Return the values of a command-line option that accepts several with commas.

    Fire parses some such lists into tuples and leaves others as text, depending on the
    characters in them.
    """
    if isinstance(value, list | tuple):
        return tuple(str(item) for item in value)
    return tuple(str(value).split(","))


def run_standins(
    standins: Sequence[StandIn], ports: Sequence[int], control_port: int
) -> None:
    """Serve stand-ins until SIGTERM or SIGINT."""

    async def serve() -> None:
        host = StandInHost(standins, ports, control_port)
        async with anyio.create_task_group() as group:
            group.start_soon(host.run)
            host.announce()
            await wait_for_signal()
            group.cancel_scope.cancel()

    run(serve)
