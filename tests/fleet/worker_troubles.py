"""Kinds of trouble for agents and their workers, and the play of them on real processes."""

import asyncio
import collections
import contextlib
import datetime
import functools
import json
import os
import pathlib
import random
import signal
import time

from unlisted_runs import fleet
from worker_identity_test import Answers, invalid_log_lines
from worker_orders import RENEWAL, START, STOP, WorkerOrders

AGENTS = (4, 4, 3)
CALLERS_PER_ENTRY = 7
TASKS = 3
RUN_MS = 240
DEADLINE_MS = 1500
CALM_S = 4.0
MIN_SERVED_SHARE = 0.5
# Long enough for a run to count as one that has stalled.
STAND_STILL_S = (0.2, 1.5)
PAUSE_S = (0.02, 0.7)
SILENCE_S = (0.1, 2.5)
# Most starts get no answer, so agents give some up, which are carried out before or after the stop.
LATE_SHARES = {START: 0.6, STOP: 0.1, RENEWAL: 0.05}
LOST_SHARES = {START: 0.1, STOP: 0.1, RENEWAL: 0.05}
LATE_ORDER_S = (0.02, 0.4)
LEFT_OUT_S = (0.01, 0.06)
LEFT_OUT_SHARE = 0.3
RUN_END_INFERRED = 4023
END_AFTER_OUTCOME = 4024
LEASE_EXPIRED = "lease expired"
# Times in logs are whole milliseconds; the system clock may be adjusted during a play.
LOG_TIME_TOLERANCE_S = 0.002


class Troubles:
    """One method for each kind of trouble; each leaves the system as it found it."""

    KINDS = ("stand_still", "agent_pause", "silent_worker", "lost_orders", "agent_restart",
             "worker_restart", "unlisted_runs")

    def __init__(self, system, record, seed):
        self.system = system
        self.record = record
        self.random = random.Random(seed)
        self.played = collections.Counter()
        # Machines in use, by kind of trouble: troubles of several kinds meet at one machine.
        self.busy = collections.defaultdict(set)
        self.orders = {name: WorkerOrders(worker, record, self.random)
                       for name, worker in system.workers.items()}

    async def play(self, kind):
        self.played[kind] += 1
        self.record("trouble", kind=kind)
        await getattr(self, kind)()

    async def finish(self):
        """Called after the last request; returns findings of its own."""
        return []

    def summary(self, folder):
        """Further lines to print, from the logs in this folder."""
        return []

    @contextlib.contextmanager
    def taken(self, kind, at_most):
        """Names of agents that no other trouble of this kind uses; none if there are none."""
        free = [name for name in self.system.names("agent") if name not in self.busy[kind]]
        names = self.random.sample(free, min(len(free), self.random.randint(1, at_most)))
        self.busy[kind].update(names)
        try:
            yield names
        finally:
            self.busy[kind].difference_update(names)

    async def stand_still(self):
        with self.taken("stand_still", 3) as agents:
            await asyncio.gather(*(
                self.system.workers[agent].stand_still(self.random.uniform(*STAND_STILL_S))
                for agent in agents))

    async def agent_pause(self):
        with self.taken("process", 3) as agents:
            await asyncio.gather(*(self.pause(agent) for agent in agents))

    async def pause(self, agent):
        self.system.signal(agent, signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(*PAUSE_S))
        self.system.signal(agent, signal.SIGCONT)

    async def silent_worker(self):
        with self.taken("orders", 2) as agents:
            await asyncio.gather(*(self.silence(agent) for agent in agents))

    async def silence(self, agent):
        """Orders are carried out without an answer, or do not arrive."""
        orders = self.orders[agent]
        shares = {path: 1.0 for path in (START, STOP, RENEWAL)}
        orders.late_s = (0.0, 0.0)
        carried_out = self.random.random() < 0.5
        seconds = self.random.uniform(*SILENCE_S)
        self.record("silence", worker=agent, seconds=f"{seconds:.2f}", carried_out=carried_out)
        (orders.late_shares if carried_out else orders.lost_shares).update(shares)
        await asyncio.sleep(seconds)
        orders.late_shares, orders.lost_shares = {}, {}

    async def lost_orders(self):
        with self.taken("orders", 4) as agents:
            for agent in agents:
                self.orders[agent].late_s = LATE_ORDER_S
                self.orders[agent].late_shares = LATE_SHARES
                self.orders[agent].lost_shares = LOST_SHARES
            await asyncio.sleep(self.random.uniform(1, 3))
            for agent in agents:
                self.orders[agent].late_shares, self.orders[agent].lost_shares = {}, {}

    async def agent_restart(self):
        with self.taken("process", 2) as agents:
            await asyncio.gather(*(self.restart_agent(agent) for agent in agents))

    async def kill(self, name):
        """Like `Fleet.kill`, but the stand-ins go on until the process has ended: that takes as long
        as what it was writing to a busy disk, which may be seconds."""
        self.system.signal(name, signal.SIGKILL)
        process = self.system.machines[name].process
        while process.poll() is None:
            await asyncio.sleep(0.005)

    async def restart_agent(self, agent):
        await self.kill(agent)
        await asyncio.sleep(self.random.uniform(0, 1.0))
        self.system.start(agent)
        # The agent waits for the leases of its former process, then it takes on work.
        await asyncio.sleep(self.random.uniform(1.0, 3.0))

    async def worker_restart(self):
        with self.taken("worker", 1) as agents:
            for agent in agents:
                await self.restart_worker(self.system.workers[agent])

    async def restart_worker(self, worker):
        worker.crash()
        await asyncio.sleep(self.random.uniform(0.05, 0.8))
        worker.register_s = self.random.uniform(0, 0.5)
        same_id = self.random.random() < 0.5
        await worker.start(worker.id if same_id else f"i-{self.random.getrandbits(32):08x}")
        await asyncio.sleep(worker.register_s)
        worker.register_s = 0.0

    async def unlisted_runs(self):
        with self.taken("lists", 4) as agents:
            ends = time.monotonic() + self.random.uniform(0.5, 2)
            while time.monotonic() < ends:
                for agent in agents:
                    self.leave_out_runs(self.system.workers[agent])
                await asyncio.sleep(self.random.uniform(0.05, 0.3))

    def leave_out_runs(self, worker):
        for run in list(worker.running.values()) if worker.up else []:
            if self.random.random() < LEFT_OUT_SHARE:
                worker.leave_out(run, self.random.uniform(*LEFT_OUT_S))


TRACKS = 4


class InferredEnds:
    """Compares what agents concluded about ends that they had not read with what ran on the workers.

    END_AFTER_OUTCOME is a finding of its own, except after an expired lease: a worker that answers
    nothing until then lists the ends of that time afterwards.
    """

    def __init__(self, system, folder):
        self.system = system
        self.folder = folder
        # Time of the Unix epoch on the steady clock.
        self.epoch = time.monotonic() - time.time()
        self.inferred = 0
        self.late_rows = 0

    def findings(self):
        return [finding for agent, worker in self.system.workers.items()
                for finding in self.findings_of_agent(agent, worker)]

    def findings_of_agent(self, agent, worker):
        proofs = {}
        for fields in self.events(agent):
            run = fields["task"], int(fields["run"])
            if fields["event"] == RUN_END_INFERRED:
                self.inferred += 1
                proofs[run] = fields["proof"]
                yield from self.runs_after(agent, worker, run, fields)
                continue
            self.late_rows += 1
            if proofs.get(run) != LEASE_EXPIRED:
                yield (f"event {END_AFTER_OUTCOME} at {fields['time']}: {agent}, {run[0]} "
                       f"(run {run[1]}), taken as ended before, {proofs.get(run)}")

    def events(self, agent):
        names = [b'"event":%d,' % event for event in (RUN_END_INFERRED, END_AFTER_OUTCOME)]
        for line in (self.folder / f"{agent}.log").read_bytes().splitlines():
            if any(name in line for name in names):
                yield json.loads(line)

    def runs_after(self, agent, worker, run, fields):
        """Findings for a run that was there after its agent had concluded that it had ended."""
        concluded = datetime.datetime.fromisoformat(fields["time"]).timestamp() + self.epoch
        for period in worker.periods.get(run, []):
            if period.ended > concluded + LOG_TIME_TOLERANCE_S:
                yield (f"TOO EARLY at {fields['time']}: {agent} took {run[0]} (run {run[1]}) as "
                       f"ended, {fields['proof']}; it ran from "
                       f"{(period.begun - concluded) * 1000:.0f} to "
                       f"{(period.ended - concluded) * 1000:.0f} ms after that")


def print_counts(options, answers, check, troubles, ends):
    played = ", ".join(f"{count} {kind}" for kind, count in sorted(troubles.played.items()))
    delay_s = max(worker.longest_delay_s for worker in troubles.system.workers.values())
    total = answers.served + answers.others
    print(f"seed {options.seed}, {' '.join(options.only or ['mixed'])}: troubles: {played}")
    print(f"  {answers.served} of {total} requests served, {len(check.found)} tasks ran twice")
    print(f"  {ends.inferred} ends inferred, {ends.late_rows} of them listed afterwards; "
          f"timers of the stand-ins up to {delay_s * 1000:.0f} ms late")


def findings_of(system, answers, check):
    findings = [f"TWICE at {now:.3f} s: {task} on {first} and {second}"
                for now, task, first, second in check.found]
    findings += [f"{name} ended by itself" for name, machine in system.machines.items()
                 if machine.process.poll() is not None]
    total = answers.served + answers.others
    if answers.served < MIN_SERVED_SHARE * total:
        findings.append(f"only {answers.served} of {total} requests were served")
    return findings


async def play(system, record, options, troubles):
    """Returns the findings, and what prints the counts of the play."""
    check = fleet.TwiceCheck(system, record)
    answers = Answers(record)
    await system.begin()
    load = fleet.Load(system, record, CALLERS_PER_ENTRY, fleet.job(TASKS, RUN_MS), DEADLINE_MS)
    await asyncio.sleep(2)
    ends = time.monotonic() + options.seconds

    async def track():
        while time.monotonic() < ends:
            await troubles.play(troubles.random.choice(options.only or troubles.KINDS))
            await asyncio.sleep(troubles.random.uniform(0.05, 0.4))

    await asyncio.gather(*(track() for _ in range(TRACKS)))
    await asyncio.sleep(CALM_S)
    await load.stop()
    findings = findings_of(system, answers, check) + await troubles.finish()
    return findings, functools.partial(print_counts, options, answers, check, troubles)


async def run(options, fleet_class, troubles_class):
    """Returns the findings of one play."""
    options.keep.mkdir(parents=True, exist_ok=True)
    os.environ["KEEP_LOGS"] = str(options.keep)
    record = fleet.Record(options.keep)
    system = fleet_class(record, agents=AGENTS)
    for role in system.roles.values():
        words = role["run"].split()
        role["run"] = " ".join([str(options.program.resolve()), *words[1:]])
    ends = InferredEnds(system, options.keep)
    try:
        troubles = troubles_class(system, record, options.seed)
        findings, print_counts_with = await play(system, record, options, troubles)
    finally:
        system.stop()
    findings += ends.findings()
    print_counts_with(ends)
    for line in troubles.summary(options.keep):
        print(f"  {line}")
    return findings + invalid_log_lines(options.keep)
