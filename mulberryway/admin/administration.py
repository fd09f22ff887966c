"""The operations of the administration API."""

import logging
import secrets
import threading
import typing

import expression

from mulberryway import errors
from mulberryway import tables
from mulberryway.admin import editor
from mulberryway.admin import fleet
from mulberryway.admin import response_builders
from mulberryway.admin import responses
from mulberryway.tables import changes
from mulberryway.tables import edits
from mulberryway.tables import parse

__all__ = ["Administration"]

LOG = logging.getLogger(__name__)

KEY_PREFIX = "mw_"
KEY_BYTES = 32
EDIT_TIMEOUT_MS = 10_000
MAX_WAIT_MS = 60_000
# Number of revisions between two garbage collections.  The VM that accepts the
# edit runs the collection, so no leader election is needed.
GC_REVISION_INTERVAL = 64

T = typing.TypeVar("T", bound=responses.Response)
Result = expression.Result[T, errors.Fault]


class Administration:
    """Carries out the operations of the administration API.

    :param editor_: writes edits to the platform
    :param fleet_: queries VMs and announces edits to them
    """

    def __init__(self, editor_: editor.Editor, fleet_: fleet.Fleet) -> None:
        self._editor = editor_
        self._fleet = fleet_

    def show(self) -> Result[responses.TablesResponse]:
        """Return the accepted tables."""
        return self._read_tables().map(response_builders.make_tables_response)

    def diff(self, text: str) -> Result[responses.DiffResponse]:
        """Return what applying the given tables would change.

        :param text: the tables as TOML
        """
        return parse.parse_rows(text).bind(
            lambda rows: self._read_tables().bind(
                lambda current: _diff(current, rows)
            )
        )

    def apply(
        self, operator: str, text: str, revision: int, edit_id: str
    ) -> Result[responses.EditResponse]:
        """Replace all tables.

        :param operator: the operator's name
        :param text: the tables as TOML
        :param revision: the revision on which the text is based; without it
            another operator's later edit would be reverted unnoticed
        :param edit_id: the edit's id
        """
        return parse.parse_rows(text).bind(
            lambda rows: self._submit(
                operator, changes.ReplaceAll(rows), edit_id, revision
            )
        )

    def put_row(
        self,
        operator: str,
        table: str,
        name: str,
        values: dict[str, typing.Any],
        expected: str | None,
        edit_id: str,
    ) -> Result[responses.EditResponse]:
        """Add or replace a row.

        :param operator: the operator's name
        :param table: the table's name
        :param name: the row's name
        :param values: the row's values by column
        :param expected: the digest of the row to replace, a precondition
        :param edit_id: the edit's id
        """
        change = changes.PutRow(table, name, values, expected)
        return self._submit(operator, change, edit_id)

    def delete_row(
        self,
        operator: str,
        table: str,
        name: str,
        expected: str | None,
        edit_id: str,
    ) -> Result[responses.EditResponse]:
        """Delete a row.

        :param operator: the operator's name
        :param table: the table's name
        :param name: the row's name
        :param expected: the digest of the row, a precondition
        :param edit_id: the edit's id
        """
        change = changes.DeleteRow(table, name, expected)
        return self._submit(operator, change, edit_id)

    def issue_key(
        self, operator: str, account: str, edit_id: str
    ) -> Result[responses.KeyResponse]:
        """Issue a key for a client account and return it once.

        :param operator: the operator's name
        :param account: the client account's name
        :param edit_id: the edit's id
        """
        key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
        digest = tables.digest_key(key)
        issued = self._submit(
            operator, changes.AddKey(account, digest), edit_id
        )
        return issued.bind(
            lambda response: self._check_issued(response, account, key, digest)
        )

    def revoke_key(
        self, operator: str, account: str, prefix: str, edit_id: str
    ) -> Result[responses.EditResponse]:
        """Revoke a key of a client account.

        :param operator: the operator's name
        :param account: the client account's name
        :param prefix: the first digits of the key's digest
        :param edit_id: the edit's id
        """
        if len(prefix) < response_builders.KEY_DIGEST_DIGITS:
            return _reject(
                errors.Code.BAD_REQUEST,
                f"expected at least {response_builders.KEY_DIGEST_DIGITS} "
                "digits of the key's digest",
            )
        change = changes.RevokeKey(account, prefix)
        return self._submit(operator, change, edit_id)

    def restore(
        self, operator: str, edit_id: str
    ) -> Result[responses.EditResponse]:
        """Restore the newest state of the VMs after a rollback of the store.

        :param operator: the operator's name
        :param edit_id: the edit's id
        """
        edit = edits.Edit(edit_id, operator, ())
        newest = self._fleet.fetch_newest_state()
        restored = newest.bind(
            lambda state: self._editor.restore(
                edit, state.root, state.segments, EDIT_TIMEOUT_MS
            )
        )
        return restored.map(
            lambda accepted: responses.EditResponse(edit_id, accepted.revision)
        )

    def read_history(self) -> Result[responses.HistoryResponse]:
        """Return past edits."""
        current_root = self._editor.accepted.read_root()
        return current_root.bind(
            lambda versioned: self._editor.accepted.read_history(
                versioned.root
            )
        ).map(response_builders.make_history_response)

    def wait(
        self, revision: int | None, timeout_ms: int
    ) -> Result[responses.RolloutResponse]:
        """Wait until a revision is in force on all VMs.

        :param revision: the revision; None for the accepted one
        :param timeout_ms: the maximum wait in ms; 0 to check only once
        """
        limit_ms = min(timeout_ms, MAX_WAIT_MS)
        if revision is not None:
            return expression.Ok(self._fleet.wait_in_force(revision, limit_ms))
        current_root = self._editor.accepted.read_root()
        return current_root.map(
            lambda versioned: self._fleet.wait_in_force(
                versioned.root.revision, limit_ms
            )
        )

    def read_status(self) -> Result[responses.StatusResponse]:
        """Return the state of VMs, pools and client accounts."""
        states = self._fleet.fetch_vm_states()
        return self._read_tables().map(
            lambda current: response_builders.make_status_response(
                current, states
            )
        )

    def _read_tables(
        self,
    ) -> expression.Result[tables.Tables, errors.Fault]:
        current_root = self._editor.accepted.read_root()
        return current_root.bind(
            lambda versioned: self._editor.accepted.read_tables(versioned.root)
        )

    def _submit(
        self,
        operator: str,
        change: changes.Change,
        edit_id: str,
        revision: int | None = None,
    ) -> Result[responses.EditResponse]:
        edit = edits.Edit(edit_id, operator, (change,), revision)
        submitted = self._editor.submit(edit, EDIT_TIMEOUT_MS)
        if submitted.is_error():
            LOG.warning(
                "edit %s of operator %s was rejected: %s: %s",
                edit_id,
                operator,
                edit.describe(),
                submitted.error.message,
            )
            return expression.Error(submitted.error)
        accepted = submitted.ok
        if accepted.revision % GC_REVISION_INTERVAL == 0:
            threading.Thread(
                target=self._editor.collect_garbage, daemon=True
            ).start()
        return expression.Ok(
            responses.EditResponse(edit_id, accepted.revision)
        )

    def _check_issued(
        self,
        response: responses.EditResponse,
        account: str,
        key: str,
        digest: str,
    ) -> Result[responses.KeyResponse]:
        """Return a key only if it is the one that the edit issued.

        An operator retries an edit whose response was lost.  The edit is
        idempotent and keeps the key of the first attempt, which was never
        shown; the key generated for the retry is not valid on any VM.
        """
        current = self._read_tables()
        if current.is_error():
            return expression.Error(current.error)
        row = current.ok.accounts.get(account)
        if row is None or digest not in row.key_digests:
            return _reject(
                errors.Code.CONFLICT,
                f"edit {response.edit_id} has already issued a key, or the "
                "key was revoked; a key is shown only once, so revoke it and "
                "issue another",
                errors.ExecutionStatus.RAN,
            )
        return expression.Ok(
            responses.KeyResponse(
                response.edit_id, response.revision, account, key, digest
            )
        )


def _diff(
    current: tables.Tables, rows: parse.EncodedTables
) -> Result[responses.DiffResponse]:
    edit = edits.Edit("diff", "", (changes.ReplaceAll(rows),))
    return edit.apply(current).map(
        lambda changed: responses.DiffResponse(
            current.revision, edits.diff_tables(current, changed)
        )
    )


def _reject(
    code: errors.Code,
    message: str,
    run: errors.ExecutionStatus = errors.ExecutionStatus.NOT_RUN,
) -> expression.Result[typing.Any, errors.Fault]:
    return expression.Error(
        errors.Fault(code, errors.Step.ADMIN, "", run, message)
    )
