"""Routes batches by statement type and transaction state.

Statements that need no endpoint are answered here. A plain BEGIN is answered
at once; the block gets its endpoint with its first statement, so a transaction
that starts with reads starts on a replica and moves to the primary with its
first write. Session variables are stored in the session and set again on each
connection that the session uses.
"""

import collections.abc

from bronzehold.connection import blocks
from bronzehold.connection import executor as executor_lib
from bronzehold.connection import messages
from bronzehold.connection import session as session_lib
from bronzehold.core import errors
from bronzehold.request import batch as batch_lib
from bronzehold.request import classify


class Router:
    """Routes the batches of one caller; used only by the caller's task."""

    def __init__(
        self,
        *,
        executor: executor_lib.Executor,
        session: session_lib.Session,
        send: collections.abc.Callable[[bytes], None],
    ):
        self._executor = executor
        self._session = session
        self._send = send

    def _send_done(self, batch: batch_lib.Batch, tag: str) -> None:
        self._send(batch_lib.command_answer(batch, tag, self._state()))

    def route(self, batch: batch_lib.Batch) -> str:
        """Routes a batch and returns the SQLSTATE of its error, "" for none.

        Raises:
            errors.FailureError: The batch could not be answered.
        """
        match self._executor.block:
            case blocks.Failed():
                return self._route_failed(batch)
            case blocks.Pinned():
                return self._route_pinned(batch)
            case _:
                return self._route_unpinned(batch)

    def _route_failed(self, batch: batch_lib.Batch) -> str:
        match batch.statement:
            case classify.Commit() | classify.Rollback():
                if batch.executes:
                    self._executor.end_block(keep=False)
                self._send_done(batch, "ROLLBACK")
            case classify.Empty():
                self._send_done(batch, "")
            case _:
                raise errors.FailureError(errors.InFailedTransaction())
        return ""

    def _route_unpinned(self, batch: batch_lib.Batch) -> str:
        match batch.statement:
            case classify.Empty():
                self._send_done(batch, "")
            case classify.Refused(what=what):
                raise errors.FailureError(errors.Unsupported(feature=what))
            case classify.SetVar() as assignment if self._is_handled_locally(
                assignment
            ):
                self._set(batch, assignment)
                self._send_done(batch, "SET")
            case classify.ShowVar(name=name) if (
                self._own_value(name) is not None
            ):
                self._show(batch, name)
            case classify.ResetVars(tag=tag, name=name):
                if batch.executes:
                    self._reset(tag, name)
                self._send_done(batch, tag)
            case classify.Begin() as begin if (
                begin.default_options or begin.read_only
            ):
                if batch.executes and self._is_idle():
                    self._session.begin()
                    self._executor.block = blocks.Deferred(
                        read_only=begin.read_only
                    )
                self._send_done(batch, "BEGIN")
            case classify.Commit():
                if batch.executes:
                    self._executor.end_block(keep=True)
                self._send_done(batch, "COMMIT")
            case classify.Rollback():
                if batch.executes:
                    self._executor.end_block(keep=False)
                self._send_done(batch, "ROLLBACK")
            case classify.Read() | classify.ShowVar():
                return self._executor.read(batch)
            case _:
                return self._executor.write(batch)
        return ""

    def _state(self) -> bytes:
        return blocks.state(self._executor.block)

    def _is_idle(self) -> bool:
        return isinstance(self._executor.block, blocks.Idle)

    def _is_handled_locally(self, assignment: classify.SetVar) -> bool:
        is_own = assignment.name.lower().startswith(session_lib.OWN_PREFIX)
        return is_own or not assignment.local

    def _own_value(self, name: str) -> str | None:
        return self._session.show(name)

    def _show(self, batch: batch_lib.Batch, name: str) -> None:
        value = self._own_value(name) or ""
        self._send(batch_lib.variable_answer(batch, name, value, self._state()))

    def _set(self, batch: batch_lib.Batch, assignment: classify.SetVar) -> None:
        if batch.executes:
            self._session.set(
                assignment.name,
                assignment.value,
                local=assignment.local and not self._is_idle(),
                sql=assignment.sql,
            )

    def _reset(self, tag: str, name: str) -> None:
        self._session.reset(name)
        if tag == "DISCARD ALL":
            self._session.names.statements.clear()

    def _route_pinned(self, batch: batch_lib.Batch) -> str:
        pinned = self._executor.block
        if pinned.state == messages.IN_FAILED_TRANSACTION:
            return self._executor.run_pinned(batch)
        match batch.statement:
            case classify.Refused(what=what):
                raise errors.FailureError(errors.Unsupported(feature=what))
            case classify.SetVar() as assignment:
                self._set(batch, assignment)
                is_own = assignment.name.lower().startswith(
                    session_lib.OWN_PREFIX
                )
                if is_own:
                    self._send_done(batch, "SET")
                    return ""
                pinned.backend.variables = None
            case classify.ShowVar(name=name) if (
                self._own_value(name) is not None
            ):
                self._show(batch, name)
                return ""
            case classify.ResetVars(tag=tag, name=name):
                if tag == "DISCARD ALL":
                    what = "DISCARD ALL in a transaction"
                    raise errors.FailureError(errors.Unsupported(feature=what))
                self._reset(tag, name)
                pinned.backend.variables = None
            case classify.Write() | classify.Begin():
                if pinned.movable:
                    return self._executor.move_to_primary(batch)
        return self._executor.run_pinned(batch)
