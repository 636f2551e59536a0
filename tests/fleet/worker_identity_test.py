"""Real processes while other writers announce workers, workers restart, and processes pause.

Guards against tasks that run twice at the same time because a statement (announcement, answer, closed
connection) was taken for one about what bears the same name now, and against log lines that are not
valid JSON because they quote other writers. The stand-ins for workers, callers and the operator are
those of the review. A run is repeated with its seed; times differ between runs.
"""

import argparse
import asyncio
import contextlib
import copy
import json
import os
import pathlib
import random
import signal
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review"))

from lib import fleet, http  # noqa: E402

from reserved_ports import ReservedPortsFleet  # noqa: E402
from worker_orders import START, WorkerOrders  # noqa: E402

AGENTS = (4, 4, 3)
CALLERS_PER_ENTRY = 7
RUN_MS = 250
DEADLINE_MS = 1500
# Callers that wait a short time, and the run time of their task.
SHORT_WAITS_MS = ((300, 280), (400, 370), (500, 470))
RESEND_S = 1.3
# Two processes of one agent run at once for at most this time, before the first is told to end.
LONGEST_OVERLAP_S = 2.0
# The shutdown limit of the agents' settings, and some time for a loaded machine.
LONGEST_SHUTDOWN_S = 10.0
# From a second to a year.
SET_BACK_MS_EXPONENTS = (3.0, 10.5)
# An agent takes on work 1 s after its start, so a few seconds are enough for a loaded machine.
LONGEST_REFUSAL_S = 4.0
CALM_S = 4.0
LATE_ORDER_SHARE = 0.04
LATE_ORDER_S = (2.0, 6.0)
MIN_SERVED_SHARE = 0.5
# Log events whose numbers are printed.
COUNTED_EVENTS = {4011: "foreign_run_stopped", 4015: "fence_raised", 4025: "agent_superseded"}


class Troubles:
    """One method for each kind of trouble; each leaves the system as it found it."""

    def __init__(self, system, record, seed):
        self.system = system
        self.record = record
        self.random = random.Random(seed)
        self.busy = set()
        self.jobs = 0
        self.orders = {name: WorkerOrders(worker, record, self.random)
                       for name, worker in system.workers.items()}
        self.findings = []
        self.overlaps = 0
        # A process of an agent beside another one of the same agent.
        system.roles["agent.next"] = system.roles["agent"]
        # `Fleet.add` gives one port to each machine, after the first five.
        self.spare_ports = system.ports[5 + len(system.machines):]
        self.other_ports = {}

    def take(self, role):
        """Name of a machine with this role that no other trouble uses, or None."""
        free = [name for name in self.system.names(role) if name not in self.busy]
        return self.random.choice(free) if free else None

    async def play(self, kind, role):
        name = self.take(role)
        if name is None:
            return
        self.busy.add(name)
        self.record("trouble", kind=kind, machine=name)
        await getattr(self, kind)(name)
        self.busy.discard(name)

    def odd_announcement(self, worker):
        """An announcement of another writer: its id and its body."""
        own = self.random.random() < 0.5
        beat = {**worker.beat(), "seq": 1}
        worker.seq -= 1
        if not own:
            beat.update(address="127.71.9.9:8080", machine="m-other",
                        born=int(time.time() * 1000))
        elif self.random.random() < 0.5:
            beat["seq"] = worker.seq + 1000
        odd = self.random.choice((
            {"service": "pool-7"}, {"service": "pool-7"}, {"service": ""}, {"service": 7},
            {"state": "sleeping"}, {"state": None}, {"born": -1}, {"born": 1e300},
            {"born": "soon"}, {"seq": -5}, {"seq": 2 ** 63}, {"capacity": []}, {"capacity": {}},
            {"address": "127.0.0.1:99999"}, {"zone": 5}, {"slots": "many"}))
        missing = self.random.choice(("service", "zone", "version", "capacity", None, None, None))
        beat.update(odd)
        beat.pop(missing, None)
        return (worker.id if own else "i-00c0ffee"), beat

    async def odd_heartbeats(self, agent):
        worker = self.system.workers[agent]
        for _ in range(self.random.randrange(1, 5)):
            writer, body = self.odd_announcement(worker)
            if self.random.random() < 0.1:
                body = b"\xff\xfe{" + b"[" * 50_000
            status, _, _ = await http.call(worker.control, "POST",
                                           f"/Instances.Heartbeat/{writer}", body)
            self.record("odd-heartbeat", agent=agent, id=writer, status=status)
            await asyncio.sleep(self.random.uniform(0, 0.3))

    async def worker_crash(self, agent):
        worker = self.system.workers[agent]
        former_id, former_beat = worker.id, worker.beat()
        worker.crash()
        await asyncio.sleep(self.random.uniform(0.1, 0.8))
        latest_answer_s = self.random.choice((0.0, 0.09))
        worker.answer_delay = lambda: self.random.uniform(0, latest_answer_s)
        worker.register_s = self.random.uniform(0, 1.2)
        same_id = self.random.random() < 0.5
        await worker.start(former_id if same_id else f"i-{self.random.getrandbits(32):08x}")
        await asyncio.sleep(self.random.uniform(0, 1.5))
        # A heartbeat of the former life arrives late.
        status, _, _ = await http.call(worker.control, "POST",
                                       f"/Instances.Heartbeat/{former_id}", former_beat)
        self.record("late-heartbeat", agent=agent, id=former_id, status=status)
        await asyncio.sleep(0.5)
        worker.answer_delay = lambda: 0.0

    async def late_orders(self, agent):
        orders = self.orders[agent]
        orders.late_s = LATE_ORDER_S
        orders.late_shares = {START: LATE_ORDER_SHARE}
        await asyncio.sleep(3)
        orders.late_shares = {}

    async def freeze(self, name, seconds):
        self.system.signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.system.signal(name, signal.SIGCONT)

    async def agent_freeze(self, agent):
        await self.freeze(agent, self.random.uniform(0.3, 2.5))

    async def agent_kill(self, agent):
        self.system.kill(agent)
        await asyncio.sleep(self.random.uniform(0.05, 1.0))
        self.system.start(agent)
        await asyncio.sleep(2)

    async def clock_set_back(self, agent):
        """The agent starts again with a lower fencing token than its worker knows, as after its clock
        was set back. Guards against an agent that is refused for good."""
        worker = self.system.workers[agent]
        self.system.kill(agent)
        set_back_ms = int(10 ** self.random.uniform(*SET_BACK_MS_EXPONENTS))
        worker.fence = int(time.time() * 1000) + set_back_ms
        known = worker.fence
        self.record("clock-set-back", agent=agent, ms=set_back_ms)
        self.system.start(agent)

        async def accepted():
            return worker.fence > known
        if not await self.system.wait_for(accepted, LONGEST_REFUSAL_S):
            self.findings.append(f"{agent} is still refused {LONGEST_REFUSAL_S} s after its clock "
                                 f"was set back by {set_back_ms} ms")
        await asyncio.sleep(2)

    async def agent_overlap(self, agent):
        """A second process of the agent begins before the first one ends: beside the same worker, or
        on another VM with a worker of its own."""
        former = self.system.machines[agent]
        former_worker = self.system.workers[agent]
        other_vm = self.random.random() < 0.5
        overlap_s = self.random.uniform(0, LONGEST_OVERLAP_S)
        last_signal = self.random.choice((signal.SIGTERM, signal.SIGKILL))
        # The worker reports to one of the two processes.
        reports_to_former = self.random.random() < 0.5
        self.overlaps += 1
        self.record("agent-overlap", agent=agent, other_vm=other_vm, overlap_s=f"{overlap_s:.2f}")

        machine = self.successor(former, other_vm)
        self.system.machines[f"{agent}.next"] = machine
        self.system.start(f"{agent}.next")
        if other_vm:
            worker = fleet.Worker(former_worker.name + ".next", machine.fields["app"],
                                  machine.fields["listen"]["control"], fleet.SERVICE,
                                  machine.zone, self.record)
            self.system.workers[f"{agent}.next"] = worker
            await worker.start(f"i-{self.random.getrandbits(32):08x}")
        elif not reports_to_former:
            former_worker.control = machine.fields["listen"]["control"]

        await asyncio.sleep(overlap_s)
        if former.process.poll() is not None:
            self.findings.append(f"the former process of {agent} ended by itself")
        else:
            self.system.signal(agent, last_signal)
        ended = await self.system.wait_for(self.has_ended(former), LONGEST_SHUTDOWN_S)
        if not ended:
            self.findings.append(f"the former process of {agent} did not end")
            self.system.kill(agent)
        if other_vm:
            former_worker.crash()
            self.system.workers[agent] = self.system.workers.pop(f"{agent}.next")
            self.orders[agent] = WorkerOrders(worker, self.record, self.random)
        else:
            former_worker.control = machine.fields["listen"]["control"]
        self.system.machines[agent] = self.system.machines.pop(f"{agent}.next")
        machine.role = "agent"
        await asyncio.sleep(2)

    @staticmethod
    def other_host(address):
        """The second of the two addresses that a machine has here, or the first for the second."""
        network, host = address.rsplit(".", 1)
        number = int(host)
        return f"{network}.{number - 100 if number > 100 else number + 100}"

    @staticmethod
    def has_ended(machine):
        async def ended():
            return machine.process.poll() is not None
        return ended

    def successor(self, former, other_vm):
        """A machine under the same name, with addresses that the former process does not use."""
        machine = copy.copy(former)
        machine.role = "agent.next"  # No trouble befalls it before it has taken over.
        machine.fields = copy.deepcopy(former.fields)
        fields = machine.fields
        machine.ip = self.other_host(former.ip)
        fields["ip"] = machine.ip
        # The agents' own interface is at 127.0.0.1 on all machines here.
        if former.name not in self.other_ports:
            self.other_ports[former.name] = self.spare_ports.pop()
        fields["internal_ports"][1] = self.other_ports[former.name]
        self.other_ports[former.name] = former.fields["internal_ports"][1]
        for name, address in fields["listen"].items():
            fields["listen"][name] = f"{machine.ip}:{address.rsplit(':', 1)[1]}"
        if other_vm:
            host, port = fields["app"].rsplit(":", 1)
            fields["app"] = f"{self.other_host(host)}:{port}"
        fields["data_dir"] = f"{fields['data_dir']}-next"
        return machine

    async def entry_freeze(self, entry):
        """Callers that wait a short time arrive while the entry is frozen, and go elsewhere."""
        others = [entry, *(name for name in self.system.names("entry") if name != entry)]
        clients = []
        for wait_ms, run_ms in SHORT_WAITS_MS:
            for _ in range(3):
                self.jobs += 1
                clients.append(asyncio.create_task(
                    self.impatient_caller(f"ee{self.jobs:014x}", others, wait_ms, run_ms)))
        await self.freeze(entry, self.random.uniform(1.5, 1.9))
        await asyncio.gather(*clients)
        await asyncio.sleep(2)

    async def impatient_caller(self, job_id, entries, wait_ms, run_ms):
        await asyncio.sleep(self.random.uniform(0, 0.4))
        for entry in entries:
            status = await fleet.submit(self.system, self.record, entry, job_id,
                                        fleet.job(1, run_ms), wait_ms)
            if status not in (0, -1, 502, 504):
                return
            await asyncio.sleep(RESEND_S)

    async def entry_kill(self, entry):
        self.system.kill(entry)
        await asyncio.sleep(self.random.uniform(0.05, 1.0))
        self.system.start(entry)
        await asyncio.sleep(3)

    async def control_freeze(self, control):
        await self.freeze(control, self.random.uniform(0.3, 2.5))
        await asyncio.sleep(3)


# Kind of trouble, and the role of the machine that it befalls.
KINDS = (("odd_heartbeats", "agent"), ("odd_heartbeats", "agent"), ("worker_crash", "agent"),
         ("worker_crash", "agent"), ("late_orders", "agent"), ("agent_freeze", "agent"),
         ("agent_kill", "agent"), ("agent_overlap", "agent"),
         ("clock_set_back", "agent"), ("entry_freeze", "entry"), ("entry_kill", "entry"),
         ("control_freeze", "control"))
TRACKS = 3


class Answers:
    """Counts the answers to callers, and the heartbeats that a worker could not deliver."""

    def __init__(self, record):
        self.served = 0
        self.others = 0
        self.refused_heartbeats = []
        record.listeners.append(self.on_event)

    def on_event(self, now, event, fields):
        if event == "client-answer":
            served = fields["status"] == 200
            self.served += served
            self.others += not served
        elif event == "heartbeat" and fields["status"] != 200:
            self.refused_heartbeats.append((now, fields["worker"], fields["status"]))


async def play(system, record, options):
    """Returns the findings."""
    check = fleet.TwiceCheck(system, record)
    answers = Answers(record)
    await system.begin()
    load = fleet.Load(system, record, CALLERS_PER_ENTRY, fleet.job(2, RUN_MS), DEADLINE_MS)
    await asyncio.sleep(2)
    troubles = Troubles(system, record, options.seed)
    kinds = [pair for pair in KINDS if options.only in (None, pair[0])]
    ends = time.monotonic() + options.seconds

    async def track():
        while time.monotonic() < ends:
            await troubles.play(*troubles.random.choice(kinds))
            await asyncio.sleep(troubles.random.uniform(0.1, 0.8))

    await asyncio.gather(*(track() for _ in range(TRACKS)))
    await asyncio.sleep(CALM_S)
    calm_since = time.monotonic() - record.begun
    await asyncio.sleep(CALM_S)
    await load.stop()
    findings = [f"TWICE at {now:.3f} s: {task} on {first} and {second}"
                for now, task, first, second in check.found]
    findings += [f"heartbeat of {worker} answered {status} at {now:.3f} s, after the last trouble"
                 for now, worker, status in answers.refused_heartbeats if now > calm_since]
    findings += troubles.findings
    findings += [f"{name} ended by itself" for name, machine in system.machines.items()
                 if machine.process.poll() is not None]
    total = answers.served + answers.others
    if answers.served < MIN_SERVED_SHARE * total:
        findings.append(f"only {answers.served} of {total} requests were served")
    counts = count_events(pathlib.Path(system.folder.name), COUNTED_EVENTS)
    print(f"seed {options.seed}: {answers.served} of {total} requests served, "
          f"{len(check.found)} tasks ran twice, {troubles.overlaps} overlaps, "
          + ", ".join(f"{counts[number]} {name}" for number, name in COUNTED_EVENTS.items()))
    return findings


def count_events(folder, numbers):
    """How often each of these log events was written, by its number."""
    counts = dict.fromkeys(numbers, 0)
    for log in folder.glob("*.log"):
        for line in log.read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                event = json.loads(line.decode("utf-8")).get("event")
                if event in counts:
                    counts[event] += 1
    return counts


def invalid_log_lines(folder):
    """Findings for log lines that a strict reader of JSON refuses."""
    findings = []
    for log in sorted(folder.glob("*.log")):
        for number, line in enumerate(log.read_bytes().splitlines(), 1):
            try:
                json.loads(line.decode("utf-8"))
            except ValueError as error:
                findings.append(f"{log}:{number} is not valid JSON: {error}")
    return findings


async def run(options):
    options.keep.mkdir(parents=True, exist_ok=True)
    os.environ["KEEP_LOGS"] = str(options.keep)
    record = fleet.Record(options.keep)
    system = ReservedPortsFleet(record, agents=AGENTS)
    for role in system.roles.values():
        words = role["run"].split()
        role["run"] = " ".join([str(options.program.resolve()), *words[1:]])
    try:
        findings = await play(system, record, options)
    finally:
        system.stop()
    return findings + invalid_log_lines(options.keep)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", type=pathlib.Path, default=ROOT / "build/greengagehead")
    parser.add_argument("--seed", type=int, default=31)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--only", help="play one kind of trouble")
    parser.add_argument("--keep", type=pathlib.Path,
                        default=ROOT / "build/fleet-logs/worker-identity",
                        help="folder for the record and the logs of the processes")
    findings = asyncio.run(run(parser.parse_args()))
    for finding in findings:
        print(finding)
    print(f"worker identity: {0 if findings else 1} passed, {1 if findings else 0} failed")
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
