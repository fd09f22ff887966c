"""Logs: bounded in rate, never waited for, and without loss unseen."""

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
    def make(self, stream, most_per_s=1_000):
        handler = logs.BoundedHandler(stream, most_per_s)
        handler.setFormatter(logs.JsonFormatter("vm1"))
        return handler

    def test_lines_are_json(self):
        stream = io.StringIO()
        handler = self.make(stream)
        handler.emit(make_record("hello"))
        handler.flush()
        line = json.loads(stream.getvalue())
        self.assertEqual((line["vm"], line["message"]), ("vm1", "hello"))

    def test_second_has_a_limit_and_warnings_have_room(self):
        """A burst brings more lines than a VM may write.  Lines would take
        the processor time that streams need; warnings still come through.
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

    def test_blocked_reader_holds_nobody_up(self):
        """Whoever reads standard output has stopped.  A write to the full
        pipe would hold up whoever logs, and with it every stream.
        """
        reader, writer = os.pipe()
        stream = os.fdopen(writer, "w")
        handler = self.make(stream, 1_000_000)
        filler = "x" * 1_000
        took = []
        for _ in range(logs.MAX_QUEUED_RECORDS + 500):
            began = time.monotonic()
            handler.emit(make_record(filler))
            took.append(time.monotonic() - began)
        self.assertLess(sorted(took)[len(took) * 99 // 100], 0.005)
        self.assertGreater(handler.dropped, 0)
        # A reader that comes back gets what was kept, and ends the thread.
        drained = threading.Thread(
            target=lambda: os.read(reader, 1 << 20), daemon=True
        )
        drained.start()
        drained.join(1)
