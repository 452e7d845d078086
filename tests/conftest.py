import pytest
from hypothesis import settings

# The same verdict each time: examples are drawn from the test itself, not from chance.
settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"
