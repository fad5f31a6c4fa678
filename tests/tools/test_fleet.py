"""Tests of fleets of real processes and of the networks that they reserve."""

import random
import subprocess
import unittest

from tools.fleet import ROOT, Fleet, FleetError, claim_network


class ClaimTest(unittest.TestCase):
    """Concurrent fleets must not share a network.

    Otherwise a test can reach the nodes of another fleet, which answer in place of its
    own.
    """

    def test_reserved_network_is_not_assigned_again_until_it_is_released(self):
        first, claim_socket = claim_network(random.Random(5))
        second, second_socket = claim_network(random.Random(5))
        self.addCleanup(second_socket.close)
        self.assertNotEqual(first, second)
        claim_socket.close()
        third, claim_socket = claim_network(random.Random(5))
        self.addCleanup(claim_socket.close)
        self.assertEqual(third, first)

    def test_fleet_releases_its_network_at_its_end(self):
        fleet = Fleet(ROOT / "examples" / "lakeshore", 1)
        octet = int(fleet.members[0].host.split(".")[1])
        fleet.stop()

        class FixedOctet(random.Random):
            def shuffle(self, octets):
                octets[:] = [octet]

        reclaimed, claim_socket = claim_network(FixedOctet())
        claim_socket.close()
        self.assertEqual(reclaimed, octet)

    def test_node_that_exits_at_start_is_an_error(self):
        fleet = Fleet(ROOT / "examples" / "lakeshore", 1)
        self.addCleanup(fleet.stop)
        member = fleet.members[0]
        member.process = subprocess.Popen(["false"])
        member.process.wait()
        with self.assertRaises(FleetError):
            fleet.wait_ready()
