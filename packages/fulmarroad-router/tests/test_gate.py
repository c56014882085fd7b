"""The gate serves while draining and refuses only once closed."""

import anyio
import pytest

from fulmarroad.types import RefusalReason
from fulmarroad_router.gate import CallGate


@pytest.fixture
def anyio_backend():
    return "asyncio"


class TestCallGate:
    def test_refuses_before_tables_are_in_force(self):
        assert CallGate().refusal() is RefusalReason.NOT_READY

    def test_serves_while_draining(self):
        # The balancer learns late that a router is unready; a caller that it sends
        # meanwhile would otherwise be turned away by a shutdown.
        gate = CallGate()
        gate.open()
        gate.drain()
        assert not gate.ready
        assert gate.refusal() is None

    def test_never_opens_again(self):
        gate = CallGate()
        gate.open()
        gate.close()
        gate.drain()
        gate.open()
        assert gate.refusal() is RefusalReason.SHUTTING_DOWN

    @pytest.mark.anyio
    async def test_waits_for_calls_in_flight(self):
        gate = CallGate()
        gate.enter()
        order = []

        async def waiter():
            await gate.wait_idle()
            order.append("idle")

        async with anyio.create_task_group() as group:
            group.start_soon(waiter)
            await anyio.lowlevel.checkpoint()
            await anyio.lowlevel.checkpoint()
            order.append("left")
            gate.leave()
        assert order == ["left", "idle"]
