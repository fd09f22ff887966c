"""The program that runs an entry VM on the operators' platform."""

import faulthandler
import gc
import importlib
import signal
import sys

from absl import flags

__all__ = ["main", "run"]

FLAGS = flags.FLAGS

flags.DEFINE_string("settings", None, "the TOML file with the settings")


def main(arguments: list[str]) -> int:
    """Run an entry VM until a signal to stop.

    :param arguments: the command line without flags
    :returns: the exit status; 2 for invalid settings
    """
    # Nearly all that a start creates lives as long as the process, so a
    # collection finds next to nothing; Router.start enables it.
    gc.disable()
    program = importlib.import_module("mulberryway.commands.entry_program")
    status: int = program.run_vm(FLAGS.settings)
    return status


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
        # The settings are read later, so a reload until then needs no work;
        # without a handler the signal would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        sys.exit(main(arguments))


if __name__ == "__main__":
    run()
