"""Runs the example deployment as real processes on loopback, to test their failures."""

import concurrent.futures
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "build/greengagehead"
STAND_IN = ROOT / "build/tests/stand_in/stand_in_endpoint"
LOGS = ROOT / "build/fleet-logs"
DEPLOYMENT = ROOT / "examples/assentos-caatinga"
ZONES = {"recife": 8510, "fortaleza": 8520, "salvador": 8530}
STAND_IN_PORT = 8700
PLACEMENT = "least_loaded"
OPERATOR_TOKEN = "example-token-operator"
TEAM_TOKEN = "example-token-hospital"


class Fleet:
    """One control member, one entry and two agents with stand-in endpoints in each of three zones."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory()
        self.processes = {}
        self.endpoint_ports = {}
        for zone in ZONES:
            for role in ("control", "entry", "agent-1", "agent-2"):
                self.start(f"{zone}-{role}")
        for index, (zone, base_port) in enumerate(ZONES.items()):
            for agent in (1, 2):
                self.start_endpoint(zone, agent, base_port, STAND_IN_PORT + 2 * index + agent)
        try:
            self.wait_until(self.ready, 15)
        except AssertionError:
            self.copy_logs("start")
            self.stop()
            raise

    def start(self, name, extra_settings=""):
        """Starts a process; `extra_settings` is appended to its settings file."""
        folder = pathlib.Path(self.folder.name)
        text = (DEPLOYMENT / f"{name}.toml").read_text()
        text = text.replace("[entry]\n", f'[entry]\nplacement = "{PLACEMENT}"\n')
        (folder / f"{name}.toml").write_text(text + extra_settings)
        log = open(folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [PROGRAM, "run", "--config", f"{name}.toml"],
            cwd=self.folder.name, stderr=log, stdout=log)
        log.close()

    def start_endpoint(self, zone, agent, base_port, port):
        name = f"endpoint-{zone}-{agent}"
        self.endpoint_ports[name] = port
        self.processes[name] = subprocess.Popen(
            [STAND_IN, "--name", name, "--announce", f"http://127.0.0.1:{base_port + 2 + agent}",
             "--port", str(port), "--kinds", "quote,hold,confirm"], stdout=subprocess.DEVNULL)

    def signal(self, name, signal_number):
        self.processes[name].send_signal(signal_number)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()

    def copy_logs(self, name):
        """Copies the logs of all processes to build/fleet-logs/NAME, to trace a failure."""
        target = LOGS / name
        target.mkdir(parents=True, exist_ok=True)
        for log in pathlib.Path(self.folder.name).glob("*.log"):
            shutil.copy(log, target)
        print(f"logs of the processes: {target}")

    def data_folder(self, zone):
        return pathlib.Path(self.folder.name) / "greengagehead-data/assentos-caatinga" / zone

    def ready(self):
        """True if every entry knows all endpoints and a leader, and holds a valid lease."""
        for zone in ZONES:
            status, body = self.call(zone, "GET", "/v1/status")
            if status != 200 or not body["entry"]["lease_valid"] or body["degraded"]:
                return False
            if len(body["entry"]["endpoints"]) < 6:
                return False
        return True

    def leader_zone(self):
        for zone in ZONES:
            status, body = self.call(zone, "GET", "/v1/control")
            if status != 200:
                continue
            for member in body["members"]:
                if member["leader"]:
                    return member["name"].split(".")[1]
        return None

    def wait_until(self, condition, seconds):
        """Polls the condition until it is true, and returns the seconds that it took."""
        begin = time.monotonic()
        while time.monotonic() - begin < seconds:
            if condition():
                return time.monotonic() - begin
            time.sleep(0.05)
        raise AssertionError(f"condition not met within {seconds} s: {condition}")

    def call(self, zone, method, path, body=None, token=OPERATOR_TOKEN, headers=None, timeout=60):
        """Returns status and body of the answer, or (0, {}) if the connection fails.

        A body of bytes is sent as it is, any other one as JSON.
        """
        return self.call_port(ZONES[zone] + 2, method, path, body, token, headers, timeout)

    def call_port(self, port, method, path, body=None, token=OPERATOR_TOKEN, headers=None,
                  timeout=60):
        """As `call`, at any port of the fleet."""
        if body is not None and not isinstance(body, bytes):
            body = json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://127.0.0.1:{port}{path}", method=method, data=body,
            headers={"Authorization": f"Bearer {token}", **(headers or {})})
        try:
            with urllib.request.urlopen(request, timeout=timeout) as reply:
                return reply.status, json.load(reply)
        except urllib.error.HTTPError as error:
            return error.code, json.load(error)
        except OSError:
            return 0, {}

    def submit(self, zone, submission, tasks, wait_ms=20000, deadline_ms=20000):
        body = {"submission": submission, "team": "hospital", "deadline_ms": deadline_ms,
                "tasks": tasks}
        return self.call(zone, "POST", f"/v1/jobs?wait={wait_ms}", body, TEAM_TOKEN)

    def submit_many(self, zone, prefix, count, tasks):
        """Submits jobs from several threads, and returns a list with the future of each reply."""
        pool = concurrent.futures.ThreadPoolExecutor(count)
        futures = [pool.submit(self.submit, zone, f"{prefix}-{i}", tasks) for i in range(count)]
        pool.shutdown(wait=False)
        return futures

    def starts(self, zone=None):
        """Returns the starts and duplicate starts that the endpoints of one zone, or of all, counted."""
        total = duplicates = 0
        for name, port in self.endpoint_ports.items():
            if zone and f"-{zone}-" not in name:
                continue
            with urllib.request.urlopen(f"http://127.0.0.1:{port}/counts", timeout=5) as reply:
                counts = json.load(reply)
            total += counts["starts"]
            duplicates += counts["doubled"]
        return total, duplicates


def holds(count, run_ms):
    return [{"kind": "hold", "payload": {"run_ms": run_ms, "item": i}} for i in range(count)]


def quotes(count, run_ms):
    return [{"kind": "quote", "idempotent": True, "payload": {"run_ms": run_ms, "item": i}}
            for i in range(count)]
