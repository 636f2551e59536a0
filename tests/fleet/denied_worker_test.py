"""Real processes beside workers that deny who they are while their runs go on.

Guards against tasks that run twice at the same time, and agents that serve no more, because one
answer or announcement of a live worker was taken for the end of its incarnation. Further kinds of
trouble, beside those of worker_troubles:

- denied_calls: calls are answered with 421 for a moment: one call, three, all that name an id, or
  all;
- other_id: a worker is called by another id from now on, and heartbeats say so before the first call
  to the former id is refused, or up to seconds later;
- higher_token: a worker has seen a higher fencing token than that of its agent, which must serve
  again;
- odd_start: `born` in some answers is missing, a string, or off by up to a second;
- control_kill: a control member is killed and starts again.

An end that an agent concluded (event 4023) while the run was still there is a finding, and so is one
that the worker lists afterwards (event 4024), except after an expired lease. A run is repeated with
its seed; times differ between runs.
"""

import argparse
import asyncio
import collections
import functools
import pathlib
import signal
import sys
import time

from denied_workers import DeniedWorkersFleet
from unlisted_runs import ROOT
from worker_identity_test import LONGEST_SHUTDOWN_S, count_events
from worker_troubles import Troubles, run

DENIED_S = (0.005, 0.2)
DENIED_CALLS = 3
BEAT_FIRST_S = (0.002, 0.05)
BEAT_LATE_S = (0.01, 2.5)
HIGHER_BY = (1, 1000, 1_000_000)
# An agent goes on when its worker has announced itself for 4.5 s and none of its announcements was
# missing; the rest is for a loaded machine.
LONGEST_REFUSAL_S = 10.0
ODD_START_S = (0.1, 1.0)
ODD_START_SHARE = 0.2
LARGEST_START_ERROR_MS = 1000
COUNTED_EVENTS = {4026: "incarnation_denied", 4014: "worker_lost", 4019: "worker_restarted",
                  4025: "agent_superseded", 4015: "fence_raised", 4011: "foreign_run_stopped",
                  3029: "restarts_counted", 4027: "inferred_ends_counted",
                  4028: "inferred_end_recalled"}


class DeniedWorkerTroubles(Troubles):
    KINDS = ("denied_calls", "other_id", "higher_token", "odd_start", "stand_still", "agent_pause",
             "agent_restart", "worker_restart", "silent_worker", "lost_orders", "control_kill")

    def __init__(self, system, record, seed):
        super().__init__(system, record, seed)
        # When each worker last started a run, and the longest time between starts of the fleet.
        self.last_start = collections.defaultdict(float)
        self.latest_start = None
        self.longest_gap_s = 0.0
        self.refused_s = {}
        # Some workers tell no more than PROTOCOL.md promises.
        for worker in system.workers.values():
            worker.names_start_in_lists_only = self.random.random() < 0.5
        record.listeners.append(self.on_event)

    def on_event(self, _, event, fields):
        if event != "start":
            return
        now = time.monotonic()
        if self.latest_start is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self.latest_start)
        self.latest_start = self.last_start[fields["worker"]] = now

    async def denied_calls(self):
        with self.taken("denials", 4) as agents:
            await asyncio.gather(*(self.deny(self.system.workers[agent]) for agent in agents))

    async def deny(self, worker):
        seconds = self.random.uniform(*DENIED_S)
        options = self.random.choice(({"calls": 1}, {"calls": DENIED_CALLS}, {"named_only": True},
                                      {}))
        if worker.up:
            worker.deny(seconds, **options)
        await asyncio.sleep(seconds)

    async def other_id(self):
        with self.taken("id", 2) as agents:
            await asyncio.gather(*(self.rename(self.system.workers[agent]) for agent in agents))

    async def rename(self, worker):
        beat_first = self.random.random() < 0.5
        former_accepted_s = self.random.uniform(*BEAT_FIRST_S) if beat_first else 0.0
        beat_after_s = 0.0 if beat_first else self.random.uniform(*BEAT_LATE_S)
        worker_id = f"i-{self.random.getrandbits(32):08x}"
        if worker.up:
            worker.rename(worker_id, beat_after_s, former_accepted_s)
        await asyncio.sleep(max(beat_after_s, former_accepted_s) + self.random.uniform(0.1, 1.5))

    async def higher_token(self):
        # Each agent at most once, so it is not free again.
        free = [agent for agent in self.system.names("agent") if agent not in self.refused_s]
        agents = self.random.sample(free, min(len(free), self.random.randint(1, 3)))
        for agent in agents:
            self.refused_s[agent] = None
        await asyncio.gather(*(self.raise_token(agent) for agent in agents))

    async def raise_token(self, agent):
        worker = self.system.workers[agent]
        higher_by = self.random.choice(HIGHER_BY)
        self.record("higher-token", worker=worker.name, by=higher_by, fence=worker.fence)
        worker.fence += higher_by
        raised_at = time.monotonic()

        # An announcement that is held back may have gone to another process of the agent.
        while time.monotonic() < max(raised_at, worker.beats_resumed_at) + LONGEST_REFUSAL_S:
            if self.last_start[worker.name] > raised_at:
                self.refused_s[agent] = self.last_start[worker.name] - raised_at
                return
            await asyncio.sleep(0.05)

    async def odd_start(self):
        with self.taken("start", 3) as agents:
            await asyncio.gather(*(self.change_starts(self.system.workers[agent])
                                   for agent in agents))

    async def change_starts(self, worker):
        self.record("odd-start", worker=worker.name)
        # Several answers may name the same wrong start.
        error_ms = self.start_error_ms() if self.random.random() < 0.5 else None
        worker.born_in_answer = functools.partial(self.odd_born, error_ms)
        await asyncio.sleep(self.random.uniform(*ODD_START_S))
        worker.born_in_answer = lambda born: born

    def start_error_ms(self):
        return self.random.choice((-1, 1)) * self.random.randint(1, LARGEST_START_ERROR_MS)

    def odd_born(self, error_ms, born):
        if self.random.random() >= ODD_START_SHARE:
            return born
        wrong = born + (error_ms or self.start_error_ms())
        return self.random.choice((None, str(born), "soon", wrong, wrong))

    async def control_kill(self):
        # The others must be a majority, so one at a time.
        if self.busy["control"]:
            return
        member = self.random.choice(self.system.names("control"))
        self.busy["control"].add(member)
        await self.kill(member)
        await asyncio.sleep(self.random.uniform(0.05, 2.0))
        self.system.start(member)
        await asyncio.sleep(2.0)
        self.busy["control"].discard(member)

    async def finish(self):
        findings = [f"{agent} starts no run for {LONGEST_REFUSAL_S} s after its worker has seen a "
                    f"higher fencing token"
                    for agent, seconds in self.refused_s.items() if seconds is None]
        return findings + await self.end_processes()

    async def end_processes(self):
        """Ends entries and agents, so that they write what they have counted."""
        machines = [machine for machine in self.system.machines.values()
                    if machine.role in ("entry", "agent") and machine.process.poll() is None]
        for machine in machines:
            self.system.signal(machine.name, signal.SIGTERM)

        async def all_ended():
            return all(machine.process.poll() is not None for machine in machines)
        await self.system.wait_for(all_ended, LONGEST_SHUTDOWN_S)
        return [f"{machine.name} did not end within {LONGEST_SHUTDOWN_S} s"
                for machine in machines if machine.process.poll() is None]

    def summary(self, folder):
        counts = count_events(folder, COUNTED_EVENTS)
        yield ", ".join(f"{counts[number]} {number} {name}"
                        for number, name in COUNTED_EVENTS.items())
        yield f"longest time without a start {self.longest_gap_s:.2f} s"
        if self.refused_s:
            yield "first start after a higher token: " + ", ".join(
                "none" if seconds is None else f"{seconds:.2f} s"
                for seconds in self.refused_s.values())


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", type=pathlib.Path, default=ROOT / "build/greengagehead")
    parser.add_argument("--seed", type=int, default=44)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--only", choices=DeniedWorkerTroubles.KINDS, nargs="+",
                        help="play these kinds of trouble")
    parser.add_argument("--keep", type=pathlib.Path,
                        default=ROOT / "build/fleet-logs/denied-workers",
                        help="folder for the record and the logs of the processes")
    findings = asyncio.run(run(parser.parse_args(), DeniedWorkersFleet, DeniedWorkerTroubles))
    for finding in findings:
        print(finding)
    print(f"denied workers: {0 if findings else 1} passed, {1 if findings else 0} failed")
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
