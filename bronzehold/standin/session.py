"""Client session of a stand-in endpoint over the PostgreSQL protocol.

A session answers the start-up, then dispatches the messages of simple and
extended queries until the client leaves.
"""

import socket
import time

from bronzehold.connection import frames
from bronzehold.connection import messages
from bronzehold.core import data
from bronzehold.standin import control_calls
from bronzehold.standin import endpoint as endpoint_lib
from bronzehold.standin import extended_query
from bronzehold.standin import output as output_lib
from bronzehold.standin import results
from bronzehold.standin import session_state
from bronzehold.standin import sql_text
from bronzehold.standin import statement_errors
from bronzehold.standin import statement_runner
from bronzehold.standin import transaction as transaction_lib

_REPORTED_SETTINGS = (
    ("server_version", "16.0"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
)


class Session:
    """Serves one client connection until it ends.

    Attributes:
        pid: Process id that the client uses to cancel a statement.
        secret: Secret key that a cancel request must carry.
    """

    def __init__(
        self,
        *,
        endpoint: endpoint_lib.Endpoint,
        sock: socket.socket,
        reader: frames.Reader,
        pid: int,
    ):
        self._endpoint = endpoint
        self._sock = sock
        self._reader = reader
        self._state = session_state.SessionState()
        self._output = output_lib.Output(
            sock=sock, endpoint_faults=endpoint.faults
        )
        self._transaction = transaction_lib.Transaction(
            endpoint=endpoint, output=self._output
        )
        self._runner = statement_runner.StatementRunner(
            endpoint=endpoint, state=self._state, transaction=self._transaction
        )
        self._extended_query = extended_query.ExtendedQuery(
            state=self._state,
            transaction=self._transaction,
            runner=self._runner,
            output=self._output,
        )
        self._skips_until_sync = False
        self.pid = pid
        self.secret = pid * 7919 + 1

    @property
    def name(self) -> str:
        """The application_name that the client sent."""
        return self._output.client_name

    def open(self, params: dict[str, str]) -> None:
        """Answers the start-up packet.

        Args:
            params: Parameters of the start-up packet.
        """
        client_name = params.get("application_name", "")
        self._output.client_name = client_name
        self._output.one_way_latency_s = self._one_way_latency(params)
        self._state.settings["application_name"] = client_name
        time.sleep(self._endpoint.settings.connect_ms * data.MILLISECOND)
        self._output.send(messages.auth(messages.AUTH_OK))
        for name, value in _REPORTED_SETTINGS:
            self._output.send(messages.parameter(name, value))
        self._output.send(messages.key_data(self.pid, self.secret))
        self._send_ready()
        self._output.flush()

    def _one_way_latency(self, params: dict[str, str]) -> float:
        settings = self._endpoint.settings
        here = settings.address
        zone = params.get("bronzehold.zone", here.zone)
        region = params.get("bronzehold.region", here.region)
        if region != here.region:
            return settings.region_ms * data.MILLISECOND
        if zone != here.zone:
            return settings.zone_ms * data.MILLISECOND
        return 0.0

    def serve(self) -> None:
        """Handles messages until the client terminates the session."""
        while True:
            if not self._reader.has_buffered():
                self._output.flush()
            frame = self._reader.read_frame()
            self._endpoint.faults.wait_for_inbound(self.name)
            if frame.kind in b"QS":
                time.sleep(self._output.one_way_latency_s)
            if frame.kind == b"X":
                return
            self._handle(frame)

    def cancel(self) -> None:
        """Interrupts the running statement, if any."""
        self._runner.cancel()

    def close(self) -> None:
        """Rolls back an open transaction and closes the connections."""
        self._transaction.close()
        self._sock.close()

    # Messages.

    def _handle(self, frame: frames.Frame) -> None:
        # After an error in an extended query, the protocol requires that all
        # messages up to Sync are skipped.
        if self._skips_until_sync and frame.kind != b"S":
            return
        try:
            self._dispatch(frame)
        except statement_errors.StatementError as exc:
            self._transaction.fail()
            self._output.send(messages.error(exc.sqlstate, str(exc)))
            if frame.kind in {b"S", b"Q"}:
                self._send_ready()
            else:
                self._skips_until_sync = True

    def _dispatch(self, frame: frames.Frame) -> None:
        match frame.kind:
            case b"Q":
                self._query(messages.query_text(frame.body))
            case b"P":
                self._extended_query.parse(frame.body)
            case b"B":
                self._extended_query.bind(frame.body)
            case b"D":
                self._extended_query.describe(frame.body)
            case b"E":
                self._extended_query.execute(frame.body)
            case b"C":
                self._extended_query.close(frame.body)
            case b"S":
                self._sync()
            case b"H":
                self._output.flush()
            case _:
                raise statement_errors.StatementError(
                    "08P01", f"unsupported message type {frame.kind!r}"
                )

    def _sync(self) -> None:
        self._skips_until_sync = False
        self._transaction.end_batch()
        self._state.portals.clear()
        self._send_ready()

    def _query(self, text: str) -> None:
        if control_calls.is_control_call(text):
            self._send_result(control_calls.run(self._endpoint, text))
            self._send_ready()
            return
        statements = sql_text.split_statements(text)
        if not statements:
            self._output.send(frames.make(b"I"))
        for sql in statements:
            self._send_result(self._runner.run(sql, ()))
        self._transaction.end_batch()
        self._send_ready()

    def _send_result(self, result: results.Result) -> None:
        if result.names:
            self._output.send(results.row_description(result, ()))
            for row in result.rows:
                self._output.send(results.data_row(row, ()))
        self._output.send(messages.complete(result.tag))

    def _send_ready(self) -> None:
        self._output.send(messages.ready(self._transaction.status))
