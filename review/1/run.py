"""An entry freezes for less than two seconds while clients give up and hand their jobs in elsewhere."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import fleet

FREEZES_S = (1.7, 1.8, 1.9, 1.75, 1.85)
# How long a client waits, and the run time of its task.
CLIENTS_MS = ((300, 280), (400, 370), (500, 470))
JOBS_PER_CLIENT = 3
RESEND_S = 1.3


async def case(system, record, trouble):
    check = fleet.TwiceCheck(system, record)
    entries = system.names("entry")

    async def caller(job_id, deadline_ms, run_ms):
        body = fleet.job(1, run_ms)
        for entry in entries:
            status = await fleet.submit(system, record, entry, job_id, body, deadline_ms)
            if status not in (0, -1, 502, 504):
                return
            await asyncio.sleep(RESEND_S)

    for number, freeze_s in enumerate(FREEZES_S):
        if trouble:
            system.signal(entries[0], signal.SIGSTOP)
        clients = [asyncio.create_task(
            caller(f"{number:04x}{deadline_ms:04x}{copy:08x}", deadline_ms, run_ms))
            for deadline_ms, run_ms in CLIENTS_MS for copy in range(JOBS_PER_CLIENT)]
        await asyncio.sleep(freeze_s)
        if trouble:
            system.signal(entries[0], signal.SIGCONT)
        await asyncio.gather(*clients)
        await asyncio.sleep(3)
    return bool(check.found)


fleet.main(pathlib.Path(__file__).parent, case, agents=(4, 4, 3))
