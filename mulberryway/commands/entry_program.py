"""Runs an entry VM on the operators' platform."""

import sys

from mulberryway import errors
from mulberryway import hosted
from mulberryway import logs
from mulberryway import settings
from mulberryway.commands import process

__all__ = ["run_vm"]

BAD_SETTINGS_STATUS = 2


def run_vm(file: str) -> int:
    """Run an entry VM until a signal to stop, and exit.

    :param file: the settings file
    :returns: the exit status for invalid settings; else it does not return
    """
    try:
        read = settings.read_settings(file)
    except errors.SettingsError as error:
        print(error.fault.message, file=sys.stderr)
        return BAD_SETTINGS_STATUS
    logs.set_up(read.vm_name, read.telemetry_log_level, read.telemetry_debug)
    assembled = hosted.HostedAssembly(read, file=file)
    process.run_until_stopped(assembled, assembled.reloading.wake)
    process.exit_at_once(0)
