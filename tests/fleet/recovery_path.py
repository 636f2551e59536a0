#!/usr/bin/env python3
"""Measures the time from the start of an entry to service: all processes of a small deployment are killed and started
together, again and again, while callers send jobs.

Prints, for each start of an entry, the milliseconds to each part of its state (event 3043), and then the medians and the
answers that callers got. Callers send one job every 50 ms to each entry, from the time at which it accepts connections
until 1.5 s after that, and do not repeat it.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import statistics
import sys
import tempfile
import time

from reserved_ports import ROOT, ReservedPortsFleet, fleet
from lib import http  # After reserved_ports, which makes it known.

PARTS = ("control_link", "leader", "lease", "view", "endpoint")
DEADLINE_MS = 1500
JOB_INTERVAL_S = 0.05
LOAD_S = 1.5
RUN_MS = (60, 200, 900)
RECOVERY_LIMIT_S = 15
DOWN_S = 0.3
CALM_S = 2.0


class RecoveryFleet(ReservedPortsFleet):
    """A deployment whose entries have further settings."""

    def __init__(self, record, agents, entry_settings):
        super().__init__(record, agents=agents)
        template = pathlib.Path(self.folder.name) / "entry-template.toml"
        text = (ROOT / self.roles["entry"]["template"]).read_text()
        template.write_text(text.replace("[entry]\n", f"[entry]\n{entry_settings}"))
        self.roles["entry"]["template"] = str(template)
        self.lives = 0

    def kill_all(self):
        for machine in self.machines.values():
            machine.process.kill()
        for machine in self.machines.values():
            machine.process.wait()
        for worker in self.workers.values():
            worker.crash()

    async def start_all(self, control_delay_s):
        self.lives += 1
        for name in [*self.names("entry"), *self.names("agent")]:
            self.start(name)
        for index, worker in enumerate(self.workers.values()):
            await worker.start(f"i-{self.lives:04x}{index + 1:04x}")
        await asyncio.sleep(control_delay_s)
        for name in self.names("control"):
            self.start(name)

    def log_size(self, name):
        return pathlib.Path(f"{self.folder.name}/{name}.log").stat().st_size

    def recovery_of(self, name, offset):
        """Milliseconds to each part of the state; None before the entry has all of them."""
        with open(f"{self.folder.name}/{name}.log", "rb") as log:
            log.seek(offset)
            for line in log:
                if b"state_recovered" in line:
                    fields = json.loads(line)
                    return [int(fields[part]) for part in PARTS]
        return None


async def send_jobs(deployment, entry, number, answers):
    """Sends jobs to an entry that has just started, without waiting for their answers."""
    tasks = []
    end = time.monotonic() + LOAD_S
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(
            send_job(deployment, entry, f"{number:04x}{len(tasks):04x}{hash(entry) % 2**32:08x}",
                     RUN_MS[len(tasks) % len(RUN_MS)], answers)))
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.gather(*tasks)


async def send_job(deployment, entry, job_id, run_ms, answers):
    begun = time.monotonic()
    status, _, _ = await http.call(
        deployment.front(entry), "POST", fleet.PREFIX + job_id, fleet.job(2, run_ms),
        {"Host": fleet.HOST, "Greengagehead-Deadline-Ms": str(DEADLINE_MS)},
        timeout=DEADLINE_MS / 1000 + 0.5)
    in_time = time.monotonic() - begun <= DEADLINE_MS / 1000
    answers[(run_ms, status if in_time else f"{status} late")] += 1


async def wait_for_listener(deployment, entry):
    host, port = deployment.front(entry).rsplit(":", 1)
    while True:
        try:
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.005)


async def call_entry(deployment, entry, number, answers):
    await wait_for_listener(deployment, entry)
    await send_jobs(deployment, entry, number, answers)


async def measure_round(deployment, number, control_delay_s, answers):
    entries = deployment.names("entry")
    offsets = {name: deployment.log_size(name) for name in entries}
    deployment.kill_all()
    await asyncio.sleep(DOWN_S)
    callers = [asyncio.create_task(call_entry(deployment, name, number, answers))
               for name in entries]
    await deployment.start_all(control_delay_s)
    await asyncio.gather(*callers)

    async def recovered():
        return all(deployment.recovery_of(name, offsets[name]) for name in entries)

    if not await deployment.wait_for(recovered, RECOVERY_LIMIT_S):
        raise fleet.CannotRun("the entries do not recover")
    return [deployment.recovery_of(name, offsets[name]) for name in entries]


async def measure(options, folder):
    record = fleet.Record(folder)
    settings = f"recovery_hold_ms = {options.hold_ms}\n" if options.hold_ms else ""
    deployment = RecoveryFleet(record, (2, 2, 2), settings)
    rows = []
    answers = collections.Counter()
    try:
        await deployment.begin()
        for number in range(options.rounds):
            for row in await measure_round(deployment, number, options.control_delay_ms / 1000,
                                           answers):
                print(number, " ".join(f"{part}={value}" for part, value in zip(PARTS, row)),
                      flush=True)
                rows.append(row)
            await asyncio.sleep(CALM_S)
    finally:
        deployment.stop()
    for index, part in enumerate(PARTS):
        values = sorted(row[index] for row in rows)
        print(f"{part}: median {statistics.median(values):.0f} ms, highest {values[-1]} ms, "
              f"{len(values)} starts")
    for (run_ms, status), count in sorted(answers.items(), key=str):
        print(f"tasks of {run_ms} ms, status {status}: {count}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--control-delay-ms", type=float, default=0,
                        help="the control members start later than the entries by this")
    parser.add_argument("--hold-ms", type=int, default=0, help="entry.recovery_hold_ms")
    with tempfile.TemporaryDirectory() as folder:
        try:
            asyncio.run(measure(parser.parse_args(), folder))
        except fleet.CannotRun as reason:
            sys.exit(f"cannot run: {reason}")


if __name__ == "__main__":
    main()
