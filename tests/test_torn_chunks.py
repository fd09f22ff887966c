"""Tests of answers that break off within their chunks."""

from tests import test_torn_heads

HEAD = (
    test_torn_heads.STATUS
    + b"Attempt-Id: a\r\nX-Request-Id: a\r\n"
    + test_torn_heads.SEAL
    + test_torn_heads.CHUNKED
    + b"\r\n"
)
BODY = b"first part, second part"
# The sizes of these chunks begin with zeros.
CHUNKS = b"0000000c\r\nfirst part, \r\n0000000b\r\nsecond part\r\n0\r\n\r\n"


class TornChunksTest(test_torn_heads.OneAnswerCase):
    def check(self, call):
        complete = len(CHUNKS) - len(b"\r\n")
        for end in range(len(CHUNKS) + 1):
            with self.subTest(CHUNKS[:end]):
                result = self.call(HEAD + CHUNKS[:end], call)
                if result.is_ok():
                    self.assertGreaterEqual(end, complete)
                    self.assertEqual(result.ok.body, BODY)
                elif end == len(CHUNKS):
                    self.fail(result.error)

    def test_plain_call(self):
        """Guards against bodies that look whole because the size of their
        next chunk breaks off after its leading zeros.
        """
        self.check(test_torn_heads.call_plain)

    def test_native_plain_call(self):
        self.check(test_torn_heads.call_native_service)
