"""Checks of what runs after a resubmission or a cancellation, for resubmission_test.py."""

import asyncio
import time

from forwarded_fleet import fleet

# PROTOCOL.md: bounds of a cancellation.
CANCEL_S = 3.0
STOP_GRACE_S = 0.05
CANCELLED = (200, 204, 410)


class CancelCheck:
    """Starts and runs of a job after its cancellation was acknowledged (rule UNASKED)."""

    def __init__(self, system, record):
        self.system = system
        self.record = record
        self.acknowledged = {}
        self.attempts = 0
        self.found = []
        record.listeners.append(self.on_event)

    def on_event(self, now, event, fields):
        if event == "client-delete":
            self.attempts += 1
            if fields["status"] in CANCELLED:
                self.acknowledged[fields["job"]] = now
                asyncio.get_running_loop().call_later(CANCEL_S + STOP_GRACE_S, self.check_runs,
                                                      fields["job"])
        elif event == "start":
            since = now - self.acknowledged.get(fields["task"].split(".")[0], now)
            if since > CANCEL_S:
                self.add(now, fields["task"], fields["worker"], f"starts {since:.2f} s after")

    def check_runs(self, job_id):
        now = time.monotonic() - self.record.begun
        runs = [(task, worker.name) for worker in self.system.workers.values() if worker.up
                for task in worker.running if task.startswith(job_id)]
        if runs:
            self.add(now, *runs[0],
                     f"and {len(runs) - 1} more run {CANCEL_S + STOP_GRACE_S:.2f} s after")

    def add(self, now, task, worker, what):
        self.found.append((now, task, worker, what))
        self.record("BROKEN", rule="UNASKED", task=task, worker=worker)


class TwiceCheck:
    """The tasks that ran twice, with the ends of the earlier requests for their jobs."""

    def __init__(self, system, record, callers):
        self.callers = callers
        self.found = []
        self.check = fleet.TwiceCheck(system, record)
        record.listeners.append(self.on_event)

    def on_event(self, now, event, fields):
        if event == "BROKEN" and fields["rule"] == "TWICE":
            ends = self.callers.unanswered.get(fields["task"].split(".")[0], ["answered"])
            self.found.append((now, fields["task"], fields["first"], fields["second"],
                               ", then ".join(ends)))
