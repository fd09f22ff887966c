"""A minimal reverse proxy, the baseline for the router's data path.

``python -m benchmarks.baseline_relay --port P --upstream HOST:PORT,...``
forwards request bodies to its upstreams in turn and streams the responses
back, with one thread for each stream.
"""

import collections.abc
import contextlib
import itertools
import signal
import typing

from absl import app
from absl import flags
from cheroot import wsgi
import urllib3

FLAGS = flags.FLAGS

flags.DEFINE_integer("port", 9500, "the port")
flags.DEFINE_list("upstream", [], "HOST:PORT of each engine")
flags.DEFINE_integer("threads", 300, "worker threads")
flags.DEFINE_integer("backlog", 1_024, "the listen backlog")

Environ = dict[str, typing.Any]
READ_BYTES = 65_536


class Relay:
    """A WSGI application that forwards to its upstreams in round-robin order.

    :param upstreams: ``host:port`` of each
    :param connections: maximum number of pooled connections per upstream
    """

    def __init__(self, upstreams: list[str], connections: int) -> None:
        self._upstreams = itertools.cycle(upstreams)
        self._pool = urllib3.PoolManager(maxsize=connections)

    def __call__(
        self,
        environ: Environ,
        start_response: collections.abc.Callable[..., typing.Any],
    ) -> collections.abc.Iterator[bytes]:
        size = int(environ.get("CONTENT_LENGTH") or 0)
        reply = self._pool.request(
            environ["REQUEST_METHOD"],
            f"http://{next(self._upstreams)}{environ['PATH_INFO']}",
            body=environ["wsgi.input"].read(size),
            preload_content=False,
            retries=False,
            redirect=False,
        )
        content_type = reply.headers.get("Content-Type", "text/plain")
        start_response(
            f"{reply.status} {reply.reason}", [("Content-Type", content_type)]
        )
        yield from reply.stream(READ_BYTES)
        reply.release_conn()


def main(_: collections.abc.Sequence[str]) -> None:
    """Serve until SIGTERM."""
    server = wsgi.Server(
        ("127.0.0.1", FLAGS.port),
        Relay(FLAGS.upstream, FLAGS.threads),
        numthreads=FLAGS.threads,
        request_queue_size=FLAGS.backlog,
    )

    def stop(*_: typing.Any) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    with contextlib.suppress(KeyboardInterrupt):
        server.safe_start()


if __name__ == "__main__":
    app.run(main)
