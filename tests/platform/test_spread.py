"""Tests of distributing large configurations to all nodes of a failure domain."""

import asyncio
import re

from balsamdeal.net.messages import make_headers
from tests.platform.fleet import FleetCase, make_rules
from tests.platform.test_messages import make_configuration, make_route

IDLE_ROUTE_COUNT = 1600
VERSION_COUNT = 20
PUBLISH_INTERVAL_S = 0.18
# Bandwidth of the slowest link of the users' VMs, and the time within which a version
# must be in force.
LINK_BYTES_PER_S = 2_500_000 / 8
IN_FORCE_S = 2.5


class VersionBurstTest(FleetCase):
    """Many versions of a large configuration are written within a few seconds."""

    nodes = 5
    zones = ("erie",)

    def make_configuration(self, version):
        idle = [
            make_route(f"/idle{number}/", service="board")
            for number in range(IDLE_ROUTE_COUNT)
        ]
        added = [
            make_route(f"/new{number}/", service="desk") for number in (1, version)
        ]
        return make_configuration(version, *make_rules(), *idle, *added)

    async def read_control_bytes(self, index):
        """Return the bytes that a node exchanged with the source and other nodes."""
        address = f"{self.get_ip(index)}:{self.ports[3]}"
        answer = await self.pool.fetch(
            address,
            "GET",
            "/metrics",
            make_headers([]),
            timeout_s=5.0,
            new_connection=True,
        )
        pattern = rb"^balsamdeal_control_bytes_total (\S+)$"
        return float(re.search(pattern, answer.body, re.MULTILINE)[1])

    async def wait_for_route(self, index, path):
        async def is_served():
            return (await self.call(path, f"{path}-{index}")).status == 200

        await self.wait_for(is_served)

    # Guards against whole versions that saturate the links, so that calls of valid
    # routes get 404 and others fail.
    async def test_burst_of_versions_does_not_saturate_links(self):
        for index in range(self.nodes):
            await self.wait_for_route(index, "/new1/")
        before = [await self.read_control_bytes(index) for index in range(self.nodes)]
        started_s = asyncio.get_running_loop().time()
        for version in range(2, VERSION_COUNT + 2):
            self.store.put("op/config", self.make_configuration(version))
            await asyncio.sleep(PUBLISH_INTERVAL_S)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        for index in range(self.nodes):
            await self.wait_for_route(index, f"/new{VERSION_COUNT + 1}/")
        # On a busy machine the versions are written over a longer time.
        max_bytes = LINK_BYTES_PER_S * (elapsed_s + IN_FORCE_S)
        for index in range(self.nodes):
            with self.subTest(index):
                used_bytes = await self.read_control_bytes(index) - before[index]
                self.assertLess(used_bytes, max_bytes)
