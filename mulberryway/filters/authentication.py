"""Authenticates requests by their API key."""

import expression

from mulberryway import errors
from mulberryway import tables
from mulberryway.filters import base
from mulberryway.filters import credentials

__all__ = ["Authentication", "revalidate_key"]

SCHEME = "bearer "
RETRY_AFTER_MS = 1_000


class Authentication(base.Filter):
    """Checks the API key of each request and removes it from the request.

    The key is checked per request, not per connection, because keys may be
    revoked while a connection is open.

    :param source: provides the active tables
    :param scheme: the prefix of the key in ``Authorization``
    :param scrubs_whole_request: whether the key is removed from the whole
        request; if not, only headers are checked and the body is forwarded
        unchanged
    """

    def __init__(
        self,
        source: tables.TableSource,
        scheme: str = SCHEME,
        scrubs_whole_request: bool = True,
    ) -> None:
        self._source = source
        self._scheme = scheme
        self._scrubs_whole_request = scrubs_whole_request

    def handle(
        self, exchange: base.Exchange, proceed: base.NextHandler
    ) -> base.Answer:
        """Forward a request with a valid key, without the key.

        :param exchange: the request
        :param proceed: the rest of the chain
        :returns: the chain's answer, or a fault
        """
        active = self._source.get_tables()
        if active is None:
            return expression.Error(
                errors.Fault(
                    errors.Code.NO_CONFIGURATION,
                    errors.Step.TABLES,
                    message="no configuration has been loaded yet",
                    retry_after_ms=RETRY_AFTER_MS,
                )
            )
        key = _read_key(exchange, self._scheme)
        digest = tables.digest_key(key)
        account = active.find_account(digest) if key else None
        if account is None and has_public_route(active, exchange):
            account = tables.ANONYMOUS_ACCOUNT
        if account is None:
            return expression.Error(_reject())
        exchange.tables = active
        exchange.key_digest = digest
        exchange.account = account
        if not self._scrubs_whole_request:
            credentials.strip_key_headers(exchange, key)
            return proceed(exchange)
        cleaned = credentials.CredentialScrubber(key).scrub(exchange)
        if cleaned.is_error():
            return expression.Error(cleaned.error)
        return proceed(exchange)


def revalidate_key(
    source: tables.TableSource, exchange: base.Exchange, step: errors.Step
) -> expression.Result[None, errors.Fault]:
    """Check that a request's key still belongs to its account.

    A request may wait in the queue for seconds.  If its key was revoked in the
    meantime, it must not run.

    :param source: provides the active tables
    :param exchange: the request
    :param step: the step to report in the fault
    :returns: nothing, or ``UNAUTHENTICATED``
    """
    active = source.get_tables()
    if active is not None and has_public_route(active, exchange):
        return expression.Ok(None)
    account = (
        None if active is None else active.find_account(exchange.key_digest)
    )
    if account is None or account.name != exchange.account.name:
        return expression.Error(_reject(step))
    return expression.Ok(None)


def has_public_route(active: tables.Tables, exchange: base.Exchange) -> bool:
    """Return whether a request needs no key.

    :param active: the active tables
    :param exchange: the request
    :returns: whether its route is public
    """
    host = (exchange.find_header("host") or "").partition(":")[0]
    route = active.find_route(exchange.path, host.lower())
    return route is not None and route.is_public


def _read_key(exchange: base.Exchange, scheme: str) -> str:
    value = exchange.find_header("authorization") or ""
    if not value.lower().startswith(scheme):
        return ""
    return value[len(scheme) :].strip()


def _reject(step: errors.Step = errors.Step.CALLER) -> errors.Fault:
    return errors.Fault(
        errors.Code.UNAUTHENTICATED, step, message="no valid API key"
    )
