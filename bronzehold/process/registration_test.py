import json

import pytest

from bronzehold.core import ports
from bronzehold.process import registration as registration_lib
from bronzehold.process import tasks as tasks_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.version import members as members_lib

OWN = members_lib.Member(name="me", zone="z", address="10.0.0.1:1")


class FakeProcess:
    def __init__(self):
        self.timeline = timeline_lib.Timeline(proxy="me", zone="z")
        self.tasks = tasks_lib.Tasks(timeline=self.timeline)


class FakeStore:
    """A store that counts the calls of a registration."""

    def __init__(self):
        self.calls = []

    def grant_lease(self, ttl_s):
        del ttl_s
        self.calls.append("grant")
        return ports.Lease(id=len(self.calls), era=0)

    def renew_lease(self, lease):
        del lease
        self.calls.append("renew")
        return True

    def get(self, key):
        return ports.Item(key=key, value=None, revision=0)

    def swap(self, old, value, lease):
        del old, value, lease
        self.calls.append("swap")
        return ports.Swapped(revision=1)


@pytest.fixture(name="store")
def _store():
    return FakeStore()


@pytest.fixture(name="registration")
def _registration(store):
    return registration_lib.Registration(
        process=FakeProcess(), store=store, key="proxies/me", own=OWN
    )


def test_list_from_before_the_registration_does_not_repeat_it(
    store, registration
):
    """Answers the pattern of a fleet that starts at once.

    The first list that a proxy reads lacks its own key, since it registers
    beside; each proxy registered twice at every start.
    """
    registration.register_again()
    registration._renew_or_register()
    registration._renew_or_register()
    assert store.calls == ["grant", "swap", "renew"]


def test_key_that_was_removed_is_written_again(store, registration):
    registration._renew_or_register()
    registration.register_again()
    assert not registration._wake.is_set(), "the list may be an old one"
    registration._renew_or_register()
    registration._renew_or_register()
    assert store.calls == ["grant", "swap", "renew", "swap", "renew"]


def test_key_that_goes_later_is_written_again_at_once(
    registration, monkeypatch
):
    registration._renew_or_register()
    monkeypatch.setattr(registration_lib, "LIST_DELAY_S", 0.0)
    registration.register_again()
    assert registration._wake.is_set()


def test_registration_is_decoded():
    value = registration_lib.encode(OWN)
    assert registration_lib.decode("me", value) == OWN


@pytest.mark.parametrize(
    "value", [b"", b"h:1", b"[]", b"\xff", b"null", b"{}", b'{"zone": "z"}']
)
def test_value_that_is_no_registration_is_ignored(value):
    assert registration_lib.decode("me", value) is None


@pytest.mark.parametrize(
    "address", ["10.0.0.1:99999", "10.0.0.1", "host.example:80", "a..b:80", 7]
)
def test_registration_without_a_usable_address_is_ignored(address):
    """Guards against CONFIG: gossip ended at an address that none can have."""
    value = json.dumps({"zone": "z", "address": address}).encode()
    assert registration_lib.decode("me", value) is None


def test_registration_that_is_nested_deeply_is_ignored():
    """Guards against CONFIG: the task that follows the store ended."""
    assert registration_lib.decode("me", b"[" * 4000) is None


def test_swap_that_crosses_a_return_is_repeated_with_a_new_lease(
    store, registration, monkeypatch
):
    """Guards against a registration under another process's lease.

    The swap may have been executed, and the number of the lease been given to
    another process.
    """
    swap = store.swap

    def swap_in_another_era(*args):
        swap(*args)
        raise ports.StaleEraError("another era")

    monkeypatch.setattr(store, "swap", swap_in_another_era)
    with pytest.raises(ports.StaleEraError):
        registration._renew_or_register()
    monkeypatch.setattr(store, "swap", swap)
    registration._renew_or_register()
    assert store.calls == ["grant", "swap", "grant", "swap"]


def test_failed_writing_of_the_key_is_repeated(
    store, registration, monkeypatch
):
    """Guards against a proxy that holds a lease and is not registered."""
    swap = store.swap

    def fail(*args):
        del args
        raise ports.StoreError("away")

    monkeypatch.setattr(store, "swap", fail)
    with pytest.raises(ports.StoreError):
        registration._renew_or_register()
    monkeypatch.setattr(store, "swap", swap)
    registration._renew_or_register()
    assert store.calls == ["grant", "renew", "swap"]


def test_lease_of_an_older_era_is_told(registration):
    assert not registration.forget_before(1)
    registration._renew_or_register()
    assert registration.forget_before(1) == "lease 1"
