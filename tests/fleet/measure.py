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


def run_bench(jobs, rate, seconds):
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(jobs, file)
        file.flush()
        completed = subprocess.run(
            [PROGRAM, "bench", "--json", "--entries", ENTRIES, "--token", fleet.OPERATOR_TOKEN,
             "--rate", str(rate), "--seconds", str(seconds), file.name],
            capture_output=True, text=True, check=False)
    return json.loads(completed.stdout)


def measure_load(deployment):
    for load in (0.3, 0.7, 0.9):
        rate = SLOTS / (RUN_MS / 1000) * load / 4
        run_bench([job("hospital", 4)], rate, 4)
        result = run_bench([job("hospital", 4)], rate, 15)
        print(load, json.dumps(result))
    print("doubled starts", deployment.starts()[1])


def measure_zone(deployment):
    rate = SLOTS / (RUN_MS / 1000) * 0.6 / 4
    counts = []
    finished = threading.Event()

    def sample():
        while not finished.is_set():
            counts.append((time.monotonic(), deployment.starts()[0]))
            time.sleep(0.25)
    sampler = threading.Thread(target=sample)
    loader = threading.Thread(
        target=lambda: print(json.dumps(run_bench([job("hospital", 4)], rate, 18))))
    loader.start()
    sampler.start()
    time.sleep(6)
    removal_begin = time.monotonic()
    deployment.call("salvador", "PUT", "/v1/zones/recife", {"state": "out"})
    removal_end = time.monotonic()
    time.sleep(6)
    return_begin = time.monotonic()
    deployment.call("salvador", "PUT", "/v1/zones/recife", {"state": "in"})
    loader.join()
    finished.set()
    sampler.join()

    def rate_between(begin, end):
        samples = [c for c in counts if begin <= c[0] <= end]
        return (samples[-1][1] - samples[0][1]) / (samples[-1][0] - samples[0][0])
    print(f"offered {rate * 4:.0f}/s, before {rate_between(removal_begin - 4, removal_begin):.0f}/s, "
          f"out {rate_between(removal_end, return_begin):.0f}/s, "
          f"back {rate_between(return_begin, return_begin + 4):.0f}/s, "
          f"take-out acknowledged after {removal_end - removal_begin:.2f} s")


def measure_flood(deployment):
    quiet = job("terminals", 2)
    alone = run_bench([quiet], 20, 10)["teams"]["terminals"]
    mixed = run_bench([quiet] + [job("hospital", 20)] * 10, 220, 10)["teams"]
    print("alone", json.dumps(alone))
    print("flooded", json.dumps(mixed))


def measure_idle(deployment):
    time.sleep(3)

    def usage(name):
        pid = deployment.processes[name].pid
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
    deployment = Fleet()
    try:
        {"load": measure_load, "zone": measure_zone, "flood": measure_flood,
         "idle": measure_idle}[sys.argv[1]](deployment)
    finally:
        deployment.stop()
