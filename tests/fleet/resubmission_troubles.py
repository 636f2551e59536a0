"""Kinds of trouble that are played while callers resubmit jobs, for resubmission_test.py."""

import asyncio
import collections
import contextlib
import functools
import random
import signal
import time

from forwarded_fleet import fleet
from resubmission_callers import NO_ANSWER, ORDER_CONFIRM, PATIENT_DEADLINE_S, RESEND_S
from resubmission_checks import CANCEL_S, STOP_GRACE_S
from worker_orders import RENEWAL, START, STOP, WorkerOrders

# Requests that the balancer cuts off their caller, and seconds after their arrival.
CUT_OFF_SHARE = 0.4
CUT_OFF_S = (0.02, 1.2)
# Time in which a link that slows down step by step reaches its delay.
SLOWING_S = 2.0
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
# The cancelled jobs run longer than those of the site, so that runs that were not stopped are still
# there when the bound has passed, and their callers wait for the whole run.
CANCELLED_TASKS = 12
CANCELLED_RUN_MS = (4000, 6000)
CANCELLED_DEADLINE_S = 20.0
# Run time of jobs that a caller gives up while they are held.
HELD_RUN_MS = 2500


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
