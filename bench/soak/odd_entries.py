"""Entries that a program other than the expected writer leaves in the store.

None of them names an endpoint, a proxy or a token holder to use.
"""

import json

NESTED = b"[" * 4000
# More digits than Python reads as an integer, and more than fit into a float.
MANY_DIGITS = "9" * 5000
LARGE = 10**400


def listings(valid: bytes) -> dict[str, bytes]:
    """Returns odd listings of endpoints, by key.

    Args:
        valid: The listing of an endpoint, of which some fields are changed.
    """
    fields = json.loads(valid)

    def changed(**odd) -> bytes:
        return json.dumps({**fields, **odd}).encode()

    values = {
        "nested": NESTED,
        "nested-fields": b'{"zone":' * 4000,
        "deep-value": changed(zone=[[[[["z"]]]]]),
        "digits": MANY_DIGITS.encode(),
        "port-digits": changed(address=f"h:{MANY_DIGITS}"),
        "port": changed(address="127.0.0.1:99999"),
        "host": changed(address="a..b:80"),
        "null": changed(address="a\0b:80"),
        "capacity": changed(capacity=LARGE),
        "cold": changed(cold_remaining_ms=LARGE),
        "born": changed(born=1 << 70),
        "surrogate": changed(version="\ud800"),
        "state": changed(state="asleep"),
        "cut": valid[: len(valid) // 2],
        "bytes": b"\xff\xfe",
        "odd\r\nQUERY": valid,
    }
    return {f"servers/{name}": value for name, value in values.items()}


def registrations_and_records() -> dict[str, bytes]:
    """Returns odd entries under the keys of proxies and tokens."""
    return {
        "bronzehold/proxies/nested": NESTED,
        "bronzehold/proxies/port": json.dumps(
            {"address": "127.0.0.1:99999", "zone": "z1"}
        ).encode(),
        "bronzehold/proxies/host": json.dumps(
            {"address": "a..b:80", "zone": "\ud800"}
        ).encode(),
        "bronzehold/groups/nested": NESTED,
        "bronzehold/groups/large": json.dumps(
            {"holder": "other/1", "token": LARGE}
        ).encode(),
    }
