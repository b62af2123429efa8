"""Integers that other programs have written.

Proxies exchange terms, positions, versions and tokens as signed 64-bit numbers.
"""

MAX = (1 << 63) - 1
# Any number of this many digits is below the maximum.
MAX_DIGITS = 18


def is_valid(value: object) -> bool:
    """Returns whether a value is an integer of 64 bits, and no boolean."""
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and abs(value) <= MAX
    )


def parse(text: str) -> int:
    """Parses ASCII digits.

    Raises:
        ValueError: The text is anything else, or has over MAX_DIGITS digits.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        raise ValueError(f"{text[:MAX_DIGITS]!r} is not a number")
    return int(text)
