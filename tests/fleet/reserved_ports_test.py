"""Guards against two fleets that start at the same moment and take the same ports."""

import pathlib
import random
import sys
import tempfile
import unittest

from forwarded_fleet import ForwardedFleet, fleet


class ReservedPorts(unittest.TestCase):
    def make_fleet(self):
        """A fleet whose processes have not been started, as between the choice and the use of ports."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        record = fleet.Record(pathlib.Path(folder.name))
        self.addCleanup(record.file.close)
        random.seed(1)
        made = ForwardedFleet(record, (1, 1, 1), [])
        self.addCleanup(made.stop)
        return made

    def test_a_second_fleet_takes_other_ports(self):
        first, second = self.make_fleet(), self.make_fleet()
        self.assertEqual(set(first.ports) & set(second.ports), set())

    def test_a_stopped_fleet_gives_its_ports_back(self):
        first = self.make_fleet()
        first.stop()
        self.assertEqual(self.make_fleet().ports, first.ports)


if __name__ == "__main__":
    unittest.main(verbosity=2)
