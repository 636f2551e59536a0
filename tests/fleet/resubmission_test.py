"""Real processes while callers hand one job in at several entries, or cancel it at another entry.

Guards against tasks that run twice at the same time because a caller that got no answer sends its
job again to another entry while runs of the first one go on, because an order to stop a run does not
arrive, or because an order is carried out seconds late, and against cancelled jobs that go on because
the cancellation arrived at another entry. The stand-ins for workers and the operator are
those of the review. A run is repeated with its seed; times differ between runs.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import functools
import json
import math
import os
import pathlib
import random
import signal
import sys
import time

from forwarded_fleet import ROOT, ForwardedFleet, fleet, http
from worker_orders import RENEWAL, START, STOP, WorkerOrders

AGENTS = (4, 4, 3)
CALLERS_PER_ENTRY = 7
DEADLINE_S = 1.5
# Some callers wait long enough for the longest runs.
PATIENT_SHARE = 0.2
PATIENT_DEADLINE_S = 4.0
RESEND_S = 1.3
ATTEMPTS = 3
PAUSE_AFTER_REFUSAL_S = 0.2
# Callers that give up early, and seconds that they wait.
GIVE_UP_SHARE = 0.5
GIVE_UP_S = (0.2, 1.0)
# Requests that the balancer cuts off their caller, and seconds after their arrival.
CUT_OFF_SHARE = 0.4
CUT_OFF_S = (0.02, 1.2)
# Time in which a link that slows down step by step reaches its delay.
SLOWING_S = 2.0
CALM_S = 4.0
MIN_SERVED_SHARE = 0.5
MIN_SERVED_SHARE_CALM = 0.9
# Seconds in which orders to stop do not reach some workers.
STOPS_WITHHELD_S = (1.0, 3.0)
# Jobs at the entry that is lost, and their run times, among the longest of the site.
LONG_JOBS = 4
LONG_RUN_MS = (1800, 3600)
# Bench: a process that still runs so long after SIGTERM is killed.
LONGEST_SHUTDOWN_S = 6.0
# Orders without an answer that are carried out late, and seconds by which they are.
LATE_SHARES = {START: 0.08, STOP: 0.2, RENEWAL: 0.05}
LATE_ORDER_S = (2.0, 12.0)
# Seconds from the begin of a worker's life in which orders to its former life arrive there.
FIRST_ORDERS_S = 0.1
# PROTOCOL.md: bounds of a cancellation.
CANCEL_S = 3.0
STOP_GRACE_S = 0.05
# The cancelled jobs run longer than those of the site, so that runs that were not stopped are still
# there when the bound has passed, and their callers wait for the whole run.
CANCELLED_TASKS = 12
CANCELLED_RUN_MS = (4000, 6000)
CANCELLED_DEADLINE_S = 20.0
MAX_TRACES = 5
# Run time of jobs that a caller gives up while they are held.
HELD_RUN_MS = 2500
NO_ANSWER = (0, -1, 502, 504)
CANCELLED = (200, 204, 410)


@dataclasses.dataclass(frozen=True)
class JobClass:
    """Kind of job of the site caatinga-sched; `share` of the jobs is chosen for the test."""

    name: str
    path_prefix: str
    tasks: int
    mean_ms: float
    max_ms: float
    share: float

    # Standard deviation of the logarithm of the run time; an eighth of the runs of order-confirm
    # takes over 1.5 s.
    SPREAD = 0.6

    def route(self):
        """Each class has a route of its own, since entries learn run times by route."""
        return fleet.Fleet.route(self.name, self.path_prefix)

    def draw(self, random_numbers):
        """A job whose run time has this mean, but for the longest ones."""
        run_ms = min(self.max_ms, random_numbers.lognormvariate(
            math.log(self.mean_ms) - self.SPREAD ** 2 / 2, self.SPREAD))
        estimate_ms = self.mean_ms * random_numbers.uniform(0.6, 1.4)
        return fleet.job(self.tasks, max(1, int(run_ms)), int(estimate_ms))


ORDER_CONFIRM = JobClass("order-confirm", "/lohu930/", 4, 900, 3600, 0.35)
CLASSES = (ORDER_CONFIRM, JobClass("stock-hold", "/pufi791/", 2, 200, 800, 0.35),
           JobClass("price-quote", "/pule252/", 8, 60, 240, 0.3))


class Callers:
    """Callers at the balancers; a job without a clear answer is handed in at the next entry."""

    def __init__(self, system, record, seed):
        self.system = system
        self.record = record
        self.impatience = 0
        self.stopping = asyncio.Event()
        self.answers = collections.Counter()
        # How the requests for a job ended that got no clear answer, by job.
        self.unanswered = collections.defaultdict(list)
        # Time at which a job was begun, its class, and whether it was served.
        self.jobs = []
        entries = system.names("entry")
        self.tasks = [
            asyncio.create_task(self.call(entries, index, number,
                                          random.Random(f"{seed}-{index}-{number}")))
            for index in range(len(entries)) for number in range(CALLERS_PER_ENTRY)]

    async def stop(self):
        self.stopping.set()
        await asyncio.gather(*self.tasks)

    @contextlib.contextmanager
    def impatient(self):
        """Meanwhile some callers give up early."""
        self.impatience += 1
        try:
            yield
        finally:
            self.impatience -= 1

    async def call(self, entries, index, number, random_numbers):
        for count in range(1, 1 << 32):
            if self.stopping.is_set():
                return
            job_class = random_numbers.choices(CLASSES, [each.share for each in CLASSES])[0]
            begun = time.monotonic()
            status = await self.hand_in(f"{index:02x}{number:02x}{count:012x}", job_class,
                                        entries[index:] + entries[:index], random_numbers)
            self.jobs.append((begun, job_class.name, status == 200))
            if status != 200:
                await asyncio.sleep(PAUSE_AFTER_REFUSAL_S)

    async def hand_in(self, job_id, job_class, entries, random_numbers):
        body = job_class.draw(random_numbers)
        patient = random_numbers.random() < PATIENT_SHARE
        deadline_s = PATIENT_DEADLINE_S if patient else DEADLINE_S
        status = -1
        for attempt in range(ATTEMPTS):
            gives_up = self.impatience > 0 and random_numbers.random() < GIVE_UP_SHARE
            wait_s = random_numbers.uniform(*GIVE_UP_S) if gives_up else deadline_s
            status = await self.submit(entries[attempt % len(entries)],
                                       job_class.path_prefix + job_id, body, wait_s, deadline_s)
            end = "gave up" if status == -1 and gives_up else self.name_of(status)
            self.answers[end] += 1
            if status not in NO_ANSWER:
                return status
            self.unanswered[job_id].append(end)
            await asyncio.sleep(RESEND_S)
        return status

    @staticmethod
    def name_of(status):
        return {0: "connection broke", -1: "no answer in time"}.get(status, str(status))

    async def submit(self, entry, path, body, wait_s, deadline_s):
        self.record("client-post", path=path, entry=entry)
        headers = {"Host": fleet.HOST, "Greengagehead-Deadline-Ms": str(int(deadline_s * 1000))}
        status, _, _ = await http.call(self.system.front(entry), "POST", path, body, headers,
                                       timeout=wait_s)
        self.record("client-answer", path=path, entry=entry, status=status)
        return status

    async def cancel(self, entry, job_id):
        status, _, _ = await http.call(
            self.system.front(entry), "DELETE", ORDER_CONFIRM.path_prefix + job_id, None,
            {"Host": fleet.HOST}, timeout=DEADLINE_S)
        self.record("client-delete", job=job_id, entry=entry, status=status)
        return status


class CancelCheck:
    """Starts and runs of a job after its cancellation was acknowledged (rule UNASKED)."""

    def __init__(self, system, record):
        self.system = system
        self.record = record
        self.acknowledged = {}
        self.attempts = 0
        self.found = []
        record.listeners.append(self.on_event)

    def on_event(self, now, event, fields):
        if event == "client-delete":
            self.attempts += 1
            if fields["status"] in CANCELLED:
                self.acknowledged[fields["job"]] = now
                asyncio.get_running_loop().call_later(CANCEL_S + STOP_GRACE_S, self.check_runs,
                                                      fields["job"])
        elif event == "start":
            since = now - self.acknowledged.get(fields["task"].split(".")[0], now)
            if since > CANCEL_S:
                self.add(now, fields["task"], fields["worker"], f"starts {since:.2f} s after")

    def check_runs(self, job_id):
        now = time.monotonic() - self.record.begun
        runs = [(task, worker.name) for worker in self.system.workers.values() if worker.up
                for task in worker.running if task.startswith(job_id)]
        if runs:
            self.add(now, *runs[0],
                     f"and {len(runs) - 1} more run {CANCEL_S + STOP_GRACE_S:.2f} s after")

    def add(self, now, task, worker, what):
        self.found.append((now, task, worker, what))
        self.record("BROKEN", rule="UNASKED", task=task, worker=worker)


class TwiceCheck:
    """The tasks that ran twice, with the ends of the earlier requests for their jobs."""

    def __init__(self, system, record, callers):
        self.callers = callers
        self.found = []
        self.check = fleet.TwiceCheck(system, record)
        record.listeners.append(self.on_event)

    def on_event(self, now, event, fields):
        if event == "BROKEN" and fields["rule"] == "TWICE":
            ends = self.callers.unanswered.get(fields["task"].split(".")[0], ["answered"])
            self.found.append((now, fields["task"], fields["first"], fields["second"],
                               ", then ".join(ends)))


class Troubles:
    """One method for each kind of trouble; each leaves the system as it found it."""

    def __init__(self, system, record, callers, seed):
        self.system = system
        self.record = record
        self.callers = callers
        self.random = random.Random(seed)
        self.busy = set()
        self.played = collections.Counter()
        self.cancelled_jobs = 0
        self.held_jobs = 0
        self.long_jobs = 0
        # Number of troubles in progress in which the entry's balancer cuts off callers.
        self.cutting_off = collections.Counter()
        self.orders = {name: WorkerOrders(worker, record, self.random)
                       for name, worker in system.workers.items()}
        for entry, balancer in system.balancers.items():
            balancer.on_accept = functools.partial(self.cut_off_later, entry)

    async def play(self, kind):
        self.played[kind] += 1
        self.record("trouble", kind=kind)
        await getattr(self, kind)()

    @contextlib.contextmanager
    def taken(self, role, at_most):
        """Names of machines with this role that no other trouble uses; none if there are none."""
        free = [name for name in self.system.names(role) if name not in self.busy]
        names = self.random.sample(free, min(len(free), self.random.randint(1, at_most)))
        self.busy.update(names)
        try:
            yield names
        finally:
            self.busy.difference_update(names)

    # --- callers ---

    async def caller_side_break(self):
        """The balancer at some entries cuts off callers, without a sign to the entry."""
        with self.callers_cut_off():
            await asyncio.sleep(self.random.uniform(1.5, 3))

    @contextlib.contextmanager
    def callers_cut_off(self):
        entries = self.random.sample(self.system.names("entry"), self.random.randint(1, 2))
        self.cutting_off.update(entries)
        try:
            yield
        finally:
            self.cutting_off.subtract(entries)

    def cut_off_later(self, entry, connection):
        if self.cutting_off[entry] > 0 and self.random.random() < CUT_OFF_SHARE:
            # Early ones are the likeliest: they leave the most time to the run that goes on.
            delay_s = self.random.triangular(*CUT_OFF_S, CUT_OFF_S[0])
            asyncio.get_running_loop().call_later(delay_s, connection.cut_off_caller)

    async def give_up(self):
        with self.callers.impatient():
            await asyncio.sleep(self.random.uniform(1.5, 3))

    async def delete_elsewhere(self):
        """A job is cancelled at another entry; its caller waits on, or was cut off before."""
        self.cancelled_jobs += 1
        job_id = f"dd{self.cancelled_jobs:014x}"
        entry, other = self.random.sample(self.system.names("entry"), 2)
        body = fleet.job(CANCELLED_TASKS, self.random.randint(*CANCELLED_RUN_MS))
        request = asyncio.create_task(self.callers.submit(
            entry, ORDER_CONFIRM.path_prefix + job_id, body, CANCELLED_DEADLINE_S,
            CANCELLED_DEADLINE_S))
        await asyncio.sleep(self.random.uniform(0.2, 0.8))
        if self.random.random() < 0.5:
            for connection in self.system.balancers[entry].connections_about(job_id):
                connection.cut_off_caller()
        await self.callers.cancel(other, job_id)
        await asyncio.sleep(CANCEL_S + 2 * STOP_GRACE_S)
        request.cancel()
        await asyncio.gather(request, return_exceptions=True)

    # --- links of agents to entries ---

    def links(self, agents):
        """Links of these agents to one entry, or to all of them."""
        entries = self.system.names("entry")
        if self.random.random() < 0.5:
            entries = [self.random.choice(entries)]
        return [self.system.links[agent][entry] for agent in agents for entry in entries]

    async def slow_link(self):
        """Bytes to some agents get late at once, or step by step so that the agents hear no gap."""
        with self.taken("agent", 4) as agents, self.callers.impatient():
            gates = [link.to_caller for link in self.links(agents)]
            steps = self.random.choice((1, 40))
            delay_s = self.random.uniform(1, 2.5)
            for step in range(1, steps + 1):
                self.delay(gates, delay_s * step / steps)
                await asyncio.sleep(SLOWING_S / 40)
            await asyncio.sleep(self.random.uniform(1, 2.5))
            self.delay(gates, 0.0)

    @staticmethod
    def delay(gates, delay_s):
        for gate in gates:
            gate.delay_s = delay_s

    async def hold(self, gates):
        for gate in gates:
            gate.hold()
        await asyncio.sleep(self.random.uniform(0.3, 2.5))
        for gate in gates:
            gate.release()

    async def one_way_link(self):
        with self.taken("agent", 4) as agents, self.callers.impatient():
            to_agent = self.random.random() < 0.5
            await self.hold([link.to_caller if to_agent else link.to_target
                             for link in self.links(agents)])

    async def stopped_link(self):
        with self.taken("agent", 4) as agents, self.callers.impatient():
            await self.hold([gate for link in self.links(agents)
                             for gate in (link.to_caller, link.to_target)])

    # --- links of entries to each other, while callers are cut off ---

    def entry_links(self):
        """Links between some pairs of entries."""
        entries = self.system.names("entry")
        chosen = self.random.sample(entries, self.random.randint(2, len(entries)))
        return [self.system.links[opener][entry] for opener in chosen for entry in chosen
                if opener != entry]

    def entry_gates(self):
        return [gate for link in self.entry_links() for gate in (link.to_target, link.to_caller)]

    async def entry_link_slow(self):
        with self.callers_cut_off():
            gates = self.entry_gates()
            self.delay(gates, self.random.uniform(0.2, 2.5))
            await asyncio.sleep(self.random.uniform(1.5, 4))
            self.delay(gates, 0.0)

    async def entry_link_stopped(self):
        with self.callers_cut_off():
            await self.hold(self.entry_gates())

    async def entry_link_cut(self):
        with self.callers_cut_off():
            links = self.entry_links()
            for link in links:
                link.refuse()
            await asyncio.sleep(self.random.uniform(0.1, 2.5))
            for link in links:
                link.accept_again()
            await asyncio.sleep(0.5)

    # --- entries, one at a time ---

    @contextlib.asynccontextmanager
    async def one_entry(self):
        while any(name in self.busy for name in self.system.names("entry")):
            await asyncio.sleep(0.1)
        with self.taken("entry", 1) as names:
            yield names[0]

    async def entry_freeze(self):
        async with self.one_entry() as entry:
            with self.callers.impatient():
                self.system.signal(entry, signal.SIGSTOP)
                await asyncio.sleep(self.random.uniform(0.3, 1.5))
                self.system.signal(entry, signal.SIGCONT)
                await asyncio.sleep(RESEND_S)

    async def entry_freeze_cut_off(self):
        """An entry freezes, and its callers are cut off at that moment, without a sign to it."""
        async with self.one_entry() as entry:
            self.system.signal(entry, signal.SIGSTOP)
            for connection in list(self.system.balancers[entry].connections):
                connection.cut_off_caller()
            # It wakes soon after the callers have come back to another entry.
            await asyncio.sleep(RESEND_S + self.random.uniform(0, 0.4))
            self.system.signal(entry, signal.SIGCONT)
            await asyncio.sleep(RESEND_S)

    async def give_up_while_held(self):
        """A caller gives up at the second entry, which waits for word of the first, frozen one."""
        self.held_jobs += 1
        path = f"{ORDER_CONFIRM.path_prefix}ee{self.held_jobs:014x}"
        async with self.one_entry() as first:
            second, third = (name for name in self.system.names("entry") if name != first)
            await self.submit_held(first, path, self.random.uniform(0.6, 0.8))
            await asyncio.sleep(RESEND_S - 0.05)
            self.system.signal(first, signal.SIGSTOP)
            await asyncio.sleep(0.05)
            wait_s = self.random.uniform(0.2, 0.3)
            await self.submit_held(second, path, wait_s)
            freeze_s = self.random.uniform(1.3, 1.5)
            await asyncio.sleep(freeze_s - wait_s - 0.05)
            self.system.signal(first, signal.SIGCONT)
            # The caller comes back RESEND_S after it has given up.
            await asyncio.sleep(RESEND_S - (freeze_s - wait_s - 0.05))
            await self.submit_held(third, path, PATIENT_DEADLINE_S)

    async def submit_held(self, entry, path, wait_s):
        status = await self.callers.submit(entry, path, fleet.job(4, HELD_RUN_MS), wait_s,
                                           PATIENT_DEADLINE_S)
        if status in NO_ANSWER:
            self.callers.unanswered[path.rsplit("/", 1)[1]].append("gave up")

    async def entry_kill(self):
        async with self.one_entry() as entry:
            self.system.kill(entry)
            await asyncio.sleep(self.random.uniform(0.05, 1.0))
            self.system.start(entry)
            await asyncio.sleep(3)

    # --- orders to workers ---

    async def withheld_stops(self):
        """An entry is lost while orders to stop do not reach some workers; renewals of leases do."""
        async with self.one_entry() as entry:
            with self.taken("agent", 6) as agents:
                lose = self.random.choice((self.lose_by_kill, self.lose_by_shutdown,
                                           self.lose_by_freeze))
                long_jobs = [asyncio.create_task(self.long_job(entry)) for _ in range(LONG_JOBS)]
                await asyncio.sleep(0.1)
                await asyncio.gather(self.withhold_stops(agents), lose(entry))
                await asyncio.gather(*long_jobs)

    async def long_job(self, entry):
        """Still runs when its caller has lost its entry and comes back to another one."""
        self.long_jobs += 1
        job_id = f"ff{self.long_jobs:014x}"
        entries = [entry, *(name for name in self.system.names("entry") if name != entry)]
        body = fleet.job(ORDER_CONFIRM.tasks, self.random.randint(*LONG_RUN_MS))
        for attempt_entry in entries[:2]:
            status = await self.callers.submit(attempt_entry, ORDER_CONFIRM.path_prefix + job_id,
                                               body, PATIENT_DEADLINE_S, PATIENT_DEADLINE_S)
            if status not in NO_ANSWER:
                return
            self.callers.unanswered[job_id].append(self.callers.name_of(status))
            await asyncio.sleep(RESEND_S)

    async def withhold_stops(self, agents):
        for agent in agents:
            self.orders[agent].withhold_stops()
        await asyncio.sleep(self.random.uniform(*STOPS_WITHHELD_S))
        lost = self.random.random() < 0.5
        for agent in agents:
            self.orders[agent].release_stops(lost)

    async def lose_by_kill(self, entry):
        await asyncio.sleep(self.random.uniform(0, 0.3))
        self.system.kill(entry)
        await asyncio.sleep(self.random.uniform(0.05, 2.0))
        self.system.start(entry)

    async def lose_by_shutdown(self, entry):
        process = self.system.machines[entry].process
        self.system.signal(entry, signal.SIGTERM)
        ends = time.monotonic() + self.random.uniform(0.2, LONGEST_SHUTDOWN_S)
        while process.poll() is None and time.monotonic() < ends:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            self.system.kill(entry)
        await asyncio.sleep(self.random.uniform(0.05, 1.0))
        self.system.start(entry)

    async def lose_by_freeze(self, entry):
        """The entry freezes; the connections of its callers break at once, or they give up later."""
        with self.callers.impatient():
            await asyncio.sleep(self.random.uniform(0, 0.3))
            self.system.signal(entry, signal.SIGSTOP)
            if self.random.random() < 0.5:
                self.system.balancers[entry].abort_connections()
            await asyncio.sleep(self.random.uniform(0.3, 3.0))
            self.system.signal(entry, signal.SIGCONT)
            await asyncio.sleep(RESEND_S)

    async def agent_kill(self):
        """An agent restarts while orders to stop do not reach its worker."""
        with self.taken("agent", 2) as agents:
            await asyncio.gather(self.withhold_stops(agents),
                                 *(self.restart_agent(agent) for agent in agents))
            await asyncio.sleep(0.5)

    async def restart_agent(self, agent):
        await asyncio.sleep(self.random.uniform(0, 0.3))
        self.system.kill(agent)
        await asyncio.sleep(self.random.uniform(0.02, 1.0))
        self.system.start(agent)

    async def late_orders(self):
        """Orders to some workers are carried out late, also by their next life under the same id."""
        with self.taken("agent", 4) as agents:
            for agent in agents:
                self.orders[agent].late_s = LATE_ORDER_S
                self.orders[agent].late_shares = LATE_SHARES
            await asyncio.gather(*(self.end_and_return(agent) for agent in agents))
            for agent in agents:
                self.orders[agent].late_shares = {}
            await asyncio.sleep(0.5)

    async def end_and_return(self, agent):
        worker = self.system.workers[agent]
        for _ in range(self.random.randint(1, 3)):
            await asyncio.sleep(self.random.uniform(0.5, 3))
            worker.crash()
            await asyncio.sleep(self.random.uniform(0.05, 1.0))
            worker.register_s = self.random.uniform(0, 1.2)
            await worker.start(worker.id)
            # Those that wait for the new life arrive as soon as it takes calls.
            self.orders[agent].hasten(0.5, LATE_ORDER_S[0], FIRST_ORDERS_S)
        await asyncio.sleep(worker.register_s)
        worker.register_s = 0.0


KINDS = ("caller_side_break", "give_up", "slow_link", "one_way_link", "stopped_link",
         "entry_link_slow", "entry_link_stopped", "entry_link_cut", "entry_freeze",
         "entry_freeze_cut_off", "give_up_while_held", "entry_kill", "delete_elsewhere",
         "withheld_stops", "agent_kill", "late_orders")
TRACKS = 2


def served_share(jobs):
    return sum(served for _, _, served in jobs) / max(1, len(jobs))


def findings_of(system, callers, twice, cancels, calm_since):
    findings = [f"TWICE at {now:.3f} s: {task} on {first} and {second}; earlier requests: {ends}"
                for now, task, first, second, ends in twice.found]
    findings += [f"UNASKED at {now:.3f} s: {task} on {worker} {what} the cancellation"
                 for now, task, worker, what in cancels.found]
    findings += [f"{name} ended by itself" for name, machine in system.machines.items()
                 if machine.process.poll() is not None]
    served = callers.answers["200"]
    if served < MIN_SERVED_SHARE * callers.answers.total():
        findings.append(f"only {served} of {callers.answers.total()} requests were served")
    # Runs of the longest class may outlast all attempts of their caller.
    calm = [job for job in callers.jobs if job[0] > calm_since and job[1] != ORDER_CONFIRM.name]
    if not calm or served_share(calm) < MIN_SERVED_SHARE_CALM:
        findings.append(f"after the last trouble {served_share(calm):.0%} of {len(calm)} jobs of "
                        "the short classes were served")
    return findings


def print_counts(options, callers, troubles, twice, cancels):
    def text(counts):
        return ", ".join(f"{count} {name}" for name, count in sorted(counts.items())) or "none"

    ends = collections.Counter(f'"{ends}"' for *_, ends in twice.found)
    print(f"seed {options.seed}, {' '.join(options.only or ['mixed'])}: "
          f"troubles: {text(troubles.played)}")
    print(f"  requests: {text(callers.answers)}")
    print(f"  jobs served: {served_share(callers.jobs):.1%} of {len(callers.jobs)}")
    print(f"  tasks that ran twice, by ends of the earlier requests: {text(ends)}")
    print(f"  cancellations: {cancels.attempts}, acknowledged {len(cancels.acknowledged)}, "
          f"findings {len(cancels.found)}")


async def play(system, record, options):
    """Returns the findings and the jobs of the tasks among them."""
    cancels = CancelCheck(system, record)
    await system.begin()
    callers = Callers(system, record, options.seed)
    twice = TwiceCheck(system, record, callers)
    await asyncio.sleep(2)
    troubles = Troubles(system, record, callers, options.seed)
    kinds = options.only or KINDS
    ends = time.monotonic() + options.seconds

    async def track():
        while time.monotonic() < ends:
            await troubles.play(troubles.random.choice(kinds))
            await asyncio.sleep(troubles.random.uniform(0.1, 0.8))

    await asyncio.gather(*(track() for _ in range(TRACKS)))
    await asyncio.sleep(CALM_S)
    calm_since = time.monotonic()
    await asyncio.sleep(CALM_S)
    await callers.stop()
    print_counts(options, callers, troubles, twice, cancels)
    jobs = {found[1].split(".")[0] for found in twice.found + cancels.found}
    return findings_of(system, callers, twice, cancels, calm_since), sorted(jobs)


async def run(options):
    options.keep.mkdir(parents=True, exist_ok=True)
    os.environ["KEEP_LOGS"] = str(options.keep)
    record = fleet.Record(options.keep)
    system = ForwardedFleet(record, AGENTS, [each.route() for each in CLASSES])
    for role in system.roles.values():
        words = role["run"].split()
        role["run"] = " ".join([str(options.program.resolve()), *words[1:]])
    try:
        findings, jobs = await play(system, record, options)
    finally:
        system.stop()
    for job_id in jobs[:MAX_TRACES]:
        write_trace(options.keep, job_id)
    return findings


def write_trace(folder, job_id):
    """Puts the lines about a job, of the record and of the entries' logs, into a file."""
    lines = [line for line in (folder / "record.txt").read_text().splitlines() if job_id in line]
    entry_lines = []
    for log in folder.glob("edge-*.log"):
        for line in log.read_text(errors="replace").splitlines():
            if job_id in line:
                fields = json.loads(line)
                entry_lines.append(f"{fields.pop('time')} {log.stem} {json.dumps(fields)}")
    (folder / f"trace-{job_id}.txt").write_text("\n".join(lines + sorted(entry_lines)) + "\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", type=pathlib.Path, default=ROOT / "build/greengagehead")
    parser.add_argument("--seed", type=int, default=35)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--only", choices=KINDS, nargs="+", help="play these kinds of trouble")
    parser.add_argument("--keep", type=pathlib.Path, default=ROOT / "build/fleet-logs/resubmission",
                        help="folder for the record and the logs of the processes")
    findings = asyncio.run(run(parser.parse_args()))
    for finding in findings:
        print(finding)
    print(f"resubmission: {0 if findings else 1} passed, {1 if findings else 0} failed")
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
