"""Rendezvous hashing: an order of names for each key, the same everywhere.

A name that comes or goes changes the order of no others.
"""

import collections.abc

import xxhash


def weight(key: str, name: str) -> int:
    """Returns the weight of a name for a key; the highest comes first."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def order(key: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Returns names in their order for a key."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)
