"""The program of an entry VM on the operators' platform."""

import signal
import sys
import threading
import types

from absl import app
from absl import flags

from mulberryway import errors
from mulberryway import hosted
from mulberryway import logs
from mulberryway import settings

__all__ = ["main", "run"]

FLAGS = flags.FLAGS
BAD_SETTINGS = 2

flags.DEFINE_string("settings", None, "the TOML file with the settings")


def main(arguments: list[str]) -> int:
    """Run an entry VM until it is told to stop.

    :param arguments: the command line without flags
    :returns: the exit status
    """
    try:
        read = settings.read_settings(FLAGS.settings)
    except errors.SettingsError as error:
        print(error.fault.message, file=sys.stderr)
        return BAD_SETTINGS
    logs.set_up(read.vm_name, read.telemetry_log_level, read.telemetry_debug)
    assembled = hosted.HostedAssembly(read)
    stops = _catch_signals()
    assembled.start()
    stops.acquire()
    worker = threading.Thread(target=assembled.stop, name="stop", daemon=True)
    worker.start()
    # A second signal ends the wait for what runs.
    while worker.is_alive() and not stops.acquire(timeout=0.1):
        continue
    return 0


def run() -> None:
    """Start the program; the entry point of the package."""
    flags.mark_flag_as_required("settings")
    app.run(main)


def _catch_signals() -> threading.Semaphore:
    stops = threading.Semaphore(0)

    def note(number: int, frame: types.FrameType | None) -> None:
        stops.release()

    signal.signal(signal.SIGTERM, note)
    signal.signal(signal.SIGINT, note)
    return stops


if __name__ == "__main__":
    run()
