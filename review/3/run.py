"""Workers crash and start again under their id; a new life registers 0.3 s after it listens."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import fleet

CALLERS_PER_ENTRY = 7
DEADLINE_MS = 1500
RUN_MS = 200
CRASHES = 6
DOWN_S = 0.3
# From the start of a life to its first heartbeat; a worker sends one about every 1.5 s.
REGISTER_S = 0.3


async def case(system, record, trouble):
    check = fleet.TwiceCheck(system, record)
    load = fleet.Load(system, record, CALLERS_PER_ENTRY, fleet.job(2, RUN_MS), DEADLINE_MS)
    await asyncio.sleep(2)
    agents = system.names("agent")
    for number in range(CRASHES if trouble else 0):
        worker = system.workers[agents[number]]
        worker.crash()
        await asyncio.sleep(DOWN_S)
        worker.register_s = REGISTER_S
        await worker.start(worker.id)
        await asyncio.sleep(2.5)
    if not trouble:
        await asyncio.sleep(CRASHES * (DOWN_S + 2.5))
    await load.stop()
    return bool(check.found)


fleet.main(pathlib.Path(__file__).parent, case, agents=(4, 4, 3))
