"""Tests that a stream goes on only at the software version that began it."""

import anyio
import pytest
from stream_fleet import StreamFleet, split_catalog

from fulmarroad.testing import run_virtual


def run_fleet(test, **more):
    """Run a test with a fleet of routers in virtual time."""
    run_virtual(StreamFleet(**more).run, test)


async def settle(fleet):
    """Wait until every caller has its whole stream or has given up."""
    await anyio.sleep(9.0)
    return fleet


class TestTwoVersions:
    def test_a_stream_goes_on_at_its_version_after_its_server_ended(self):
        """Guard against an answer that holds events of two software versions, as its
        server ended midway and the next one runs another version.
        """

        async def test(fleet):
            for name, version in (("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")):
                fleet.add_engine(name, version)
            await anyio.sleep(0.3)
            for number in range(24):
                fleet.begin(number)
            await anyio.sleep(0.6)
            fleet.crash("a")
            await settle(fleet)
            assert not fleet.mixed()
            assert sum(row.whole for row in fleet.callers) >= 20

        run_fleet(test)

    def test_a_stream_taken_up_at_another_router_goes_on_at_its_version(self):
        """Guard against a caller that holds events of two software versions, as its
        router ended and the next one knows nothing of the stream.
        """

        async def test(fleet):
            for name, version in (("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")):
                fleet.add_engine(name, version)
            await anyio.sleep(0.3)
            for number in range(24):
                fleet.begin(number)
            await anyio.sleep(0.6)
            fleet.crash("a")
            fleet.kill("router-0")
            fleet.kill("router-1")
            await settle(fleet)
            assert not fleet.mixed()
            assert sum(row.whole for row in fleet.callers) >= 20

        run_fleet(test)

    @pytest.mark.parametrize("weights_change", [False, True])
    def test_a_stream_goes_on_at_the_service_that_began_it(self, weights_change):
        """Guard against a stream of a split route that another service goes on with:
        a caller's next try has another id, by which the service was chosen.
        """

        async def test(fleet):
            fleet.set_catalog(**split_catalog())
            for name, service in (("a", "drafting"), ("b", "drafting-b")):
                fleet.add_engine(name, service=service)
            await anyio.sleep(0.3)
            for number in range(12):
                fleet.begin(number)
            await anyio.sleep(0.6)
            if weights_change:
                fleet.set_catalog(**split_catalog(weights=(1.0, 99.0)))
            fleet.kill("router-0")
            fleet.kill("router-1")
            await settle(fleet)
            assert not fleet.mixed()
            assert sum(row.whole for row in fleet.callers) >= 10

        run_fleet(test)
