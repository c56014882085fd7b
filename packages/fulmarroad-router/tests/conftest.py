"""Fixtures of the router's tests."""

import pytest
from router_bed import run_session


@pytest.fixture
def session():
    """Return a function that plays calls on one router and writes down all."""
    return run_session
