"""The program that serves the administration API."""

import collections.abc
import signal
import sys
import threading

from absl import app
from absl import flags

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import settings
from mulberryway.admin import server

__all__ = ["main", "run"]

FLAGS = flags.FLAGS
BAD_SETTINGS_STATUS = 2

flags.DEFINE_string("settings", None, "the VM's settings, a TOML file")


def main(arguments: collections.abc.Sequence[str]) -> int:
    """Serve the administration API until a signal to stop.

    :param arguments: the command line without flags
    :returns: the exit status; 2 for invalid settings
    """
    try:
        settings_ = settings.read_settings(FLAGS.settings)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return BAD_SETTINGS_STATUS
    logs.set_up(
        settings_.vm_name,
        settings_.telemetry_log_level,
        settings_.telemetry_debug,
    )
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    admin = server.AdminServer(settings_, clock.SystemClock())
    admin.start()
    stopping.wait()
    admin.stop()
    return 0


def run() -> None:
    """Run the program; the entry point of the package."""
    flags.mark_flag_as_required("settings")
    app.run(main)


if __name__ == "__main__":
    run()
