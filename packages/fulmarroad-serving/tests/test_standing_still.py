"""A process that stood still, and what came meanwhile and waits in its sockets."""

import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from serving_bed import answer

TIMEOUT_S = 0.5
STOPPED_AFTER_S = 0.1
STOOD_STILL_S = 0.8

ANSWER = f"""
import asyncio, sys
import anyio
from fulmarroad_serving._connection import BackendConnection
from fulmarroad_serving.contracts import AnswerHead

async def main():
    loop = asyncio.get_running_loop()
    server = "127.0.0.1", int(sys.argv[1])
    _, connection = await loop.create_connection(BackendConnection, *server)
    connection.send(b"GET / HTTP/1.1\\r\\n\\r\\n", lambda status, _: AnswerHead(status))
    try:
        print((await connection.head({TIMEOUT_S})).status)
    except Exception as error:
        print(type(error).__name__)

anyio.run(main, backend_options={{"use_uvloop": True}})
"""
"""Program that waits for an answer on the event loop of production."""

REPLY = f"""
import sys
import anyio
from fulmarroad_serving.exceptions import StoreError
from fulmarroad_serving.http_client import HttpClient

async def main():
    client = HttpClient("127.0.0.1", int(sys.argv[1]))
    try:
        print((await client.get("/", {TIMEOUT_S})).status)
    except StoreError:
        print("StoreError")

anyio.run(main, backend_options={{"use_uvloop": True}})
"""
"""Program that waits for a reply of the store."""

PACKET = """
import sys
import anyio
from fulmarroad.datagrams import PacketSocket
from fulmarroad_serving._timers import sleep_and_read, wait_at_most

async def main():
    received, replied = [], anyio.Event()

    def receive(data, host):
        received.append(data)
        replied.set()

    with PacketSocket("127.0.0.1", 0, receive, print) as packets:
        packets.send(b"%d" % packets.port, "127.0.0.1", int(sys.argv[1]))
        await WAIT
        print(received)

anyio.run(main, backend_options={"use_uvloop": True})
"""
"""Program that waits for a reply by a packet."""

WAITS = [f"wait_at_most(replied, {TIMEOUT_S})", f"sleep_and_read({TIMEOUT_S})"]


class StoppedProgram:
    """Run a program and stop it while it waits; SIGCONT ends its system call early,
    so its event loop runs timers before it reads.
    """

    def __init__(self, text, port):
        command = [sys.executable, "-c", text, str(port)]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def stop_during(self, happen):
        """Stop the program, let something happen, and return what it prints later."""
        time.sleep(STOPPED_AFTER_S)
        self.process.send_signal(signal.SIGSTOP)
        try:
            os.waitid(os.P_PID, self.process.pid, os.WSTOPPED)
            happen()
            time.sleep(STOOD_STILL_S)
        finally:
            self.process.send_signal(signal.SIGCONT)
        return self.process.communicate(timeout=20.0)[0].strip()


class TestStandingStill:
    @pytest.mark.parametrize(
        ("text", "sent", "printed"),
        [
            (ANSWER, answer(200), "200"),
            (ANSWER, b"", "SilentServerError"),
            (REPLY, answer(200), "200"),
            (REPLY, b"", "StoreError"),
        ],
        ids=["server", "silent server", "store", "silent store"],
    )
    def test_an_answer_that_came_in_time_is_read_after_its_timeout(
        self, text, sent, printed
    ):
        """Guard against callers who get a timeout for an answer that waits in a socket,
        as the process stood still until after the deadline.
        """
        with socket.create_server(("127.0.0.1", 0)) as server:
            program = StoppedProgram(text, server.getsockname()[1])
            connection, _ = server.accept()
            with connection:
                connection.recv(4096)
                assert program.stop_during(lambda: connection.sendall(sent)) == printed

    @pytest.mark.parametrize("wait", WAITS)
    def test_a_packet_that_came_in_time_is_read_before_its_wait_ends(self, wait):
        """Guard against an owner that counts as silent, as this process stood still
        while the reply waited in its socket.
        """
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.1", 0))
            peer.settimeout(20.0)
            program = StoppedProgram(
                PACKET.replace("WAIT", wait), peer.getsockname()[1]
            )
            address = "127.0.0.1", int(peer.recv(100))
            printed = program.stop_during(lambda: peer.sendto(b"reply", address))
            assert printed == "[b'reply']"
