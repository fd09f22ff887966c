"""The HTTP server of the administration API."""

import logging
import random
import threading

from cheroot import wsgi

from mulberryway import clock
from mulberryway import peers
from mulberryway import settings
from mulberryway.admin import administration
from mulberryway.admin import api
from mulberryway.admin import calls
from mulberryway.admin import editor
from mulberryway.admin import fleet
from mulberryway.objects import call_metrics
from mulberryway.objects import http

__all__ = ["AdminServer"]

LOG = logging.getLogger(__name__)

MS_IN_S = 1_000
# A request that waits for a revision occupies a thread for up to a minute, but
# there are few operators.
THREADS = 16
BACKLOG = 64
HEADER_BYTES = 16_384
IDLE_TIMEOUT_S = 30
SHUTDOWN_TIMEOUT_S = 15
POLL_S = 0.01
# Announcing all tables sends about a megabyte, which a VM needs time to parse.
PEER_TIMEOUT_MS = 2_000


class AdminServer:
    """Serves the administration API; keeps no state of its own.

    :param settings_: the VM's settings
    :param clock_: the clock
    """

    def __init__(
        self, settings_: settings.Settings, clock_: clock.Clock
    ) -> None:
        self.counts = call_metrics.InMemoryCallCounter()
        store = http.HttpObjectStore(
            settings_.platform_url,
            settings_.platform_timeout_ms,
            clock_,
            self.counts,
        )
        self._client = peers.PeerClient(
            settings_.peers_secret, clock_, PEER_TIMEOUT_MS
        )
        self._fleet = fleet.Fleet(
            self._client,
            f"{settings_.vm_address}:{settings_.peers_port}",
            clock_,
            settings_.configuration_fresh_ms,
            random.Random(),
        )
        editor_ = editor.Editor(
            store,
            clock_,
            random.Random(),
            self._fleet.read_revision,
            self._fleet.announce,
        )
        self.administration = administration.Administration(
            editor_, self._fleet
        )
        self._server = self._make_server(settings_)
        self._thread = threading.Thread(
            target=self._server.serve, name="admin", daemon=True
        )

    @property
    def port(self) -> int:
        """The port on which the API is served."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Start serving on background threads."""
        self._server.prepare()
        self._thread.start()
        LOG.info("the administration API serves on port %d", self.port)

    def stop(self) -> None:
        """Wait for running requests, then stop."""
        self._fleet.stop_waiting()
        self._server.stop()
        self._thread.join(SHUTDOWN_TIMEOUT_S)
        self._fleet.close()
        self._client.close()

    def _make_server(self, settings_: settings.Settings) -> wsgi.Server:
        operators = calls.OperatorAuthenticator(settings_.admin_operators)
        server = wsgi.Server(
            (settings_.vm_address, settings_.admin_port),
            api.AdminApi(self.administration, operators),
            numthreads=THREADS,
            server_name="mulberryway-admin",
            max=THREADS,
            request_queue_size=BACKLOG,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            accepted_queue_size=BACKLOG,
            accepted_queue_timeout=0,
        )
        server.max_request_header_size = HEADER_BYTES
        server.max_request_body_size = calls.MAX_BODY_BYTES
        return server
