"""The fencing tokens with which proxies order changes of primary.

Each group has a record in the store with the holder of its token. A proxy takes
the token over by compare-and-swap on the record, in advance, so that the holder
can order a change at once even while the store is unavailable. Every later
holder has a higher token, and a proxy whose token was taken over never uses the
old one again.

After the store has returned from an older copy, the record of a token may be
lost. Its holder goes on using it and writes the record again; a token that is
acquired in the new era has a higher number (see version/fencing.py).
"""

import dataclasses
import json
import threading

from bronzehold.core import clock
from bronzehold.core import integers
from bronzehold.core import json_text
from bronzehold.core import ports
from bronzehold.core import promotion_events
from bronzehold.core import store_events
from bronzehold.process import timeline as timeline_lib
from bronzehold.version import fencing

RECORDS_PREFIX = "bronzehold/groups/"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Token:
    """The right to change a group's primary.

    Attributes:
        holder: The proxy that holds it, as "name/incarnation".
        number: The fencing token; it increases with each acquisition.
    """

    holder: str
    number: int


NO_TOKEN = Token(holder="", number=0)


class Tokens:
    """The tokens as this proxy knows them; safe to use from any thread.

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
        self._lock = threading.Lock()
        self._tokens: dict[str, Token] = {}
        # The highest number that was written for this process in the era for
        # which it was computed, by service.
        self._proven: dict[str, int] = {}
        # The highest number that a peer has reported, by service.
        self._peer_numbers: dict[str, int] = {}
        # The highest number that a peer has reported to hold, by service.
        self._held_by_peer: dict[str, int] = {}
        # Services whose record may be older than this process's token.
        self._lost_records: set[str] = set()
        self._learned_at: dict[str, float] = {}
        self._outranked: dict[str, int] = {}

    def apply_record(self, service: str, value: bytes, era: int) -> None:
        """Applies a group's record from the store.

        A record with a lower token than the known one is ignored.

        Args:
            service: The name of the group's service.
            value: The record as stored.
            era: The era in which the record was read.
        """
        token = _read_record(value)
        if token is None:
            return
        if era and token.number >= fencing.first_number(era + 1):
            # No process has issued this number, and none is left above it.
            return
        with self._lock:
            old = self._tokens.get(service, NO_TOKEN)
            is_own = token.holder == self.holder_id
            if is_own and token.number >= fencing.first_number(era):
                self._proven[service] = max(
                    token.number, self._proven.get(service, 0)
                )
            # A swap that crossed a return may have written a number that this
            # process already holds.
            is_older = token.number < old.number or (
                token.number == old.number
                and not is_own
                and era > 0
                and self.can_use(service, old)
            )
            if is_older:
                if era and self.can_use(service, old):
                    self._lost_records.add(service)
                return
            self._tokens[service] = token
            if token.holder != old.holder:
                self._learned_at[service] = clock.now()
        was_holder = old.holder == self.holder_id
        if was_holder and not is_own:
            self._timeline.add(
                promotion_events.TokenLost(group=service, token=token.number)
            )

    def note_peer_number(self, service: str, number: int) -> None:
        """Records a group's token number as a peer knows it."""
        if number > self._peer_numbers.get(service, 0):
            self._peer_numbers[service] = number

    def note_peer_holds(self, service: str, number: int) -> None:
        """Records the number of a group's token that a peer holds itself.

        A lower token of this proxy was taken over, although this proxy may not
        have read the record since.
        """
        if number > self._held_by_peer.get(service, 0):
            self._held_by_peer[service] = number

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
        """Returns whether this proxy holds a token that is still valid.

        A record that names this proxy is no proof by itself: a swap that
        crossed a return may have written a number that another proxy got in the
        lost seconds.
        """
        is_holder = token.holder == self.holder_id
        is_proven = self._proven.get(service, 0) == token.number
        is_outranked = (
            self._outranked.get(service, 0) >= token.number
            or self._held_by_peer.get(service, 0) > token.number
        )
        return is_holder and is_proven and not is_outranked

    def acquire(
        self, service: str, *, renew: bool = False, reason: str = ""
    ) -> None:
        """Takes a group's token over, with the next higher number.

        A token that another proxy has acquired since this one last read the
        record is only read, not taken over.

        Args:
            service: The name of the group's service.
            renew: Whether to take a higher token also if this proxy holds one.
            reason: The reason, for the event log.
        """
        key = RECORDS_PREFIX + service
        expected = self.known(service)
        try:
            item = self._store.get(key)
            record = self._apply_item(service, item)
            token = self.known(service)
            if self.holds(service) and record == token and not renew:
                # The answer to an earlier swap was lost; the record shows that
                # it succeeded.
                return
            is_own = token.holder == self.holder_id
            if token.number != expected.number and not is_own:
                return
            number = self._next_number(service, item, token.number)
            if number is None:
                self._timeline.count("claim: no number is left")
                return
            value = _encode(Token(holder=self.holder_id, number=number))
            outcome = self._store.swap(item, value)
        except ports.StoreError as exc:
            self._timeline.count(f"claim: {exc}")
            return
        match outcome:
            case ports.Swapped():
                self.apply_record(service, value, item.era)
                self._timeline.add(
                    promotion_events.TokenWon(
                        group=service, token=number, why=reason
                    )
                )

    def _apply_item(self, service: str, item: ports.Item) -> Token | None:
        """Applies a record that was read and returns its token."""
        if item.value is None:
            return None
        self.apply_record(service, item.value, item.era)
        return _read_record(item.value)

    def _next_number(
        self, service: str, item: ports.Item, known: int
    ) -> int | None:
        """Returns the number for a record that replaces the one read."""
        peer_number = max(known, self._peer_numbers.get(service, 0))
        for highest in (peer_number, known):
            number = fencing.next_number(
                era=item.era,
                revision=item.revision,
                # Without eras, the record holds the highest number.
                known=highest if item.era else known,
            )
            # A number of a peer that leaves none was not issued by this rule.
            if number is not None:
                return number
        return None

    # Records that the store has lost.

    def forget_before(self, era: int) -> str:
        """Marks the records of this proxy's tokens as possibly lost.

        Args:
            era: The era of the store.

        Returns:
            A description of the records.
        """
        del era
        held = self.held()
        with self._lock:
            self._lost_records.update(held)
        return f"records of {len(held)} tokens" if held else ""

    def lost_records(self) -> list[str]:
        """Returns the services whose record may have to be restored."""
        with self._lock:
            return sorted(self._lost_records)

    def restore_record(self, service: str) -> None:
        """Writes the record of a held token again if the store has an older.

        Raises:
            ports.StoreError: A call failed; the record is still to be restored.
        """
        item = self._store.get(RECORDS_PREFIX + service)
        record = self._apply_item(service, item)
        token = self.known(service)
        is_restored = not self.can_use(service, token) or record == token
        if not is_restored:
            outcome = self._store.swap(item, _encode(token))
            is_restored = isinstance(outcome, ports.Swapped)
            if is_restored:
                self._timeline.add(
                    store_events.TokenRecordRestored(
                        group=service,
                        token=token.number,
                        found=record.number if record else 0,
                        era=item.era,
                    )
                )
        if is_restored:
            with self._lock:
                self._lost_records.discard(service)

    def note_outranked(self, service: str, token: Token) -> None:
        """Records that the platform has seen a higher token than this one.

        The token is unusable even if the store still names this proxy.
        """
        self._outranked[service] = token.number


def _encode(token: Token) -> bytes:
    fields = {"holder": token.holder, "token": token.number}
    return json.dumps(fields).encode()


def _read_record(value: bytes) -> Token | None:
    try:
        fields = json_text.parse(value)
    except ValueError:
        return None
    match fields:
        case {"holder": str(holder), "token": int(number)} if (
            integers.is_valid(number) and number > 0 and holder.isprintable()
        ):
            return Token(holder=holder, number=number)
        case _:
            return None
