import pytest

from bronzehold.core import integers


@pytest.mark.parametrize(
    ("value", "is_valid"),
    [
        (0, True),
        (-integers.MAX, True),
        (integers.MAX, True),
        (integers.MAX + 1, False),
        (10**400, False),
        (True, False),
        (1.0, False),
        ("1", False),
    ],
)
def test_integers_of_64_bits_are_valid(value, is_valid):
    assert integers.is_valid(value) == is_valid


@pytest.mark.parametrize(
    "text", ["", "-1", "+1", " 1", "1_0", "\u00b2", "\u0668", "9" * 19]
)
def test_text_other_than_digits_is_refused(text):
    with pytest.raises(ValueError, match="is not a number"):
        integers.parse(text)


def test_digits_are_parsed():
    assert integers.parse("9" * 18) == 10**18 - 1
    assert integers.parse("007") == 7
