"""The client of the administration API."""

import collections.abc
import json
import typing
import urllib.parse

import expression
import urllib3

from mulberryway import errors
from mulberryway import response_heads

__all__ = ["AdminClient"]

Reply = dict[str, typing.Any]
Result = expression.Result[Reply, errors.Fault]

CONNECT_S = 3.0
# Above the server's timeouts: 10 s for an edit, 60 s for a wait.
READ_S = 75.0
ROUNDS = 2


class AdminClient:
    """Calls one of several administration APIs, with failover.

    The APIs of all VMs are equivalent, so the next one is called when one is
    unreachable or its response is lost.  An edit keeps its id over all
    attempts, which makes it idempotent.

    :param urls: the APIs, as ``http://host:port``
    :param credential: the operator's credential
    """

    def __init__(self, urls: tuple[str, ...], credential: str) -> None:
        self._urls = urls
        self._headers = {
            "Authorization": f"Bearer {credential}",
            "Content-Type": "application/json",
        }
        self._pool = response_heads.make_pools()

    def call(
        self, method: str, path: str, body: Reply | None = None
    ) -> Result:
        """Call an operation.

        :param method: the HTTP method
        :param path: the path with its query
        :param body: the JSON object to send; it must contain ``edit_id`` for
            an edit
        :returns: the JSON object of the response, or a fault
        """
        result: Result = expression.Error(
            _make_fault(
                errors.Code.BAD_REQUEST, "", "expected at least one address"
            )
        )
        is_ambiguous = False
        for url in self._urls * ROUNDS:
            result = self._call_url(url, method, path, body)
            if result.is_ok() or result.error.step is not errors.Step.PEER:
                return result
            is_ambiguous = (
                is_ambiguous
                or result.error.run is not errors.ExecutionStatus.NOT_RUN
            )
        if is_ambiguous:
            result.error.run = errors.ExecutionStatus.MAY_HAVE_RUN
        return result

    def edit(
        self,
        method: str,
        path: str,
        body: collections.abc.Mapping[str, typing.Any],
        edit_id: str,
    ) -> Result:
        """Call an operation that changes the tables.

        :param method: the HTTP method
        :param path: the path
        :param body: the JSON object to send
        :param edit_id: the edit's id
        :returns: the JSON object of the response, or a fault
        """
        return self.call(method, path, {**body, "edit_id": edit_id})

    def _call_url(
        self, url: str, method: str, path: str, body: Reply | None
    ) -> Result:
        peer = urllib.parse.urlsplit(url).netloc
        data = None if body is None else json.dumps(body).encode()
        try:
            response = self._pool.request(
                method,
                url.rstrip("/") + path,
                body=data,
                headers=self._headers,
                timeout=urllib3.Timeout(connect=CONNECT_S, read=READ_S),
                retries=False,
                redirect=False,
            )
            decoded = json.loads(response.data)
            if not isinstance(decoded, dict):
                raise ValueError("expected an object")
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return _make_unreachable(
                peer, error, errors.ExecutionStatus.NOT_RUN
            )
        except (
            urllib3.exceptions.HTTPError,
            ValueError,
            RecursionError,
        ) as error:
            return _make_unreachable(
                peer, error, errors.ExecutionStatus.MAY_HAVE_RUN
            )
        if response.status < 300:
            return expression.Ok(decoded)
        return expression.Error(_parse_fault(decoded, peer))


def _make_unreachable(
    peer: str, error: Exception, run: errors.ExecutionStatus
) -> Result:
    fault = _make_fault(
        errors.Code.PEER_UNREACHABLE, peer, f"{peer}: {type(error).__name__}"
    )
    fault.run = run
    return expression.Error(fault)


def _parse_fault(decoded: typing.Any, peer: str) -> errors.Fault:
    try:
        error = decoded["error"]
        return errors.Fault(
            errors.Code(error["code"]),
            errors.Step(error["step"]),
            error["peer"],
            errors.ExecutionStatus(error["run"]),
            error["message"],
            error["retry_after_ms"],
        )
    except (KeyError, TypeError, ValueError):
        return _make_fault(
            errors.Code.INTERNAL, peer, "the response is malformed"
        )


def _make_fault(code: errors.Code, peer: str, message: str) -> errors.Fault:
    return errors.Fault(code, errors.Step.PEER, peer, message=message)
