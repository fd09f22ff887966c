"""Statuses as promises: what a caller may repeat after them."""

import unittest

from mulberryway import errors
from mulberryway import replies
from mulberryway.upstreams import base as upstreams


def make(code, run, **fields):
    return errors.Fault(code, errors.Step.DECODE, run=run, **fields)


class ReplyTest(unittest.TestCase):
    def test_refusal_after_a_run_is_no_promise(self):
        """The last of several attempts was refused, and an earlier one may
        have run.  A caller who is told 503 repeats a booking.
        """
        for code in errors.Code:
            fault = make(code, errors.ExecutionStatus.MAY_HAVE_RUN)
            status = replies.choose_status(fault)
            self.assertNotIn(status, (408, 421, 429, 503), code)

    def test_failure_that_has_not_run_says_so(self):
        for code in (
            errors.Code.UPSTREAM_UNREACHABLE,
            errors.Code.DEADLINE_EXCEEDED,
        ):
            fault = make(code, errors.ExecutionStatus.NOT_RUN)
            style = replies.FaultFormat(is_retried_by_status=True)
            self.assertEqual(replies.choose_status(fault, style), 503)
            self.assertNotEqual(replies.choose_status(fault), 503)

    def test_wait_is_told_as_finely_as_callers_read_it(self):
        fault = make(
            errors.Code.OVERLOADED,
            errors.ExecutionStatus.NOT_RUN,
            retry_after_ms=250,
        )
        own = dict(replies.make_fault_reply(fault).headers)
        fine = replies.FaultFormat(has_fractional_retry_after=True)
        told = dict(replies.make_fault_reply(fault, style=fine).headers)
        self.assertEqual(own["Retry-After"], "1")
        self.assertEqual(told["Retry-After"], "0.250")

    def test_upstreams_own_answer_goes_on(self):
        answer = upstreams.ServiceReply(500, [("Server-Seal", "s")], b"x")
        fault = make(
            errors.Code.UPSTREAM_FAILED,
            errors.ExecutionStatus.RAN,
            answer=answer,
        )
        reply = replies.make_fault_reply(fault)
        self.assertEqual((reply.status, reply.body), (500, b"x"))
        self.assertEqual(reply.headers, answer.headers)
