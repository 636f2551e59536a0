"""Measures the example fleet with `greengagehead bench` and prints rows for docs/measurements.md.

Usage: measure.py load|zone|flood|idle [least_loaded|random]
"""

import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import time

import fleet
from fleet import PROGRAM, ZONES, Fleet

SLOTS = 6 * 8
RUN_MS = 100
ENTRIES = ",".join(f"http://127.0.0.1:{base + 2}" for base in ZONES.values())


def job(team, tasks, run_ms=RUN_MS):
    return {"submission": "x", "team": team, "deadline_ms": 20000,
            "tasks": [{"kind": "quote", "idempotent": True, "payload": {"run_ms": run_ms}}] * tasks}


def bench(jobs, rate, seconds):
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(jobs, file)
        file.flush()
        ended = subprocess.run([PROGRAM, "bench", "--json", "--entries", ENTRIES, "--token",
                                fleet.OPERATOR, "--rate", str(rate), "--seconds", str(seconds),
                                file.name], capture_output=True, text=True, check=False)
    return json.loads(ended.stdout)


def measure_load(running):
    for load in (0.3, 0.7, 0.9):
        rate = SLOTS / (RUN_MS / 1000) * load / 4
        bench([job("hospital", 4)], rate, 4)
        result = bench([job("hospital", 4)], rate, 15)
        print(load, json.dumps(result))
    print("doubled starts", running.starts()[1])


def measure_zone(running):
    rate = SLOTS / (RUN_MS / 1000) * 0.6 / 4
    counts = []
    done = threading.Event()

    def sample():
        while not done.is_set():
            counts.append((time.monotonic(), running.starts()[0]))
            time.sleep(0.25)
    sampler = threading.Thread(target=sample)
    loader = threading.Thread(target=lambda: print(json.dumps(bench([job("hospital", 4)], rate, 18))))
    loader.start()
    sampler.start()
    time.sleep(6)
    out = time.monotonic()
    running.call("salvador", "PUT", "/v1/zones/recife", {"state": "out"})
    taken = time.monotonic()
    time.sleep(6)
    back = time.monotonic()
    running.call("salvador", "PUT", "/v1/zones/recife", {"state": "in"})
    loader.join()
    done.set()
    sampler.join()

    def rate_between(begin, end):
        inside = [c for c in counts if begin <= c[0] <= end]
        return (inside[-1][1] - inside[0][1]) / (inside[-1][0] - inside[0][0])
    print(f"offered {rate * 4:.0f}/s, before {rate_between(out - 4, out):.0f}/s, "
          f"out {rate_between(taken, back):.0f}/s, back {rate_between(back, back + 4):.0f}/s, "
          f"take-out acknowledged after {taken - out:.2f} s")


def measure_flood(running):
    quiet = job("terminals", 2)
    alone = bench([quiet], 20, 10)["teams"]["terminals"]
    mixed = bench([quiet] + [job("hospital", 20)] * 10, 220, 10)["teams"]
    print("alone", json.dumps(alone))
    print("flooded", json.dumps(mixed))


def measure_idle(running):
    time.sleep(3)

    def usage(name):
        pid = running.processes[name].pid
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        written = dict(line.split(": ") for line in
                       pathlib.Path(f"/proc/{pid}/io").read_text().splitlines())
        return (int(fields[11]) + int(fields[12])) / 100, int(resident.split()[1]), \
            int(written["wchar"])
    names = ["recife-control", "fortaleza-control", "salvador-control", "recife-entry",
             "recife-agent-1"]
    before = {name: usage(name) for name in names}
    time.sleep(10)
    for name in names:
        after = usage(name)
        print(f"{name}: {(after[0] - before[name][0]) * 10:.2f}% of a core, {after[1]} kB resident, "
              f"{(after[2] - before[name][2]) / 10 / 1000:.2f} kB/s written")


if __name__ == "__main__":
    if len(sys.argv) > 2:
        fleet.PLACEMENT = sys.argv[2]
    started = Fleet()
    try:
        {"load": measure_load, "zone": measure_zone, "flood": measure_flood,
         "idle": measure_idle}[sys.argv[1]](started)
    finally:
        started.stop()
