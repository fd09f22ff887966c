"""Reloads the settings file when it changes."""

import collections.abc
import logging

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import settings
from mulberryway.controllers import base

__all__ = ["SettingsReloadController"]

LOG = logging.getLogger(__name__)

# The file may change without a signal.  Outdated seeds are harmless for a
# while, so frequent checks are not needed.
PERIOD_MS = 2_000

OnChange = collections.abc.Callable[[settings.Settings], None]


class SettingsReloadController(base.Controller):
    """Reads the settings file periodically.

    If the changed file is invalid, the previous settings stay active and the
    error is logged.

    :param file: the file's name; empty for none
    :param on_change: called with the new settings
    :param clock_: the clock
    """

    def __init__(
        self, file: str, on_change: OnChange, clock_: clock.Clock
    ) -> None:
        super().__init__("reloading", clock_, PERIOD_MS)
        self._file = file
        self._on_change = on_change
        self._known = settings.read_bytes(file) if file else b""

    def step(self) -> None:
        """Read the file if it has changed."""
        if not self._file:
            return
        content = settings.read_bytes(self._file)
        if content == self._known:
            return
        self._known = content
        try:
            read = settings.read_settings(self._file)
        except errors.SettingsError as error:
            LOG.error(
                "the changed settings file is invalid",
                extra=logs.make_extra(error.fault),
            )
            return
        LOG.info("the changed settings are active")
        self._on_change(read)
