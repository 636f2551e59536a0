"""The review's fleet with forwarders before the entries: one for callers, and links of the agents.

An agent learns the addresses of entries and control members from the control members that it
reaches at the port `control.link_port` of its settings. That port leads to a forwarder, which puts
its own port in the place of the real one in all that control members tell the agent.
"""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review"))

from lib import fleet, http  # noqa: E402

from forwarder import Forwarder, Replacement  # noqa: E402

# Ports that the review's fleet uses on all machines, before one for each machine.
COMMON_PORTS = 5


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


class ForwardedFleet(fleet.Fleet):
    def __init__(self, record, agents, routes):
        super().__init__(record, agents=agents)
        self.routes = routes
        self.link_port = self.ports[1]
        self.spare_ports = iter(self.ports[COMMON_PORTS + len(self.machines):])
        self.control_forwarders = []
        # Forwarder for callers, by entry.
        self.balancers = self.make_balancers()
        # Forwarders by agent, then by entry.
        self.links = {agent: self.make_links(agent) for agent in self.names("agent")}

    def make_balancers(self):
        port = next(self.spare_ports)
        fronts = {entry: fleet.Fleet.front(self, entry) for entry in self.names("entry")}
        return {entry: Forwarder((self.machines[entry].ip, port), split(front))
                for entry, front in fronts.items()}

    def make_links(self, agent):
        port = next(self.spare_ports)
        self.machines[agent].fields["internal_ports"][0] = port
        for control in self.names("control"):
            self.control_forwarders.append(self.make_control_forwarder(control, port))
        return {entry: Forwarder((self.machines[entry].ip, port),
                                 (self.machines[entry].ip, self.link_port))
                for entry in self.names("entry")}

    def make_control_forwarder(self, control, port):
        def make_rewrite():
            return Replacement(b":%d" % self.link_port, b":%d" % port)

        ip = self.machines[control].ip
        return Forwarder((ip, port), (ip, self.link_port), make_rewrite)

    def front(self, entry):
        host, port = self.balancers[entry].address
        return f"{host}:{port}"

    def configuration(self, version, routes=None):
        return super().configuration(version, routes or self.routes)

    def forwarders(self):
        yield from self.balancers.values()
        yield from self.control_forwarders
        for links in self.links.values():
            yield from links.values()

    async def begin(self):
        for forwarder in self.forwarders():
            await forwarder.open()
        await super().begin()
        for agent, links in self.links.items():
            if not all(link.connections for link in links.values()):
                raise fleet.CannotRun(f"{agent} does not reach the entries through the forwarders")

    def stop(self):
        super().stop()
        for forwarder in self.forwarders():
            forwarder.close()
