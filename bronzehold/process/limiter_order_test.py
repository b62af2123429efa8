"""The order of limiters, without a network."""

import types

import pytest

from bronzehold.process import limiter_order
from bronzehold.process import serving as serving_lib
from bronzehold.version import members as members_lib

OWN = members_lib.Member(name="p1", zone="z", address="127.0.0.1:1")
PEER = members_lib.Member(name="p2", zone="z", address="127.0.0.1:2")


class FakeServing:
    """A region of two proxies."""

    def __init__(self):
        self.present = (OWN, PEER)

    def region_view(self, zones):
        del zones
        return serving_lib.RegionView(
            present=self.present,
            known=tuple(m.name for m in self.present),
            in_contact=True,
            contact_since=0.0,
            fleet_size=len(self.present),
            is_starting=False,
        )

    def heard_at(self, name):
        del name


@pytest.fixture(name="serving")
def _serving():
    return FakeServing()


@pytest.fixture(name="order")
def _order(serving):
    return limiter_order.LimiterOrder(
        own=OWN,
        zones=frozenset({"z"}),
        serving=serving,
        stopping=lambda: False,
        has_seeds=False,
    )


def test_proxies_that_are_gone_are_forgotten(order, serving):
    """Guards against growth with each proxy that was ever replaced."""
    order.view(0.0)
    order.mark_ended("p2", 0.0)
    order.skip("p2", 0.0)
    assert [m.name for m in order.candidates("w", 0.1)] == ["p1"]
    serving.present = (OWN,)
    order.view(10.0)
    order.retain(types.MappingProxyType({"w": None}))
    assert not order._ended_at
    assert not order._skip_until


def test_proxy_that_has_ended_and_is_still_known_is_no_candidate(order):
    order.mark_ended("p2", 0.0)
    order.view(10.0)
    order.retain(types.MappingProxyType({"w": None}))
    assert [m.name for m in order.candidates("w", 10.1)] == ["p1"]
