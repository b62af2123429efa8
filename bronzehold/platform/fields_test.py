import pytest

from bronzehold.core import validation
from bronzehold.platform import fields


@pytest.mark.parametrize("text", ["NaN", "Infinity", "-Infinity", "1e999"])
def test_number_that_is_not_finite_is_refused(text):
    value = fields.parse("settings", f'{{"stop_s": {text}}}')
    read = fields.Fields(source="settings", value=value)
    with pytest.raises(validation.ProblemsError, match="is not finite"):
        read.number("stop_s")
