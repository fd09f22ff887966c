"""The program that runs a router."""

import sys

from absl import app
from absl import flags

from mulberryway import assembly
from mulberryway import errors
from mulberryway import logs
from mulberryway import settings
from mulberryway.commands import process

__all__ = ["main", "run"]

FLAGS = flags.FLAGS
BAD_SETTINGS_STATUS = 2

flags.DEFINE_string("settings", None, "the TOML file with the settings")


def main(arguments: list[str]) -> int:
    """Run a router until a signal to stop, and exit.

    :param arguments: the command line without flags
    :returns: the exit status for invalid settings; else it does not return
    """
    try:
        read = settings.read_settings(FLAGS.settings)
    except errors.SettingsError as error:
        print(error.fault.message, file=sys.stderr)
        return BAD_SETTINGS_STATUS
    logs.set_up(read.vm_name, read.telemetry_log_level, read.telemetry_debug)
    process.run_until_stopped(assembly.Assembly(read))
    process.exit_at_once(0)


def run() -> None:
    """Run the program; the entry point of the package."""
    flags.mark_flag_as_required("settings")
    app.run(main)


if __name__ == "__main__":
    run()
