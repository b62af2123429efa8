"""The fencing tokens with which proxies order changes of primary.

Each group has a record in the store with the holder of its token. A proxy takes
the token over by compare-and-swap on the record, in advance, so that the holder
can order a change at once even while the store is unavailable. Every later
holder has a higher token, and a proxy whose token was taken over never uses the
old one again.
"""

import dataclasses
import json

from bronzehold.core import clock
from bronzehold.core import events
from bronzehold.core import integers
from bronzehold.core import json_text
from bronzehold.core import ports
from bronzehold.process import timeline as timeline_lib

RECORDS_PREFIX = "bronzehold/groups/"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Token:
    """The right to change a group's primary.

    Attributes:
        holder: The proxy that holds it, as "name/incarnation".
        number: The fencing token; it increases with each acquisition.
        revision: The revision of the group's record in the store.
    """

    holder: str
    number: int
    revision: int


NO_TOKEN = Token(holder="", number=0, revision=0)


class Tokens:
    """The tokens as this proxy knows them.

    Args:
        proxy: The name of this proxy.
        incarnation: A text that no other process of this name has had.
        store: The store.
        timeline: The event log of the process.

    Attributes:
        holder_id: The name under which this proxy holds tokens.
    """

    def __init__(
        self,
        *,
        proxy: str,
        incarnation: str,
        store: ports.Store,
        timeline: timeline_lib.Timeline,
    ):
        self.holder_id = f"{proxy}/{incarnation}"
        self._store = store
        self._timeline = timeline
        self._tokens: dict[str, Token] = {}
        self._learned_at: dict[str, float] = {}
        self._outranked: dict[str, int] = {}

    def apply_record(self, service: str, value: bytes, revision: int) -> None:
        """Applies a group's record from the store.

        A record with a lower token than the known one is ignored.

        Args:
            service: The name of the group's service.
            value: The record as stored.
            revision: The record's revision in the store.
        """
        token = _read_record(value, revision)
        if token is None:
            return
        old = self._tokens.get(service, NO_TOKEN)
        if token.number < old.number:
            return
        self._tokens[service] = token
        if token.holder != old.holder:
            self._learned_at[service] = clock.now()
        was_holder = old.holder == self.holder_id
        if was_holder and token.holder != self.holder_id:
            self._timeline.add(
                events.TokenLost(group=service, token=token.number)
            )

    def known(self, service: str) -> Token:
        """Returns the latest known token of a group, NO_TOKEN if none."""
        return self._tokens.get(service, NO_TOKEN)

    def is_replaced(
        self, service: str, incarnation: str, heard_at: float
    ) -> bool:
        """Returns whether a token's holder was replaced by a later process.

        A restarted proxy has its name but not its token.

        Args:
            service: The name of the group's service.
            incarnation: The incarnation of the process that has the holder's
                name now; "" if it does not report one.
            heard_at: The time at which that process was heard, in seconds of
                clock.now(). What was heard before the holder was known is no
                evidence against the holder.
        """
        _, _, held_by = self.known(service).holder.partition("/")
        if not incarnation or incarnation == held_by:
            return False
        return heard_at > self._learned_at.get(service, 0.0)

    def held(self) -> dict[str, int]:
        """Returns the fencing tokens that this proxy holds, by service."""
        return {
            name: token.number
            for name, token in list(self._tokens.items())
            if self.holds(name)
        }

    def holds(self, service: str) -> bool:
        """Returns whether this proxy may change a group's primary."""
        return self.can_use(service, self.known(service))

    def can_use(self, service: str, token: Token) -> bool:
        """Returns whether this proxy holds a token that is still valid."""
        is_holder = token.holder == self.holder_id
        return is_holder and self._outranked.get(service, 0) < token.number

    def acquire(self, service: str, *, renew: bool = False) -> None:
        """Takes a group's token over, with the next higher number.

        A token that another proxy has acquired since this one last read the
        record is only read, not taken over.

        Args:
            service: The name of the group's service.
            renew: Whether to take a higher token also if this proxy holds one.
        """
        key = RECORDS_PREFIX + service
        expected = self.known(service)
        try:
            item = self._store.get(key)
            if item.value is not None:
                self.apply_record(service, item.value, item.revision)
            token = self.known(service)
            is_holder = self.holds(service) and token.revision == item.revision
            if is_holder and not renew:
                # The answer to an earlier swap was lost; the record shows that
                # it succeeded.
                return
            is_own = token.holder == self.holder_id
            if token.number != expected.number and not is_own:
                return
            number = token.number + 1
            value = json.dumps(
                {"holder": self.holder_id, "token": number}
            ).encode()
            outcome = self._store.swap(item, value)
        except ports.StoreError as exc:
            self._timeline.count(f"claim: {exc}")
            return
        match outcome:
            case ports.Swapped(revision=revision):
                self.apply_record(service, value, revision)
                self._timeline.add(events.TokenWon(group=service, token=number))

    def note_outranked(self, service: str, token: Token) -> None:
        """Records that the platform has seen a higher token than this one.

        The token is unusable even if the store still names this proxy.
        """
        self._outranked[service] = token.number


def _read_record(value: bytes, revision: int) -> Token | None:
    try:
        fields = json_text.parse(value)
    except ValueError:
        return None
    match fields:
        case {"holder": str(holder), "token": int(number)} if (
            integers.is_valid(number) and number > 0 and holder.isprintable()
        ):
            return Token(holder=holder, number=number, revision=revision)
        case _:
            return None
