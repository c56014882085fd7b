"""Streams taken up at a router out of step: the tool's parts, and two short runs."""

import functools
import signal
import subprocess
import sys
import time

import anyio
import psutil
import pytest

from fulmarroad_bench._form_options import log_directory
from fulmarroad_bench._platform_routers import default_tree, loopback_network
from fulmarroad_bench._processes import run_main
from fulmarroad_bench._soak_callers import Answer, Stream
from fulmarroad_bench._soak_counts import count_reasons, count_streams
from fulmarroad_bench._soak_engine import EVENTS
from fulmarroad_bench._soak_forms import FORMS
from fulmarroad_bench._soak_network import PeerNetwork
from fulmarroad_bench._soak_run import RunPlan, run_form
from fulmarroad_bench._soak_world import WorldPlan
from fulmarroad_platform.standin_store import WATCH_PATH, StandInStore, StoreLink

COMMAND = [sys.executable, "-m", "fulmarroad_bench.out_of_step"]
MODULE_NETWORKS = iter(range(1, 100))
SETTLE_S = 2.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def host():
    network = loopback_network(next(MODULE_NETWORKS))
    return lambda number: f"{network}.{number}"


def answer(numbers, version, status=200, complete=True):
    row = Answer(status=status, complete=complete, seconds=0.5)
    row.on_body(b"".join(b"id: %d\ndata: %s\n\n" % (n, version) for n in numbers))
    return row


def taken_up(second, named=True):
    begun = answer(range(1, 11), b"v2", complete=False)
    return Stream("s", named, "large", begun, second)


class TestCounts:
    @pytest.mark.parametrize(
        ("second", "went_on", "two_versions", "refused"),
        [
            (answer(range(11, EVENTS + 1), b"v2"), 1, 0, {}),
            (answer(range(11, EVENTS + 1), b"v1"), 1, 1, {}),
            (answer(range(11, 13), b"v1", complete=False), 0, 1, {}),
            (answer(range(10, EVENTS + 1), b"v2"), 0, 0, {}),
            (answer(range(12, EVENTS + 1), b"v2"), 0, 0, {}),
            (answer([], b"", status=503), 0, 0, {"503": 1}),
            (answer([], b"", status=0, complete=False), 0, 0, {"0": 1}),
        ],
    )
    def test_a_stream_counts_by_the_versions_and_numbers_of_its_events(
        self, second, went_on, two_versions, refused
    ):
        """Guard against a run that misses a text of two versions, or a lost event."""
        figures = count_streams([taken_up(second)], [])
        named = figures["named"]
        assert (named["went_on"], named["two_versions"]) == (went_on, two_versions)
        assert named["refused"] == refused
        assert figures["two_versions"] == two_versions
        assert figures["unnamed"]["taken_up"] == 0


class TestReasons:
    def test_logs_of_an_earlier_run_do_not_count(self, tmp_path):
        """Guard against figures that add up two runs with the same log directory."""
        line = '{"event": 501, "route": "r", "outcome": "stream_unknown"}\n'
        for _ in range(2):
            directory = log_directory(str(tmp_path), "cut_1_killed", 1)
            with (directory / "router-1.log").open("a") as log:
                log.write(line)
        logs = [directory / "router-1.log"]
        assert count_reasons(logs) == {"stream_unknown": 1}


class TestPeerNetwork:
    @pytest.mark.anyio
    async def test_packets_pass_with_their_senders_host_unless_cut(self, host):
        """Guard against cuts that cut nothing, and relays that routers can't answer."""
        hosts, ports = [host(2), host(3)], [7440, 7441]
        network = PeerNetwork(hosts, ports)
        async with anyio.create_task_group() as group:
            await network.serve(group)
            first, second = [
                await anyio.create_udp_socket(local_host=name, local_port=port)
                for name, port in zip(hosts, ports, strict=True)
            ]
            async with first, second:
                network.isolate([1])
                await first.sendto(b"lost", hosts[1], ports[0])
                await anyio.sleep(0.05)
                network.rejoin()
                await first.sendto(b"sent", hosts[1], ports[0])
                with anyio.fail_after(5):
                    assert await second.receive() == (b"sent", (hosts[0], ports[1]))
            group.cancel_scope.cancel()

    @pytest.mark.anyio
    async def test_connections_wait_for_the_end_of_a_cut(self, host):
        hosts, ports = [host(2), host(3)], [7440, 7441]
        network = PeerNetwork(hosts, ports)
        async with anyio.create_task_group() as group:
            await network.serve(group)
            listener = await anyio.create_tcp_listener(
                local_host=hosts[1], local_port=ports[1]
            )
            group.start_soon(listener.serve, _greet)
            network.isolate([0])
            async with await anyio.connect_tcp(hosts[1], ports[0]) as stream:
                with anyio.move_on_after(0.1) as wait:
                    await stream.receive()
                assert wait.cancelled_caught
                network.rejoin()
                # Routers pull copies over half-closed connections.
                await stream.send(b"name")
                await stream.send_eof()
                with anyio.fail_after(5):
                    assert await stream.receive() == b"hello name"
            group.cancel_scope.cancel()


async def _greet(stream):
    async with stream:
        name = b"".join([data async for data in stream])
        await stream.send(b"hello " + name)


class TestStoreLink:
    @pytest.mark.anyio
    async def test_a_cut_holds_back_one_link_only(self, host):
        """Guard against cuts that answer the late router, or silence the others."""
        store, cut, whole = StandInStore(), StoreLink(), StoreLink()
        store.put_server("s-1", {})
        target = f"{WATCH_PATH}?After=1&WaitTimeMs=1"
        request = f"GET {target} HTTP/1.1\r\n\r\n".encode()
        async with anyio.create_task_group() as group:
            await store.serve(host(1), 7430, group, cut)
            await store.serve(host(1), 7431, group, whole)
            cut.cut()
            async with (
                await anyio.connect_tcp(host(1), 7430) as late,
                await anyio.connect_tcp(host(1), 7431) as other,
            ):
                await late.send(request)
                await other.send(request)
                with anyio.fail_after(5):
                    assert b"s-1" in await other.receive()
                with anyio.move_on_after(0.1) as wait:
                    await late.receive()
                assert wait.cancelled_caught
                cut.mend()
                with anyio.fail_after(5):
                    assert b"s-1" in await late.receive()
            group.cancel_scope.cancel()


class TestCommand:
    @pytest.mark.parametrize(
        ("options", "word"),
        [
            (["--form", "cut_1_kiled"], "cut_1_kiled"),
            (["--seeds", "0"], "at least one"),
            (["--seeds", "many"], "'many'"),
            (["--settle", "soon"], "'soon'"),
            (["--tree", "/no/such/checkout"], "/no/such/checkout"),
        ],
    )
    def test_bad_input_ends_with_one_line_that_names_it(self, options, word):
        done = subprocess.run([*COMMAND, *options], capture_output=True, text=True)
        assert done.returncode == 2
        assert word in done.stderr
        assert done.stderr.count("\n") == 1

    @pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
    def test_no_process_stays_when_it_is_interrupted(self, number):
        """Guard against routers that stand still for good after Ctrl-C."""
        tool = subprocess.Popen(
            [*COMMAND, "--form", "stopped_6_killed", "--settle", "1"],
            stderr=subprocess.DEVNULL,
        )
        children = _wait_for_stopped_child(tool)
        tool.send_signal(number)
        assert tool.wait(30) != 0
        assert psutil.wait_procs(children, 1)[1] == []


def _wait_for_stopped_child(tool):
    until = time.monotonic() + 30
    while time.monotonic() < until:
        children = psutil.Process(tool.pid).children()
        if any(child.status() == psutil.STATUS_STOPPED for child in children):
            return children
        time.sleep(0.05)
    raise AssertionError("no router was stopped")


class TestForms:
    @pytest.mark.parametrize("form", ["cut_1_killed", "one_version_back"])
    def test_no_caller_gets_a_text_of_two_versions(self, form):
        """Guard against routers that take an old list of servers for complete."""
        network = loopback_network(next(MODULE_NETWORKS))
        world = WorldPlan(default_tree(), network, SETTLE_S)
        figures = run_main(functools.partial(run_form, RunPlan(FORMS[form], 1, world)))
        assert figures["taken_up"] > 0
        assert figures["two_versions"] == 0
