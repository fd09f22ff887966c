"""Callers that resume their streams, and what they received."""

import collections
import concurrent.futures
import http.client
import itertools
import time

from tests import hosted_fleet

EVENT_COUNT = 20
# Requests that a caller sends for one stream, and how long it waits at most
# before it sends the next one.
MAX_REQUESTS = 4
MAX_PAUSE_S = 1.0
DEADLINE_MS = 14_000


class ResumedStream:
    """One stream that a caller received by one or several requests.

    :param name: the attempt id of its first request
    """

    def __init__(self, name):
        self.name = name
        # Pairs of the event's id and the version that wrote it.
        self.events = []
        self.statuses = []
        # The number of events after the first request.
        self.first_count = 0
        # The attempt id of the request that brought the first event.
        self.resumes = ""

    def is_mixed(self):
        """Return whether two versions wrote events of this stream."""
        return len({version for _, version in self.events}) > 1

    def has_begun(self):
        return bool(self.events)

    def has_resumed(self):
        """Return whether a later request brought events."""
        return len(self.events) > self.first_count > 0

    def is_complete(self):
        return [id_ for id_, _ in self.events] == list(
            range(1, EVENT_COUNT + 1)
        )


class StreamCaller:
    """Receives one stream; drops its connection at an event if told so.

    :param port: the port of the VM that begins the stream
    :param stream: records what is received
    :param path: the path to request
    """

    def __init__(self, port, stream, path):
        self._port = port
        self._stream = stream
        self._path = f"{path}{stream.name}"

    def begin(self, drop_at=EVENT_COUNT + 1, key="k-large"):
        """Read the stream until its end, until it is cut, or to an event."""
        self._request(self._port, self._stream.name, {}, drop_at, key)
        self._stream.first_count = len(self._stream.events)

    def resume(self, port, key="k-large"):
        """Request the rest of the stream until it is complete.

        :param port: the port of the VM
        :param key: the API key
        """
        stream = self._stream
        for number in range(1, MAX_REQUESTS):
            if not stream.events or stream.is_complete():
                return
            headers = {
                "Last-Event-Id": str(stream.events[-1][0]),
                "Resumes": stream.resumes,
            }
            attempt = f"{stream.name}-{number}"
            pause_s = self._request(port, attempt, headers, key=key)
            time.sleep(min(pause_s, MAX_PAUSE_S))

    def _request(
        self, port, attempt, headers, drop_at=EVENT_COUNT + 1, key="k-large"
    ):
        """Send one request; return when to send the next one, in seconds."""
        connection = hosted_fleet.connect(port)
        sent = {
            "Host": hosted_fleet.SITE,
            "Attempt-Id": attempt,
            "Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Token {key}",
            **hosted_fleet.STREAM,
            **headers,
        }
        try:
            connection.request("POST", self._path, b"{}", sent)
            reply = connection.getresponse()
            self._stream.statuses.append(reply.status)
            if reply.status == 200:
                self._read_events(reply, attempt, drop_at)
            return float(reply.headers.get("Retry-After") or 0)
        except (OSError, http.client.HTTPException):
            # What was received before counts; the rest is requested anew.
            return 0.0
        finally:
            connection.close()

    def _read_events(self, reply, attempt, drop_at):
        id_ = 0
        while line := reply.readline():
            name, _, value = line.decode().strip().partition(": ")
            if name == "id":
                id_ = int(value)
            elif name == "data":
                self._stream.resumes = self._stream.resumes or attempt
                self._stream.events.append((id_, value.split()[1]))
                if id_ == drop_at:
                    return


def run_all(callers, call):
    """Call a function with each caller, all at the same time."""
    with concurrent.futures.ThreadPoolExecutor(len(callers)) as pool:
        list(pool.map(call, callers))


def describe(streams):
    """Return the outcomes of some streams in one line."""
    begun = [stream for stream in streams if stream.has_begun()]
    resumed = [stream for stream in begun if stream.has_resumed()]
    statuses = collections.Counter(
        itertools.chain.from_iterable(
            stream.statuses[1:] for stream in streams
        )
    )
    return (
        f"{len(streams)} sent, {len(begun)} begun, "
        f"{len(resumed)} resumed, "
        f"{sum(stream.is_complete() for stream in streams)} complete, "
        f"{sum(stream.is_mixed() for stream in streams)} mixed; "
        f"statuses of returns: {dict(statuses)}"
    )
