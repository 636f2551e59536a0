"""A side machine is suspended for some seconds, with its agent and its worker."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib2 import fleet  # noqa: E402

AGENTS = 11
SUSPENDED_S = 3.8
RESEND_S = 1.3
TASKS, TASK_MS, DEADLINE_MS = 4, 450, 1500
JOBS_PER_S = 40
SUSPENSIONS = 3


async def hand_in(system, job, number):
    """A caller, which sends its job again at another entry while it gets no clear answer."""
    for attempt in range(3):
        entry = f"entry-{(number + attempt) % 3}"
        status = await system.submit(entry, job, TASKS, TASK_MS, DEADLINE_MS, cpu=1600)
        if status not in (0, 502, 504):
            return
        await asyncio.sleep(RESEND_S)


async def load(system, until):
    jobs = []
    while system.record.now() < until:
        jobs.append(asyncio.create_task(hand_in(system, fleet.new_id(), len(jobs))))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*jobs)


async def suspend(system, agent):
    system.signal(agent, signal.SIGSTOP)
    await system.workers[agent].suspend(SUSPENDED_S)
    system.signal(agent, signal.SIGCONT)


async def play(system, record, trouble):
    calls = asyncio.create_task(load(system, record.now() + 2 + SUSPENSIONS * 9))
    await asyncio.sleep(2)
    findings = {}
    for number in range(SUSPENSIONS):
        worker = system.workers[f"agent-{number}"]
        if trouble:
            await suspend(system, f"agent-{number}")
        else:
            await asyncio.sleep(SUSPENDED_S)
        await asyncio.sleep(2)
        if trouble:
            findings |= overlaps(system, worker)
        await asyncio.sleep(9 - 2 - SUSPENDED_S)
    await calls
    record("summary", twice=len(findings))
    return [f"TWICE: {task} ran on a worker that was awake again, beside another run, "
            f"for {both * 1000:.0f} ms" for task, both in findings.items()]


def overlaps(system, suspended):
    """Runs of tasks that went on when the worker was awake again, beside another run of the task.
    The time in which the worker was suspended doesn't count."""
    found = {}
    for first in suspended.periods:
        if first.began > suspended.woke or first.ended and first.ended <= suspended.woke:
            continue
        for worker in system.workers.values():
            for second in worker.periods:
                if second is first or second.task != first.task or not first.ended:
                    continue
                both = min(first.ended, second.ended or first.ended) \
                    - max(suspended.woke, second.began)
                if both > 0:
                    found[first.task] = max(found.get(first.task, 0), both)
    return found


sys.exit(fleet.main(pathlib.Path(__file__).parent, play, agents=AGENTS))
