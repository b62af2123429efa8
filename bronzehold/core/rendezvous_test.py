from bronzehold.core import rendezvous

WEIGHT_OF_LANES_G_A = 6858794829074921244
NAMES = [f"proxy-{i}" for i in range(8)]


def test_order_does_not_depend_on_the_order_of_the_names():
    assert rendezvous.order("k", NAMES) == rendezvous.order("k", NAMES[::-1])


def test_order_puts_the_highest_weight_first():
    weights = [rendezvous.weight("k", n) for n in rendezvous.order("k", NAMES)]
    assert weights == sorted(weights, reverse=True)


def test_name_that_leaves_changes_the_order_of_no_others():
    before = rendezvous.order("k", NAMES)
    for gone in NAMES:
        after = rendezvous.order("k", [n for n in NAMES if n != gone])
        assert after == [n for n in before if n != gone]


def test_keys_have_different_orders():
    orders = {tuple(rendezvous.order(str(k), NAMES)) for k in range(20)}
    assert len(orders) > 1


def test_weights_stay_the_same_between_versions():
    # Proxies of two versions must agree during an upgrade.
    assert rendezvous.weight("lanes g", "a") == WEIGHT_OF_LANES_G_A
