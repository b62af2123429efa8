import hypothesis
import pytest

from bronzehold.tools import local

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.load_profile("fixed")


@pytest.fixture(name="deployment", scope="module")
def _deployment():
    """One group of three endpoints and two proxies, shared by a module."""
    with local.running(local.Shape()) as running:
        yield running
