"""The review's fleet with ports that no other fleet on this machine takes at the same time.

The review's fleet looks for ports that are free and binds them later, so two fleets that start at
the same moment could take the same ones. Here each port is reserved before it is looked at: a socket
stays bound to it, at an address that no machine of a fleet has, until the fleet is stopped.
"""

import contextlib
import pathlib
import random
import socket
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review"))

from lib import fleet  # noqa: E402

RESERVATION_ADDRESS = "127.71.255.1"
# As in the review's fleet: below the ports of outgoing connections.
PORT_RANGE = range(20_000, 32_000)


class ReservedPortsFleet(fleet.Fleet):
    def __init__(self, record, agents=(1, 1, 1)):
        self.reservations = contextlib.ExitStack()
        super().__init__(record, agents=agents)

    def free_ports(self, count, addresses):
        ports = []
        for port in random.sample(PORT_RANGE, len(PORT_RANGE)):
            if self.reserve(port, addresses):
                ports.append(port)
            if len(ports) == count:
                return ports
        raise fleet.CannotRun("no free ports")

    def reserve(self, port, addresses):
        reservation = socket.socket()
        try:
            reservation.bind((RESERVATION_ADDRESS, port))
        except OSError:
            reservation.close()
            return False
        if not all(fleet.is_free(address, port) for address in addresses):
            reservation.close()
            return False
        self.reservations.enter_context(reservation)
        return True

    def stop(self):
        super().stop()
        self.reservations.close()
