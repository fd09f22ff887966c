"""Tests of the HTTP statuses that tell callers what they may retry."""

import unittest

from mulberryway import errors
from mulberryway import replies
from mulberryway.upstreams import base as upstreams


def make(code, run, **fields):
    return errors.Fault(code, errors.Step.DECODE, run=run, **fields)


class ReplyTest(unittest.TestCase):
    def test_rejection_after_a_run_allows_no_retry(self):
        """The last of several attempts was rejected, but an earlier one may
        have run.  With status 503 a caller would repeat a booking.
        """
        for code in errors.Code:
            fault = make(code, errors.ExecutionStatus.MAY_HAVE_RUN)
            status = replies.choose_status(fault)
            self.assertNotIn(status, (408, 421, 429, 503), code)

    def test_status_of_a_fault_that_has_not_run(self):
        for code in (
            errors.Code.UPSTREAM_UNREACHABLE,
            errors.Code.DEADLINE_EXCEEDED,
        ):
            fault = make(code, errors.ExecutionStatus.NOT_RUN)
            style = replies.FaultFormat(is_retried_by_status=True)
            self.assertEqual(replies.choose_status(fault, style), 503)
            self.assertNotEqual(replies.choose_status(fault), 503)

    def test_retry_after_precision(self):
        fault = make(
            errors.Code.OVERLOADED,
            errors.ExecutionStatus.NOT_RUN,
            retry_after_ms=250,
        )
        native = dict(replies.make_fault_reply(fault).headers)
        fractional = replies.FaultFormat(has_fractional_retry_after=True)
        fractional_headers = dict(
            replies.make_fault_reply(fault, style=fractional).headers
        )
        self.assertEqual(native["Retry-After"], "1")
        self.assertEqual(fractional_headers["Retry-After"], "0.250")

    def test_upstream_reply_is_forwarded(self):
        answer = upstreams.ServiceReply(500, [("Server-Seal", "s")], b"x")
        fault = make(
            errors.Code.UPSTREAM_FAILED,
            errors.ExecutionStatus.RAN,
            answer=answer,
        )
        reply = replies.make_fault_reply(fault)
        self.assertEqual((reply.status, reply.body), (500, b"x"))
        self.assertEqual(reply.headers, answer.headers)
