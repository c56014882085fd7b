"""Log lines that never hold a request up."""

import json
import logging
import os

from fulmarroad_serving.bounded_log import QUEUE_LINES, BoundedLog


def make():
    read, write = os.pipe()
    os.set_blocking(write, False)
    return BoundedLog("router-a", write), read, write


def record(text="hello", event=0):
    made = logging.LogRecord("fulmarroad.test", logging.INFO, "", 0, text, None, None)
    made.event = event
    return made


class TestWriting:
    def test_a_line_is_one_json_object(self):
        log, read, _ = make()
        log.emit(record())
        log.write(10)
        row = json.loads(os.read(read, 4096))
        assert (row["message"], row["router"]) == ("hello", "router-a")

    def test_no_more_than_the_rate_is_written(self):
        log, read, _ = make()
        for _ in range(50):
            log.emit(record())
        log.write(20)
        assert os.read(read, 1 << 16).count(b"\n") == 20

    def test_what_the_router_believes_goes_before_lines_of_calls(self):
        """A router carries more calls than it may write lines of. What it came to
        believe meanwhile must not wait behind them: the process may be killed first,
        and nobody could tell what it went by.
        """
        log, read, _ = make()
        for _ in range(QUEUE_LINES + 30):
            log.emit(record(event=500))
        log.emit(record(event=421))
        log.write(1)
        assert json.loads(os.read(read, 1 << 16))["event"] == 421

    def test_a_full_pipe_holds_nobody_up_and_cuts_no_line(self):
        """Nobody reads the router's output for a while. A write that waited would stop
        every call in the process.
        """
        log, read, _ = make()
        for _ in range(300):
            # Longer than a pipe takes in one piece, so that lines are cut on the way.
            log.emit(record("x" * 9_001))
        log.write(1_500)
        data = os.read(read, 1 << 20)
        while not data.endswith(b"\n") or log.waiting:
            log.write(1_500)
            data += os.read(read, 1 << 20)
        assert all(json.loads(line) for line in data.splitlines())

    def test_lines_that_come_too_fast_are_counted(self):
        log, read, _ = make()
        for _ in range(QUEUE_LINES + 30):
            log.emit(record())
        log.write(10)
        os.read(read, 1 << 16)
        while log.waiting:
            log.write(100)
            last = os.read(read, 1 << 20).splitlines()[-1]
        row = json.loads(last)
        assert (row["event"], row["lines"]) == (107, 30)

    def test_an_output_that_is_gone_ends_nothing(self):
        log, read, _ = make()
        os.close(read)
        log.emit(record())
        log.write(10)
        assert log.dropped == 1
