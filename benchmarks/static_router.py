"""Runs a router with static tables, for ``benchmarks.relay``."""

import collections.abc
import signal
import threading

from absl import app
from absl import flags
import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import router
from mulberryway import settings
from mulberryway import tables
from mulberryway.filters import native_api
from mulberryway.policy import allowance
from mulberryway.policy import endpoints
from mulberryway.policy import scheduler

__all__ = ["run"]

FLAGS = flags.FLAGS
KEY = "k"
SLOTS = 128

flags.DEFINE_integer("port", 9400, "the port")
flags.DEFINE_list("upstream", [], "the engines' host:port")


class FixedTables(tables.TableSource):
    """A table source whose tables never change."""

    def __init__(self, current: tables.Tables) -> None:
        self._current = current

    def get_tables(self) -> tables.Tables:
        return self._current

    def subscribe(
        self, on_change: collections.abc.Callable[[tables.Tables], None]
    ) -> None:
        pass


class UnlimitedAllowances(allowance.Allowances):
    """Grants every request; ``benchmarks.allowances`` measures allowances."""

    def reserve(
        self, account: str, tokens: int
    ) -> expression.Result[allowance.Reservation, errors.Fault]:
        return expression.Ok(allowance.Reservation(account, tokens))

    def settle(self, reservation: allowance.Reservation, used: int) -> None:
        pass


class EmptyDirectory(endpoints.EndpointDirectory):
    """Lists no entry addresses."""

    def list_addresses(self, caller_zone: str) -> list[endpoints.Endpoint]:
        return []


def make_tables() -> tables.Tables:
    """Return tables with one route to all engines and one account."""
    engines = tuple(
        tables.Upstream(
            f"e{number}", address, "kandy-a", tables.UpstreamRole.BOTH
        )
        for number, address in enumerate(FLAGS.upstream)
    )
    pool = tables.Pool(
        "lm-pool", tables.PoolKind.MODEL, engines, ("m",), slots=SLOTS
    )
    route = tables.Route("lm", "/v1/completions", "lm-pool", ("m",))
    account = tables.ClientAccount(
        "bench", (tables.digest_key(KEY),), 1_000_000, 1_000_000
    )
    return tables.Tables(1, (route,), (pool,), (account,))


def main(arguments: list[str]) -> None:
    """Serve until SIGTERM."""
    settings_ = settings.Settings()
    settings_.vm_name = "bench"
    settings_.vm_zone = "kandy-a"
    settings_.router_port = FLAGS.port
    router_ = router.Router(
        settings_,
        clock.SystemClock(),
        1,
        FixedTables(make_tables()),
        scheduler.FairScheduler("bench"),
        UnlimitedAllowances(),
        EmptyDirectory(),
        native_api.NativeApi(),
    )
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    router_.start()
    stopping.wait()
    router_.stop(graceful=False)


def run() -> None:
    """Parse the command line and serve."""
    app.run(main)


if __name__ == "__main__":
    run()
