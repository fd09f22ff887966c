"""Tests of rate limiting and non-blocking writes of logs."""

import io
import json
import logging
import os
import threading
import time
import unittest

from mulberryway import logs


def make_record(text, level=logging.INFO, created=1_000.0):
    record = logging.makeLogRecord(
        {"name": "t", "levelno": level, "msg": text, "levelname": "INFO"}
    )
    record.created = created
    return record


class BoundedHandlerTest(unittest.TestCase):
    def make(self, stream, max_lines_per_s=1_000):
        handler = logs.BoundedHandler(stream, max_lines_per_s)
        handler.setFormatter(logs.JsonFormatter("vm1"))
        return handler

    def test_lines_are_json(self):
        stream = io.StringIO()
        handler = self.make(stream)
        handler.emit(make_record("hello"))
        handler.flush()
        line = json.loads(stream.getvalue())
        self.assertEqual((line["vm"], line["message"]), ("vm1", "hello"))

    def test_records_that_cannot_be_formatted(self):
        """Guards against a record that ends the thread which writes the logs,
        so that a VM tells nothing any more.
        """
        deep = []
        for _ in range(5_000):
            deep = [deep]
        circular = {}
        circular["x"] = circular
        for odd in (deep, circular, {("a", "b"): 1}):
            stream = io.StringIO()
            handler = self.make(stream)
            record = make_record("odd")
            setattr(record, logs.FIELDS, {"value": odd})
            handler.emit(record)
            handler.emit(make_record("%d of %d"))
            record = make_record("%d of %d")
            record.args = (1,)
            handler.emit(record)
            handler.emit(make_record("sound"))
            handler.flush()
            lines = list(map(json.loads, stream.getvalue().splitlines()))
            self.assertEqual(len(lines), 4)
            self.assertEqual(lines[-1]["message"], "sound")
            self.assertIn("could not be formatted", lines[0]["message"])

    def test_rate_limit_leaves_room_for_warnings(self):
        """A burst produces more lines than the rate limit.  Writing them all
        would take CPU time from streams, but warnings must get through.
        """
        stream = io.StringIO()
        handler = self.make(stream, 10)
        for _ in range(50):
            handler.emit(make_record("ordinary"))
        handler.emit(make_record("warning", logging.WARNING))
        handler.flush()
        text = stream.getvalue()
        self.assertEqual(text.count('"ordinary"'), 8)
        self.assertEqual(text.count('"warning"'), 1)
        handler.emit(make_record("later", created=1_001.0))
        handler.flush()
        self.assertIn('"count": 42', stream.getvalue())

    def test_blocked_reader_does_not_block_logging(self):
        """The reader of standard output has stopped.  A blocking write to the
        full pipe would stop every thread that logs, and with it all streams.
        """
        reader, writer = os.pipe()
        stream = os.fdopen(writer, "w")
        handler = self.make(stream, 1_000_000)
        filler = "x" * 1_000
        durations_s = []
        for _ in range(logs.MAX_QUEUED_RECORDS + 500):
            started_s = time.monotonic()
            handler.emit(make_record(filler))
            durations_s.append(time.monotonic() - started_s)
        self.assertLess(
            sorted(durations_s)[len(durations_s) * 99 // 100], 0.005
        )
        self.assertGreater(handler.dropped, 0)
        # A reader that resumes gets the queued lines, and the thread ends.
        drained = threading.Thread(
            target=lambda: os.read(reader, 1 << 20), daemon=True
        )
        drained.start()
        drained.join(1)
