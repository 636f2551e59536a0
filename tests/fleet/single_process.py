"""Runs one process with all roles on loopback, with a stand-in endpoint. Ports are free ones."""

import argparse
import json
import pathlib
import re
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
import urllib.error
import urllib.request

from fleet import PROGRAM, STAND_IN

program = PROGRAM
START_LIMIT_S = 15


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_until(condition, failure):
    begin = time.monotonic()
    while time.monotonic() - begin < START_LIMIT_S:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"{failure} within {START_LIMIT_S} s")


class Process:
    """A process with all roles, and a stand-in endpoint.

    With `settings`, the text of further tables, it reads them and its addresses from a file.
    """

    def __init__(self, stdout, settings=None, **options):
        self.folder = tempfile.TemporaryDirectory()
        self.http_port = free_port()
        announce_port = free_port()
        self.data = pathlib.Path(self.folder.name) / "data"
        arguments = ["--data", self.data, "--http", f"127.0.0.1:{self.http_port}",
                     "--announce", f"127.0.0.1:{announce_port}"]
        if settings is not None:
            arguments = ["--config", self.write_settings(announce_port, settings)]
        self.process = subprocess.Popen([program, "run", *arguments], stdout=stdout,
                                        stderr=subprocess.DEVNULL, cwd=self.folder.name, **options)
        self.endpoint = subprocess.Popen(
            [STAND_IN, "--name", "endpoint", "--announce", f"http://127.0.0.1:{announce_port}",
             "--kinds", "quote", "--run-ms", "1"], stdout=subprocess.DEVNULL)
        self.requests = 0
        self.lock = threading.Lock()

    def write_settings(self, announce_port, tables):
        path = pathlib.Path(self.folder.name) / "settings.toml"
        path.write_text(
            'name = "single"\nzone = "here"\nroles = ["control", "entry", "agent"]\n'
            f'data = "{self.data}"\n'
            f'[control]\nlisten = "127.0.0.1:{free_port()}"\n'
            f'[entry]\nlisten = "127.0.0.1:{free_port()}"\nhttp = "127.0.0.1:{self.http_port}"\n'
            f'[agent]\nannounce = "127.0.0.1:{announce_port}"\n{tables}')
        return path

    def stop(self):
        for process in (self.process, self.endpoint):
            if process.poll() is None:
                process.kill()
            process.wait()
        self.folder.cleanup()

    def get(self, path):
        """Returns the body of the answer, or None."""
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.http_port}{path}",
                                        timeout=5) as reply:
                return reply.read()
        except OSError:
            return None

    def ready(self):
        status = self.get("/v1/status")
        if status is None:
            return False
        entry = json.loads(status)["entry"]
        return entry["lease_valid"] and bool(entry["endpoints"])

    def wait_until_ready(self):
        wait_until(self.ready, "the process is not ready")

    def submit(self, run_ms=1):
        """Returns status and state of the answer, and its time in seconds."""
        _, answer, duration_s = self.submit_named(run_ms)
        return answer, duration_s

    def submit_named(self, run_ms=1):
        """As `submit`, with the name of the submission before it."""
        with self.lock:
            self.requests += 1
            name = f"job-{self.requests}"
        body = {"submission": name, "team": "hospital", "deadline_ms": 5000,
                "tasks": [{"kind": "quote", "idempotent": True, "payload": {"run_ms": run_ms}}]}
        request = urllib.request.Request(f"http://127.0.0.1:{self.http_port}/v1/jobs?wait=5000",
                                         data=json.dumps(body).encode())
        begin = time.monotonic()
        try:
            with urllib.request.urlopen(request, timeout=6) as reply:
                answer = (reply.status, json.load(reply).get("state"))
        except urllib.error.HTTPError as error:
            answer = (error.code, None)
        except OSError as error:
            answer = (0, repr(error))
        return name, answer, time.monotonic() - begin

    def memory_kb(self):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", status).group(1))

    def dropped_lines(self):
        metrics = self.get("/metrics").decode()
        return int(re.search(r"^greengagehead_log_lines_dropped_total (\d+)$", metrics,
                             re.M).group(1))


def main(title):
    """Runs the tests of the main module; `--program` selects another program than that of the build."""
    global program
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", type=pathlib.Path, default=PROGRAM)
    known, rest = parser.parse_known_args()
    program = known.program.resolve()
    result = unittest.main(argv=[sys.argv[0], *rest], verbosity=2, exit=False).result
    failed = len(result.failures) + len(result.errors)
    print(f"{title}: {result.testsRun - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)
