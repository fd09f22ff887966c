"""The command line for operators."""

import collections.abc
import json
import os
import pathlib
import re
import secrets
import sys
import tomllib
import typing
import urllib.parse

from absl import app
from absl import flags
import expression

from mulberryway import errors
from mulberryway.admin import client
from mulberryway.admin import text_output

__all__ = ["main", "run"]

FLAGS = flags.FLAGS
CREDENTIAL_VARIABLE = "MULBERRYWAY_CREDENTIAL"
URL_VARIABLE = "MULBERRYWAY_URL"
REVISION_LINE = re.compile(r"# revision ([0-9]+)$", re.MULTILINE)
EDIT_ID_BYTES = 8
FAILED_STATUS = 1
USAGE_STATUS = 2
NOT_IN_FORCE_STATUS = 3
USAGE = """mulberryway COMMAND ...

  show                        show the accepted tables
  diff FILE                   show what a file of tables would change
  apply FILE                  replace all tables by those in a file
  put TABLE.NAME FILE         add or replace one row
  delete TABLE.NAME           delete one row
  give-key ACCOUNT            issue a key, which is shown only once
  withdraw-key ACCOUNT DIGITS revoke the key whose digest starts with DIGITS
  history                     list past edits
  wait [REVISION]             wait until a revision is in force on all VMs
  restore                     restore a rolled-back store from the VMs
  status                      show VMs, pools and client accounts

The credential comes from --credential_file or MULBERRYWAY_CREDENTIAL, the
addresses of administration APIs from --url or MULBERRYWAY_URL."""

flags.DEFINE_list("url", [], "administration APIs, in order of preference")
flags.DEFINE_string(
    "credential_file", "", "file with the operator's credential"
)
flags.DEFINE_boolean("json", False, "print responses as JSON")
flags.DEFINE_string("edit_id", "", "id of the edit to retry")
flags.DEFINE_string("digest", None, "expected digest of the row")
flags.DEFINE_integer("revision", None, "revision that a file is based on")
flags.DEFINE_integer("wait_ms", 30_000, "maximum duration of wait, in ms")

JsonObject = dict[str, typing.Any]
Result = expression.Result[JsonObject, errors.Fault]
Arguments = collections.abc.Sequence[str]


class UsageError(Exception):
    """Raised for an invalid command line."""


class Command:
    """A command and how it is run.

    :param arguments: the valid numbers of arguments
    :param run: calls the administration API
    :param show: formats the response as text
    :param is_edit: whether the command edits, so a retry needs the edit's id
    """

    __slots__ = ("arguments", "run", "show", "is_edit")

    def __init__(
        self,
        arguments: tuple[int, ...],
        run: collections.abc.Callable[
            [client.AdminClient, Arguments, str], Result
        ],
        show: collections.abc.Callable[[JsonObject], str],
        is_edit: bool = False,
    ) -> None:
        self.arguments = arguments
        self.run = run
        self.show = show
        self.is_edit = is_edit


def _show(
    api: client.AdminClient, operands: Arguments, edit_id: str
) -> Result:
    return api.call("GET", "/v1/tables")


def _diff(
    api: client.AdminClient, operands: Arguments, edit_id: str
) -> Result:
    return api.call("POST", "/v1/diff", {"text": _read_file(operands[0])})


def _apply(
    api: client.AdminClient, operands: Arguments, edit_id: str
) -> Result:
    text = _read_file(operands[0])
    match = REVISION_LINE.search(text)
    revision = FLAGS.revision
    if revision is None and match is not None:
        revision = int(match[1])
    if revision is None:
        raise UsageError(
            "expected --revision N or a line '# revision N' as printed by "
            "show: the revision on which the file is based, 0 for the first"
        )
    body = {"text": text, "revision": revision}
    return api.edit("PUT", "/v1/tables", body, edit_id)


def _put(api: client.AdminClient, operands: Arguments, edit_id: str) -> Result:
    try:
        values = tomllib.loads(_read_file(operands[1]))
    except tomllib.TOMLDecodeError as error:
        raise UsageError(
            f"{operands[1]}: expected valid TOML ({error})"
        ) from error
    body = {"values": values, "digest": FLAGS.digest}
    return api.edit("PUT", _row_path(operands[0]), body, edit_id)


def _delete(
    api: client.AdminClient, operands: Arguments, edit_id: str
) -> Result:
    body = {"digest": FLAGS.digest}
    return api.edit("DELETE", _row_path(operands[0]), body, edit_id)


def _issue_key(
    api: client.AdminClient, operands: Arguments, edit_id: str
) -> Result:
    return api.edit("POST", f"{_account_path(operands[0])}/keys", {}, edit_id)


def _revoke_key(
    api: client.AdminClient, operands: Arguments, edit_id: str
) -> Result:
    digits = urllib.parse.quote(operands[1].lower(), safe="")
    path = f"{_account_path(operands[0])}/keys/{digits}"
    return api.edit("DELETE", path, {}, edit_id)


def _restore(
    api: client.AdminClient, operands: Arguments, edit_id: str
) -> Result:
    return api.edit("POST", "/v1/restore", {}, edit_id)


def _read_history(
    api: client.AdminClient, operands: Arguments, edit_id: str
) -> Result:
    return api.call("GET", "/v1/history")


def _wait(
    api: client.AdminClient, operands: Arguments, edit_id: str
) -> Result:
    query = {"wait_ms": str(FLAGS.wait_ms)}
    if operands:
        query["revision"] = operands[0]
    return api.call("GET", f"/v1/in_force?{urllib.parse.urlencode(query)}")


def _read_status(
    api: client.AdminClient, operands: Arguments, edit_id: str
) -> Result:
    return api.call("GET", "/v1/status")


COMMANDS = {
    "show": Command((0,), _show, text_output.format_tables),
    "diff": Command((1,), _diff, text_output.format_diff),
    "apply": Command((1,), _apply, text_output.format_edit, True),
    "put": Command((2,), _put, text_output.format_edit, True),
    "delete": Command((1,), _delete, text_output.format_edit, True),
    "give-key": Command((1,), _issue_key, text_output.format_key, True),
    "withdraw-key": Command((2,), _revoke_key, text_output.format_edit, True),
    "history": Command((0,), _read_history, text_output.format_history),
    "wait": Command((0, 1), _wait, text_output.format_rollout),
    "restore": Command((0,), _restore, text_output.format_edit, True),
    "status": Command((0,), _read_status, text_output.format_status),
}


def main(arguments: Arguments) -> int:
    """Run one command.

    :param arguments: the program's name, the command and its arguments
    :returns: the exit status: 0; 1 for a fault, 2 for an invalid command
        line, 3 if ``wait`` ended before the revision was in force
    """
    command = COMMANDS.get(arguments[1]) if len(arguments) > 1 else None
    operands = arguments[2:]
    if command is None or len(operands) not in command.arguments:
        print(USAGE, file=sys.stderr)
        return USAGE_STATUS
    edit_id = FLAGS.edit_id or secrets.token_hex(EDIT_ID_BYTES)
    try:
        result = command.run(_make_client(), operands, edit_id)
    except UsageError as error:
        print(error, file=sys.stderr)
        return USAGE_STATUS
    if result.is_error():
        _print_fault(result.error, edit_id if command.is_edit else "")
        return FAILED_STATUS
    response = result.ok
    print(json.dumps(response) if FLAGS.json else command.show(response))
    return 0 if response.get("is_in_force", True) else NOT_IN_FORCE_STATUS


def _make_client() -> client.AdminClient:
    urls = FLAGS.url or os.environ.get(URL_VARIABLE, "").split(",")
    urls = tuple(filter(None, urls))
    if not urls:
        raise UsageError(f"expected --url or {URL_VARIABLE}")
    if FLAGS.credential_file:
        credential = _read_file(FLAGS.credential_file).strip()
    else:
        credential = os.environ.get(CREDENTIAL_VARIABLE, "").strip()
    if not credential:
        # The credential is not a command-line argument, because all users of
        # a machine can read those.
        raise UsageError(
            f"expected --credential_file or {CREDENTIAL_VARIABLE}"
        )
    return client.AdminClient(urls, credential)


def _print_fault(fault: errors.Fault, edit_id: str) -> None:
    body = {
        "code": fault.code.value,
        "message": fault.message,
        "step": fault.step.value,
        "peer": fault.peer,
        "run": fault.run.value,
        "retry_after_ms": fault.retry_after_ms,
    }
    if edit_id:
        body["edit_id"] = edit_id
    if FLAGS.json:
        print(json.dumps({"error": body}))
        return
    print(f"{fault.code.value}: {fault.message}", file=sys.stderr)
    if edit_id and fault.run is errors.ExecutionStatus.MAY_HAVE_RUN:
        print(
            "the edit may have been accepted; retry the command with "
            f"--edit_id {edit_id}, which is idempotent",
            file=sys.stderr,
        )


def _read_file(name: str) -> str:
    try:
        return pathlib.Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{name}: expected a readable text file") from error


def _row_path(row: str) -> str:
    table, dot, name = row.partition(".")
    if not dot:
        raise UsageError(f"{row}: expected TABLE.NAME")
    parts = (urllib.parse.quote(part, safe="") for part in (table, name))
    return "/v1/tables/" + "/".join(parts)


def _account_path(account: str) -> str:
    return f"/v1/accounts/{urllib.parse.quote(account, safe='')}"


def run() -> None:
    """Run the program; the entry point of the package."""
    app.run(main)


if __name__ == "__main__":
    run()
