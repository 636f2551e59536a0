"""Stand-in workers that do not list all that runs there, and whose tasks may stand still.

The worker of the review lists a run until it has ended. PROTOCOL.md promises only that an end is
listed in `ended_at`; a run that is being stopped, for up to `stop_grace_ms`, need not be in `running`.
"""

import asyncio
import collections
import dataclasses
import math
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review"))

from lib import fleet, http  # noqa: E402
from lib.worker import Worker  # noqa: E402

from reserved_ports import ReservedPortsFleet  # noqa: E402

# Nearly the longest time that a stop may take (`stop_grace_ms`, 50 ms).
STOP_S = 0.045


@dataclasses.dataclass
class Period:
    """When a run was on a worker, on the steady clock; `ended` is infinite while it is there."""

    worker: str
    begun: float
    ended: float = math.inf


class UnlistedRunsWorker(Worker):
    """Takes STOP_S to stop a run, and does not list it meanwhile.

    What is overdue ends before the next call to any worker of the fleet, since the event loop that
    they share is late under load and the ends of a worker must keep the times that it promises.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.settle_all = self.settle
        # Periods of the runs that were here, by task and number, in all lives.
        self.periods = collections.defaultdict(list)
        self.running = {}
        # Runs that are being stopped, with the time of the first order.
        self.stopping = {}
        # Until when other runs are left out of the lists.
        self.left_out = {}
        self.still_since = None
        self.longest_delay_s = 0.0

    async def start(self, worker_id):
        self.stopping = {}
        self.left_out = {}
        self.still_since = None
        await super().start(worker_id)

    def crash(self):
        for run in self.running.values():
            self.period(run).ended = time.monotonic()
        super().crash()

    def period(self, run):
        return self.periods[run.task, run.number][-1]

    # --- ends ---

    def due(self, run):
        """Time at which the run ends if nothing else happens, and how."""
        ends = [(self.born_at + self.lease_end / 1000, "lapsed")]
        if run in self.stopping:
            ends.append((self.stopping[run] + STOP_S, "stopped"))
        if self.still_since is None:
            ends.append((run.begun + run.length_ms / 1000, "done"))
        return min(ends)

    def settle(self):
        """Ends what is overdue."""
        for run in list(self.running.values()):
            time_due, how = self.due(run)
            if time_due <= time.monotonic():
                self.end(run, how)

    def end(self, run, how):
        if self.running.get(run.task) is not run or how == "done" and self.still_since is not None:
            return
        now = time.monotonic()
        self.period(run).ended = min(now, self.due(run)[0])
        self.longest_delay_s = max(self.longest_delay_s, now - self.period(run).ended)
        self.stopping.pop(run, None)
        self.left_out.pop(run, None)
        super().end(run, how)

    # --- calls of the agent ---

    async def answer(self, method, path, headers, body):
        if not self.up:
            # A connection that was accepted at the moment of a crash is not among those that the
            # review's server resets.
            raise ConnectionResetError
        self.settle_all()
        return await super().answer(method, path, headers, body)

    def run_start(self, call):
        before = self.running.get(call["task"])
        reply = super().run_start(call)
        run = self.running.get(call["task"])
        if run is not before:
            self.periods[run.task, run.number].append(Period(self.name, run.begun))
        return reply

    def run_stop(self, call):
        task, number = call["task"], call["run_id"]
        run = self.running.get(task)
        if run is not None and run.number <= number and run not in self.stopping:
            self.stopping[run] = time.monotonic()
            self.record("stop", worker=self.name, task=task, run=run.number)
            asyncio.get_running_loop().call_later(STOP_S, self.end, run, "stopped")
        self.barred[task] = max(self.barred.get(task, 0), number)
        return http.Reply(200)

    async def hold(self, call):
        reply = await super().hold(call)
        now = time.monotonic()
        reply.body["running"] = [self.row(self.running[row[0]], row)
                                 for row in reply.body["running"]
                                 if self.lists(self.running[row[0]], now)]
        return reply

    def lists(self, run, now):
        return run not in self.stopping and now >= self.left_out.get(run, now)

    def row(self, run, row):
        if self.still_since is None:
            return row
        task, number, saved, _, cpu = row
        worked_s = max(0.0, self.still_since - run.begun)
        percent = min(99, int(worked_s * 100_000 / max(run.length_ms, 1)))
        return [task, number, saved, percent, cpu]

    def leave_out(self, run, seconds):
        """Leaves a run that goes on out of the lists, without any order."""
        self.record("left-out", worker=self.name, task=run.task, run=run.number,
                    seconds=f"{seconds:.3f}")
        self.left_out[run] = time.monotonic() + seconds

    async def stand_still(self, seconds):
        """No task here advances or ends `done` meanwhile."""
        self.record("stand-still", worker=self.name, seconds=f"{seconds:.2f}")
        self.still_since = time.monotonic()
        await asyncio.sleep(seconds)
        # A life that began meanwhile has tasks that advance.
        if self.still_since is None:
            return
        now = time.monotonic()
        for run in self.running.values():
            run.begun += now - max(run.begun, self.still_since)
        self.still_since = None


class UnlistedRunsFleet(ReservedPortsFleet):
    """The review's fleet with these workers."""

    WORKER = UnlistedRunsWorker

    def add(self, role, name, zone, ip, seeds):
        super().add(role, name, zone, ip, seeds)
        worker = self.workers.get(name)
        if worker is not None:
            self.workers[name] = self.WORKER(worker.name, worker.app, worker.control,
                                             fleet.SERVICE, zone, self.record)
            self.workers[name].settle_all = self.settle

    def settle(self):
        for worker in self.workers.values():
            if worker.up:
                worker.settle()
