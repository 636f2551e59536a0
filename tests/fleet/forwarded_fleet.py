"""The review's fleet with forwarders before the entries, for callers, agents and other entries.

Agents and entries learn the addresses of entries and control members from the control members that
they reach at the port `control.link_port` of their settings. That port, another one for each of
them, leads to a forwarder, which puts it in the place of the real port in all that control members
tell.
"""

import functools
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review"))

from lib import fleet, http  # noqa: E402

from forwarder import Forwarder, Replacement  # noqa: E402
from reserved_ports import ReservedPortsFleet  # noqa: E402

# Ports that the review's fleet uses on all machines, before one for each machine.
COMMON_PORTS = 5
# As for the readiness of entries in the review's fleet.
LINK_LIMIT_S = 15
LINK_PORT_SETTING = "link_port = {{internal_ports.0}}"


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


class ForwardedFleet(ReservedPortsFleet):
    def __init__(self, record, agents, routes):
        super().__init__(record, agents=agents)
        self.routes = routes
        self.link_port = self.ports[1]
        self.spare_ports = iter(self.ports[COMMON_PORTS + len(self.machines):])
        self.control_forwarders = []
        # Forwarder for callers, by entry.
        self.balancers = self.make_balancers()
        self.use_own_template_for_entries()
        # Forwarders by the agent or entry that opens the link, then by the entry that accepts it.
        self.links = {name: self.make_links(name)
                      for role in ("agent", "entry") for name in self.names(role)}

    def make_balancers(self):
        port = next(self.spare_ports)
        fronts = {entry: fleet.Fleet.front(self, entry) for entry in self.names("entry")}
        return {entry: Forwarder((self.machines[entry].ip, port), split(front))
                for entry, front in fronts.items()}

    def use_own_template_for_entries(self):
        """The deploy file has one port for the links that an entry accepts and opens."""
        text = (ROOT / self.roles["entry"]["template"]).read_text()
        if text.count(LINK_PORT_SETTING) != 1:
            raise fleet.CannotRun("the template of entries has another form")
        template = pathlib.Path(self.folder.name) / "entry.template"
        template.write_text(text.replace(LINK_PORT_SETTING, "link_port = {{opened_link_port}}"))
        self.roles["entry"]["template"] = str(template)

    def make_links(self, name):
        machine = self.machines[name]
        port = next(self.spare_ports)
        if machine.role == "entry":
            machine.fields["opened_link_port"] = port
        else:
            machine.fields["internal_ports"][0] = port
        for control in self.names("control"):
            self.control_forwarders.append(self.make_control_forwarder(control, port))
        return {entry: Forwarder((self.machines[entry].ip, port),
                                 (self.machines[entry].ip, self.link_port))
                for entry in self.names("entry") if entry != name}

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
        for agent in self.names("agent"):
            if not await self.wait_for(functools.partial(self.linked, agent), LINK_LIMIT_S):
                raise fleet.CannotRun(f"{agent} does not reach the entries through the forwarders")

    async def linked(self, agent):
        return all(link.connections for link in self.links[agent].values())

    def stop(self):
        super().stop()
        for forwarder in self.forwarders():
            forwarder.close()
