"""Opens connections to upstreams and reports each path's state."""

import socket

from mulberryway.controllers import path_monitoring
from mulberryway.upstreams import dialing

__all__ = ["MonitoredDialer"]


class MonitoredDialer(dialing.Dialer):
    """Connects to upstreams directly, and records the outcomes.

    :param monitor: this VM's view of its paths
    """

    def __init__(self, monitor: path_monitoring.PathMonitor) -> None:
        self._monitor = monitor

    def connect(self, address: str, timeout_ms: int) -> socket.socket:
        """Open a connection.

        :param address: the upstream's ``host:port``
        :param timeout_ms: timeout of the connect, in ms
        :returns: a connected socket
        :raises OSError: if the upstream cannot be reached
        """
        try:
            connection = dialing.connect_directly(address, timeout_ms)
        except OSError as failure:
            self._monitor.record_failure(address, failure)
            raise
        self._monitor.record_success(address)
        return connection
