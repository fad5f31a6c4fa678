"""Tests of fleets of real processes: that they do not meet."""

import random
import subprocess
import unittest

from tools.fleet import ROOT, Fleet, FleetError, claim_network


class ClaimTest(unittest.TestCase):
    """Two fleets on one network once ran a test on each other's nodes."""

    def test_the_same_draw_gives_another_network_while_it_is_held(self):
        first, claim = claim_network(random.Random(5))
        second, other = claim_network(random.Random(5))
        self.addCleanup(other.close)
        self.assertNotEqual(first, second)
        claim.close()
        third, claim = claim_network(random.Random(5))
        self.addCleanup(claim.close)
        self.assertEqual(third, first)

    def test_fleet_releases_its_network_at_its_end(self):
        fleet = Fleet(ROOT / "examples" / "lakeshore", 1)
        octet = int(fleet.members[0].host.split(".")[1])
        fleet.stop()

        class Same(random.Random):
            def shuffle(self, octets):
                octets[:] = [octet]

        again, claim = claim_network(Same())
        claim.close()
        self.assertEqual(again, octet)

    def test_node_that_ends_at_its_start_is_an_error(self):
        fleet = Fleet(ROOT / "examples" / "lakeshore", 1)
        self.addCleanup(fleet.stop)
        member = fleet.members[0]
        member.process = subprocess.Popen(["false"])
        member.process.wait()
        with self.assertRaises(FleetError):
            fleet.wait_ready()
