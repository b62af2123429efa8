"""Callers that send statements to proxies and record each answer.

What a caller sends is decided by its kind of operations, see `operations`.
"""

import collections.abc
import dataclasses
import random
import socket
import threading
import time

from bench.soak import deployment as deployment_lib
from bench.soak import records as records_lib
from bronzehold.core import ports
from bronzehold.platform import local
from bronzehold.platform import wire

RECONNECT_DELAY_S = 0.01
# The key of callers that are given none.
DEFAULT_KEY = "test"
# The exceptions that report a lost connection.
CONNECTION_ERRORS = (OSError, ports.TransportError, local.UnexpectedAnswerError)
# Error codes of statements that may have been executed.
UNKNOWN_OUTCOME_CODES = ("INDOUBT", "TIMEOUT", "FAILED")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of callers.

    Attributes:
        name: The name of the kind, unique in a run.
        operate: Sends the statements of one operation.
        shortest_pause_s: Shortest pause before an operation, in seconds.
        longest_pause_s: Longest pause before an operation, in seconds.
        connects_each_time: Whether each operation has a connection of its own,
            on which the first statement does not wait for the answer to
            STARTUP.
    """

    name: str
    operate: collections.abc.Callable[["Caller", local.Session], None]
    shortest_pause_s: float
    longest_pause_s: float
    connects_each_time: bool = False


class _HastySession(local.Session):
    """A session whose first statement follows STARTUP at once."""

    def read_answer(self) -> list[str]:
        """Returns the lines of the next answer, up to its READY line."""
        if self.sent_count == 1:
            welcome = self.lines.read_line().decode()
            if welcome != "READY I -":
                raise local.UnexpectedAnswerError(welcome)
        return super().read_answer()


def _connect_hastily(
    address: tuple[str, int], database: str, name: str, key: str
) -> local.Session:
    sock = socket.create_connection(address, local.ANSWER_TIMEOUT_S)
    sock.sendall(f"STARTUP {database} {key}\r\n".encode())
    return _HastySession(sock=sock, lines=wire.LineReader(sock=sock), name=name)


class Caller:
    """A thread that runs operations at proxies, until it is told to finish.

    A caller connects to a ready proxy, as a load balancer would choose it, and
    uses its connection until that ends.

    Attributes:
        random: The source of the caller's decisions.
        thread: The thread.
    """

    def __init__(
        self,
        *,
        proxies: collections.abc.Sequence[deployment_lib.Proxy],
        records: records_lib.Records,
        kind: Kind,
        name: str,
        seed: int,
        access_keys: collections.abc.Sequence[str] = (DEFAULT_KEY,),
    ):
        self._proxies = proxies
        self._records = records
        self._kind = kind
        self._name = name
        self._access_keys = access_keys
        self._access_key = access_keys[0]
        self._session_count = 0
        self._key_count = 0
        self._database = ""
        self._proxy = ""
        self._finishing = threading.Event()
        self.random = random.Random(f"{seed}/{name}")
        self.thread = threading.Thread(target=self._run, daemon=True)

    def finish(self) -> None:
        """Ends the thread after its present operation."""
        self._finishing.set()

    @property
    def finishing(self) -> bool:
        """Whether operations are to end early."""
        return self._finishing.is_set()

    def _run(self) -> None:
        while not self.finishing:
            try:
                session = self._connect()
            except CONNECTION_ERRORS:
                time.sleep(RECONNECT_DELAY_S)
                continue
            with session.sock:
                self._use(session)

    def _use(self, session: local.Session) -> None:
        """Runs operations until the connection ends."""
        shortest, longest = (
            self._kind.shortest_pause_s,
            self._kind.longest_pause_s,
        )
        while not self.finishing:
            self.pause(longest, shortest)
            try:
                self._kind.operate(self, session)
            except CONNECTION_ERRORS:
                # The statement in progress is already recorded.
                return
            if self._kind.connects_each_time:
                return

    def _connect(self) -> local.Session:
        proxy = self._choose_proxy()
        self._database = self.random.choice(list(local.DATABASES))
        self._session_count += 1
        self._proxy = proxy.name
        if len(self._access_keys) > 1:
            self._access_key = self.random.choice(self._access_keys)
        hastily = self._kind.connects_each_time
        connect = _connect_hastily if hastily else local.connect
        name = f"c{self._name}.{self._session_count}"
        return connect(
            proxy.caller_address, self._database, name, self._access_key
        )

    def _choose_proxy(self) -> deployment_lib.Proxy:
        if len(self._proxies) == 1:
            return self._proxies[0]
        ready = [p for p in self._proxies if p.is_ready()] or self._proxies
        return self.random.choice(ready)

    def pause(self, longest_s: float, shortest_s: float = 0.0) -> None:
        """Pauses for a random time between the given limits, in seconds."""
        if longest_s > shortest_s:
            time.sleep(self.random.uniform(shortest_s, longest_s))
        else:
            time.sleep(shortest_s)

    def new_key(self) -> str:
        """Returns a key that was not written before."""
        self._key_count += 1
        return f"k{self._name}.{self._key_count}"

    def used_key(self) -> str:
        """Returns a key that this caller may have written."""
        number = self.random.randint(1, self._key_count + 1)
        return f"k{self._name}.{number}"

    def record_write(
        self,
        key: str,
        session: local.Session,
        outcome: records_lib.Outcome,
        ended: float,
    ) -> None:
        """Records the outcome of a write."""
        self._records.record_write(
            records_lib.Write(
                key=key, session=session.name, ended=ended, outcome=outcome
            )
        )

    def execute(
        self,
        session: local.Session,
        text: str,
        transaction_began: float | None = None,
    ) -> records_lib.Statement:
        """Sends a statement and records it, see the function execute."""
        return execute(
            session,
            text,
            records=self._records,
            proxy=self._proxy,
            database=self._database,
            transaction_began=transaction_began,
            access_key=self._access_key,
        )


def finish(callers: collections.abc.Sequence[Caller]) -> None:
    """Ends callers and waits for them."""
    for caller in callers:
        caller.finish()
    for caller in callers:
        caller.thread.join(2 * local.ANSWER_TIMEOUT_S)


def execute(
    session: local.Session,
    text: str,
    *,
    records: records_lib.Records,
    proxy: str,
    database: str,
    transaction_began: float | None = None,
    access_key: str = DEFAULT_KEY,
) -> records_lib.Statement:
    """Sends a statement and records it with its answer.

    Args:
        session: The session that sends the statement.
        text: The statement text.
        records: The records to which the statement is added.
        proxy: The name of the proxy to which the session is connected.
        database: The database name, which selects the route.
        transaction_began: The time at which the transaction began, in seconds
            of time.monotonic(); None outside a transaction.
        access_key: The key that the session presented.

    Raises:
        OSError: The connection was lost. The statement is recorded.
        ports.TransportError: The connection was lost. The statement is
            recorded.
    """
    # The fields are prepared before sending, because the endpoint may execute
    # the statement even if the connection is lost at once.
    fields = {
        "id": f"{session.name}.{session.sent_count + 1}",
        "text": text,
        "database": database,
        "session": session.name,
        "proxy": proxy,
        "sent": time.monotonic(),
        "transaction_began": transaction_began,
        "access_key": access_key,
    }
    try:
        answer = session.execute(text)
    except CONNECTION_ERRORS:
        records.record(
            records_lib.Statement(
                **fields,
                ended=time.monotonic(),
                outcome=records_lib.Outcome.CONNECTION_LOST,
            )
        )
        raise
    statement = records_lib.Statement(
        **fields, ended=time.monotonic(), **parse_answer(answer)
    )
    records.record(statement)
    return statement


def parse_answer(answer: list[str]) -> dict:
    """Returns the fields of a statement that its answer determines."""
    rows = tuple(line[4:] for line in answer if line.startswith("ROW "))
    word, _, rest = answer[-2].partition(" ")
    if word == "COMPLETE":
        return {
            "outcome": records_lib.Outcome.DONE,
            "rows": rows,
            "mac": rest,
        }
    code = rest.partition(" ")[0]
    unknown = code in UNKNOWN_OUTCOME_CODES
    outcome = (
        records_lib.Outcome.UNKNOWN if unknown else records_lib.Outcome.NOT_RUN
    )
    return {"outcome": outcome, "code": code}
