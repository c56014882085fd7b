"""Fixtures of the router's tests."""

import pytest
from router_bed import run_session


@pytest.fixture
def session():
    """Return `run_session`, which runs a scenario and returns its transcript."""
    return run_session
