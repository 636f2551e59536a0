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
import json
import os
import pathlib
import sys
import time

from forwarded_fleet import ROOT, ForwardedFleet, fleet
from resubmission_callers import CLASSES, ORDER_CONFIRM, Callers
from resubmission_checks import CancelCheck, TwiceCheck
from resubmission_troubles import KINDS, Troubles

AGENTS = (4, 4, 3)
CALM_S = 4.0
MIN_SERVED_SHARE = 0.5
MIN_SERVED_SHARE_CALM = 0.9
MAX_TRACES = 5
# Troubles that are in progress at the same time.
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
