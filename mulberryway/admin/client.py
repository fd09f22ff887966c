"""Calls the administration API; what the operators' command is made of."""

import collections.abc
import json
import typing
import urllib.parse

import expression
import urllib3

from mulberryway import errors

__all__ = ["AdminClient"]

Reply = dict[str, typing.Any]
Result = expression.Result[Reply, errors.Fault]

CONNECT_S = 3.0
# The server tries an edit for ten seconds and waits a minute at most.
READ_S = 75.0
ROUNDS = 2


class AdminClient:
    """Calls one of several administration APIs.

    Every VM has one and none is special, so the next is called when one
    cannot be reached or its reply is lost.  An edit keeps its id over all
    these calls and therefore counts once.

    :param urls: addresses, as ``http://host:port``
    :param credential: the operator's
    """

    def __init__(self, urls: tuple[str, ...], credential: str) -> None:
        self._urls = urls
        self._headers = {
            "Authorization": f"Bearer {credential}",
            "Content-Type": "application/json",
        }
        self._pool = urllib3.PoolManager()

    def call(
        self, method: str, path: str, body: Reply | None = None
    ) -> Result:
        """Call an operation.

        :param method: the HTTP method
        :param path: the path with its query
        :param body: the JSON object to send; an edit's holds ``edit_id``
        :returns: the answer's object, or a fault
        """
        result: Result = expression.Error(
            _fault(errors.Code.BAD_REQUEST, "", "expected an address")
        )
        unknown = False
        for url in self._urls * ROUNDS:
            result = self._call_one(url, method, path, body)
            if result.is_ok() or result.error.step is not errors.Step.PEER:
                return result
            unknown = (
                unknown
                or result.error.run is not errors.ExecutionStatus.NOT_RUN
            )
        if unknown:
            result.error.run = errors.ExecutionStatus.MAY_HAVE_RUN
        return result

    def edit(
        self,
        method: str,
        path: str,
        body: collections.abc.Mapping[str, typing.Any],
        edit_id: str,
    ) -> Result:
        """Call an operation that edits.

        :param method: the HTTP method
        :param path: the path
        :param body: the JSON object to send
        :param edit_id: the edit's own id
        :returns: the answer's object, or a fault
        """
        return self.call(method, path, {**body, "edit_id": edit_id})

    def _call_one(
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
            answer = json.loads(response.data)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return _unreached(peer, error, errors.ExecutionStatus.NOT_RUN)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return _unreached(peer, error, errors.ExecutionStatus.MAY_HAVE_RUN)
        if response.status < 300:
            return expression.Ok(answer)
        return expression.Error(_read_fault(answer, peer))


def _unreached(
    peer: str, error: Exception, run: errors.ExecutionStatus
) -> Result:
    fault = _fault(
        errors.Code.PEER_UNREACHABLE, peer, f"{peer}: {type(error).__name__}"
    )
    fault.run = run
    return expression.Error(fault)


def _read_fault(answer: typing.Any, peer: str) -> errors.Fault:
    try:
        found = answer["error"]
        return errors.Fault(
            errors.Code(found["code"]),
            errors.Step(found["step"]),
            found["peer"],
            errors.ExecutionStatus(found["run"]),
            found["message"],
            found["retry_after_ms"],
        )
    except (KeyError, TypeError, ValueError):
        return _fault(errors.Code.INTERNAL, peer, "the answer is malformed")


def _fault(code: errors.Code, peer: str, message: str) -> errors.Fault:
    return errors.Fault(code, errors.Step.PEER, peer, message=message)
