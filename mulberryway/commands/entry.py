"""The program that runs an entry VM on the operators' platform."""

import faulthandler
import importlib
import sys

from absl import flags

from mulberryway import errors
from mulberryway import hosted
from mulberryway import logs
from mulberryway import settings
from mulberryway.commands import process

__all__ = ["main", "run"]

FLAGS = flags.FLAGS
BAD_SETTINGS_STATUS = 2

flags.DEFINE_string("settings", None, "the TOML file with the settings")


def main(arguments: list[str]) -> int:
    """Run an entry VM until a signal to stop.

    :param arguments: the command line without flags
    :returns: the exit status; 2 for invalid settings
    """
    try:
        read = settings.read_settings(FLAGS.settings)
    except errors.SettingsError as error:
        print(error.fault.message, file=sys.stderr)
        return BAD_SETTINGS_STATUS
    logs.set_up(read.vm_name, read.telemetry_log_level, read.telemetry_debug)
    assembled = hosted.HostedAssembly(read, file=FLAGS.settings)
    process.run_until_stopped(assembled, assembled.reloading.wake)
    return 0


def run() -> None:
    """Run the program; the entry point of the package."""
    flags.mark_flag_as_required("settings")
    try:
        arguments = FLAGS(sys.argv)
    except flags.Error:
        # Explains the flags and exits; its import loads a debugger, which
        # each start of a VM would pay for.
        importlib.import_module("absl.app").run(main)
    else:
        faulthandler.enable()
        sys.exit(main(arguments))


if __name__ == "__main__":
    run()
