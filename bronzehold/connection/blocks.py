"""States of a caller's transaction block on the PostgreSQL path.

A block gets an endpoint connection with its first statement. The router and
the executor choose by this state how the next batch is handled.
"""

import dataclasses

from bronzehold.connection import backend as backend_lib
from bronzehold.connection import client
from bronzehold.connection import messages
from bronzehold.core import data
from bronzehold.process import pool as pool_lib

IN_BLOCK = (messages.IN_TRANSACTION, messages.IN_FAILED_TRANSACTION)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Idle:
    """No transaction block is open."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Deferred:
    """A block is open, but none of its statements has run yet.

    Attributes:
        read_only: Whether the block was opened as READ ONLY.
    """

    read_only: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pinned:
    """A block or an unfinished batch that holds an endpoint connection.

    Attributes:
        backend: The endpoint connection.
        pool: The pool that the connection is returned to.
        place: The endpoint, with its role and term at the time of the choice.
        movable: Whether the block has only read so far and may move to the
            primary.
        state: The transaction state last reported by the endpoint.
        skipping: Whether the endpoint ignores messages until the next Sync.
        broken: Whether the connection is unusable.
    """

    backend: backend_lib.Backend
    pool: pool_lib.Pool
    place: data.Placement
    movable: bool
    state: bytes = messages.IN_TRANSACTION
    skipping: bool = False
    broken: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The block has failed and accepts only COMMIT or ROLLBACK."""


Block = Idle | Deferred | Pinned | Failed


def state(block: Block) -> bytes:
    """Returns the transaction state that is reported to the caller."""
    match block:
        case Idle():
            return messages.IDLE
        case Deferred():
            return messages.IN_TRANSACTION
        case Pinned(state=reported):
            return reported or messages.IDLE
        case Failed():
            return messages.IN_FAILED_TRANSACTION


def is_open(block: Block) -> bool:
    """Returns whether a transaction is open, including a failed one."""
    return state(block) != messages.IDLE


def roll_back(pinned: Pinned) -> bool:
    """Rolls back the open transaction.

    Returns:
        Whether the connection can be reused.
    """
    if pinned.broken or pinned.state not in IN_BLOCK:
        return False
    try:
        pinned.backend.run_internal("ROLLBACK")
    except client.ClientError:
        return False
    return True
