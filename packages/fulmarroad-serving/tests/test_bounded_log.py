"""Bounded logging that never blocks a request."""

import json
import logging
import os

from fulmarroad_serving.bounded_log import QUEUE_LINES, BoundedLog


def make_log():
    read, write = os.pipe()
    os.set_blocking(write, False)
    return BoundedLog("router-a", write), read, write


def record(text="hello", event=0):
    made = logging.LogRecord("fulmarroad.test", logging.INFO, "", 0, text, None, None)
    made.event = event
    return made


class TestWriting:
    def test_a_line_is_one_json_object(self):
        log, read, _ = make_log()
        log.emit(record())
        log.write(10)
        row = json.loads(os.read(read, 4096))
        assert (row["message"], row["router"]) == ("hello", "router-a")

    def test_no_more_lines_than_requested_are_written(self):
        log, read, _ = make_log()
        for _ in range(50):
            log.emit(record())
        log.write(20)
        assert os.read(read, 1 << 16).count(b"\n") == 20

    def test_state_records_are_written_before_call_records(self):
        """A router gets more calls than its log rate allows. Records about its state
        must not wait behind call records: if the process were killed first, the reasons
        for its decisions would be lost.
        """
        log, read, _ = make_log()
        for _ in range(QUEUE_LINES + 30):
            log.emit(record(event=500))
        log.emit(record(event=421))
        log.write(1)
        assert json.loads(os.read(read, 1 << 16))["event"] == 421

    def test_a_full_pipe_neither_blocks_nor_truncates_lines(self):
        """The reader of the router's output stops reading for a while. A blocking write
        would stall every call in the process.
        """
        log, read, _ = make_log()
        for _ in range(300):
            # Longer than the pipe accepts in one write, so that writes are partial.
            log.emit(record("x" * 9_001))
        log.write(1_500)
        data = os.read(read, 1 << 20)
        while not data.endswith(b"\n") or log.waiting:
            log.write(1_500)
            data += os.read(read, 1 << 20)
        assert all(json.loads(line) for line in data.splitlines())

    def test_dropped_lines_are_counted_and_reported(self):
        log, read, _ = make_log()
        for _ in range(QUEUE_LINES + 30):
            log.emit(record())
        log.write(10)
        os.read(read, 1 << 16)
        while log.waiting:
            log.write(100)
            last = os.read(read, 1 << 20).splitlines()[-1]
        row = json.loads(last)
        assert (row["event"], row["lines"]) == (107, 30)

    def test_a_closed_output_raises_no_error(self):
        log, read, _ = make_log()
        os.close(read)
        log.emit(record())
        log.write(10)
        assert log.dropped == 1
