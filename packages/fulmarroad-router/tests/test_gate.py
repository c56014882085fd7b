"""Tests of the gate: calls are accepted while draining and refused once closed."""

import anyio
import pytest

from fulmarroad.types import RefusalReason
from fulmarroad_router.gate import CallGate


@pytest.fixture
def anyio_backend():
    return "asyncio"


class TestCallGate:
    def test_refuses_calls_until_opened(self):
        assert CallGate().refusal() is RefusalReason.NOT_READY

    def test_accepts_calls_while_draining(self):
        # The load balancer detects only after a delay that a router is not ready. Calls
        # that it sends until then must not be refused.
        gate = CallGate()
        gate.open()
        gate.drain()
        assert not gate.ready
        assert gate.refusal() is None

    def test_closed_gate_cannot_be_reopened(self):
        gate = CallGate()
        gate.open()
        gate.close()
        gate.drain()
        gate.open()
        assert gate.refusal() is RefusalReason.SHUTTING_DOWN

    @pytest.mark.anyio
    async def test_wait_idle_waits_for_calls_in_flight(self):
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
