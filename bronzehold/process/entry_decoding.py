"""Decodes entries of the store that any program may have written."""

import collections.abc
import dataclasses
import typing

from bronzehold.core import validation

_EncodedT = typing.TypeVar("_EncodedT")
_DecodedT = typing.TypeVar("_DecodedT")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Undecodable:
    """An entry that cannot be used.

    Attributes:
        why: The problems found in it.
    """

    why: str


def decode(
    decoder: collections.abc.Callable[[_EncodedT], _DecodedT],
    encoded: _EncodedT,
) -> _DecodedT | Undecodable:
    """Decodes one entry, so that no entry can keep the others from use."""
    try:
        return decoder(encoded)
    except validation.ProblemsError as exc:
        return Undecodable(why=str(exc))
    except Exception as exc:  # noqa: BLE001
        # Other programs write the entries, and the changes that come with this
        # one must be applied whatever it holds.
        return Undecodable(why=f"{type(exc).__name__}: {exc}")
