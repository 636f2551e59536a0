"""Real processes beside workers that do not list a run while they are stopping it.

Guards against tasks that run twice at the same time because an agent took the absence of a run from
the worker's lists for its end. Each kind of trouble makes runs stop, or be missing, in another way:

- stand_still: tasks on some workers stand still; their entries cancel them and start them elsewhere,
  which must wait for the end and not for a list without the run;
- agent_pause: agents are paused for a short time, so reports from before and after it follow closely;
- silent_worker: workers answer nothing for a while, so orders are repeated and entries give runs up;
- lost_orders: orders and answers are lost, or carried out late: a start that was not answered may
  still be carried out, and its absence from a list does not tell;
- agent_restart: an agent that starts must not take an empty list for the end of what its former
  process started there;
- worker_restart: a new life of a worker, under the same id or another one, lists nothing of before;
- unlisted_runs: workers leave runs that go on out of their lists, without any order.

An end that an agent concluded (event 4023, `run_end_inferred`) while the run was still there is a
finding, also if the task was not started again, and so is one that the worker lists afterwards (event
4024, `end_after_outcome`). A run is repeated with its seed; times differ between runs.
"""

import argparse
import asyncio
import pathlib
import sys

from unlisted_runs import ROOT, UnlistedRunsFleet
from worker_troubles import Troubles, run


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", type=pathlib.Path, default=ROOT / "build/greengagehead")
    parser.add_argument("--seed", type=int, default=41)
    parser.add_argument("--seconds", type=float, default=35)
    parser.add_argument("--only", choices=Troubles.KINDS, nargs="+",
                        help="play these kinds of trouble")
    parser.add_argument("--keep", type=pathlib.Path,
                        default=ROOT / "build/fleet-logs/unlisted-runs",
                        help="folder for the record and the logs of the processes")
    findings = asyncio.run(run(parser.parse_args(), UnlistedRunsFleet, Troubles))
    for finding in findings:
        print(finding)
    print(f"unlisted runs: {0 if findings else 1} passed, {1 if findings else 0} failed")
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
