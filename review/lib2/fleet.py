"""Starts the processes of deploy/system.toml on loopback addresses, with stand-ins for workers,
the platform's callers and its operator."""

import asyncio
import json
import os
import pathlib
import re
import secrets
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from . import http
from .worker import Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS_PATH = "/etc/greengagehead/local.toml"
INTERNAL_PORTS = 4
HOST, PREFIX, ROUTE = "orders.example", "/holds/", "r-holds"
SERVICE = "desk"


# run.sh turns this into 1; Python itself ends with 1 on an error.
EXIT_BROKEN = 10
EXIT_CANNOT_RUN = 2


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since its start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, what, **fields):
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {words}\n")


def look_up(fields, path):
    value = fields
    for key in path.split("."):
        if isinstance(value, list):
            value = value[int(key)] if int(key) < len(value) else None
        else:
            value = value.get(key) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(text_of, value))
    return str(value)


def render(text, fields):
    """Fills in a template as DEPLOY.md says; sections only over lists, as deploy/ has them."""
    def section(match):
        return "".join(match[2].replace("{{.}}", text_of(item))
                       for item in look_up(fields, match[1]) or [])
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text_of(look_up(fields, match[1])), text)


def free_ports(count):
    """Ports that no socket of this machine uses, below those of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = 20_000 + secrets.randbelow(10_000)
        with socket.socket() as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Machine:
    def __init__(self, name, role, ip, zone, ports):
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.front, self.ready, self.control, self.app = (f"{ip}:{port}" for port in ports[:4])
        self.internal = ports[4:]
        self.process = None
        self.bootstrap = True


class Fleet:
    """`links` may replace the first internal port of single machines: {name: port}."""

    def __init__(self, record, entries=3, controls=3, agents=3):
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        # Addresses of one test are not those of another that runs at the same time.
        net = f"127.{64 + secrets.randbelow(128)}.{secrets.randbelow(256)}"
        ports = free_ports(4 + INTERNAL_PORTS)
        # All agents listen for announcements at 127.0.0.1, so each needs a port of its own there.
        own_ports = iter(free_ports(agents))
        zones = ("akl", "hlz", "tga")
        self.machines = {}
        kinds = (("control", controls), ("entry", entries), ("agent", agents))
        for role, count in kinds:
            for number in range(count):
                name = f"{role}-{number}"
                ip = f"{net}.{len(self.machines) + 1}"
                self.machines[name] = Machine(name, role, ip, zones[number % 3], ports)
                if role == "agent":
                    self.machines[name].internal[1] = next(own_ports)
        self.seeds = [machine.control for machine in self.of("control")][:3]
        self.workers = {
            machine.name: Worker(record, f"w{number}", machine, SERVICE, machine.zone, f"r{number}")
            for number, machine in enumerate(self.of("agent"))}
        self.version = 0

    def of(self, role):
        return [machine for machine in self.machines.values() if machine.role == role]

    # --- processes ---

    def fields(self, machine):
        data = pathlib.Path(self.folder.name) / machine.name / "data"
        listen = {"entry": {"front": machine.front, "ready": machine.ready},
                  "control": {"control": machine.control},
                  "agent": {"control": machine.control}}[machine.role]
        return {"node_name": machine.name, "ip": machine.ip, "zone": machine.zone,
                "region": "nz-north", "internal_ports": machine.internal, "seeds": self.seeds,
                "bootstrap": machine.bootstrap, "heartbeat_ms": 1500, "listen": listen,
                "data_dir": str(data), "app": machine.app, "service": SERVICE,
                "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
                "bounds": {"max_hold_ms": 1000, "stop_grace_ms": 50}}

    def start(self, name):
        machine = self.machines[name]
        role = self.deploy["roles"][machine.role]
        folder = pathlib.Path(self.folder.name) / name
        (folder / "data").mkdir(parents=True, exist_ok=True)
        fields = self.fields(machine)
        settings = folder / "local.toml"
        settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        words = [render(word, fields).replace(SETTINGS_PATH, str(settings))
                 for word in role["run"].split()]
        program = ROOT / words[0]
        if not program.exists():
            raise CannotRun(f"{words[0]} is not built")
        log = open(folder / "log", "ab")
        machine.process = subprocess.Popen([program, *words[1:]], stdout=log,
                                           stderr=subprocess.STDOUT, cwd=ROOT,
                                           env={"PATH": os.environ.get("PATH", "")})
        log.close()
        machine.bootstrap = False
        self.record("process", name=name, pid="started")

    def signal(self, name, number):
        self.record("signal", name=name, signal=signal.Signals(number).name)
        self.machines[name].process.send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.machines[name].process.wait()

    def ended(self):
        """Names of the processes that are not running."""
        return [machine.name for machine in self.machines.values()
                if machine.process and machine.process.poll() is not None]

    def stop(self):
        for machine in self.machines.values():
            process = machine.process
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            for machine in self.machines.values():
                log = pathlib.Path(self.folder.name) / machine.name / "log"
                if log.exists():
                    (pathlib.Path(keep) / f"{machine.name}.log").write_bytes(log.read_bytes())
        self.folder.cleanup()

    async def begin(self):
        for worker in self.workers.values():
            await worker.open()
        for name in self.machines:
            self.start(name)
        if not await self.configure(limit_s=15):
            raise CannotRun("no configuration was acknowledged")
        if not await wait_until(self.serves, 15):
            raise CannotRun("an entry serves no job")
        if self.ended():
            raise CannotRun(f"{self.ended()} ended by themselves")

    async def serves(self):
        for entry in self.of("entry"):
            reply = await http.call("GET", entry.ready, "/ready")
            if reply.status != 200:
                return False
            job = await self.submit(entry.name, new_id(), tasks=2 * len(self.workers), ms=300)
            if job != 200:
                return False
        return True

    # --- the operator ---

    def configuration(self, version):
        route = {"name": ROUTE, "host": HOST, "path_prefix": PREFIX, "kind": "unsafe",
                 "timeout_ms": 10000, "target_latency_ms": 60, "priority": 0, "service": SERVICE,
                 "max_attempts": 3, "stretch": 20.0}
        return {"version": version, "routes": [route],
                "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 64,
                              "protocol": "h1", "tls": False, "cold_start_s": 0.0,
                              "cold_per_s": 0.0, "admission_check": True, "standby": False}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    async def operate(self, method, path, body=None):
        """One order at each control member in turn; returns the first clear reply, or None."""
        for machine in self.of("control"):
            address = machine.control
            for _ in range(3):
                reply = await http.call(method, address, path, body, timeout_s=1.0)
                if reply.status != 307:
                    break
                address = reply.headers["location"].split("/")[2]
            self.record("order", path=path, at=machine.name, status=reply.status)
            if 200 <= reply.status < 300:
                return reply
        return None

    async def configure(self, limit_s=4):
        self.version += 1
        body = self.configuration(self.version)

        async def acknowledged():
            return await self.operate("POST", "/Config.Replace", body)
        return await wait_until(acknowledged, limit_s)

    # --- callers ---

    async def submit(self, entry, job, tasks=2, ms=100, deadline_ms=1500, cpu=6200, via=None):
        """Returns the status; 0 when the caller got no reply within its deadline.

        `via` is the address of a forwarder in front of the entry.
        """
        body = {"spec": json.dumps({"ms": ms}), "best_effort": True,
                "steps": [{"count": tasks, "cpu": cpu, "mem_mb": 64, "estimate_ms": ms}]}
        self.record("post", job=job, at=entry)
        reply = await http.call("POST", via or self.machines[entry].front, PREFIX + job, body,
                                {"Host": HOST, "Greengagehead-Deadline-Ms": deadline_ms},
                                timeout_s=deadline_ms / 1000)
        self.record("answer", job=job, at=entry, status=reply.status,
                    state=(reply.json() or {}).get("state", ""))
        return reply.status

    async def cancel(self, entry, job):
        self.record("delete", job=job, at=entry)
        reply = await http.call("DELETE", self.machines[entry].front, PREFIX + job, None,
                                {"Host": HOST})
        self.record("deleted", job=job, at=entry, status=reply.status)
        return reply.status

    async def load(self, until, per_s=30, tasks=2, ms=200):
        """Submits jobs at all entries in turn until the record has reached this time."""
        jobs, number = [], 0
        entries = self.of("entry")
        while self.record.now() < until:
            entry = entries[number % len(entries)]
            number += 1
            if entry.process.poll() is None:
                jobs.append(asyncio.create_task(self.submit(entry.name, new_id(), tasks, ms)))
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*jobs)


def new_id():
    return secrets.token_hex(8)


async def wait_until(condition, limit_s):
    """Returns the first true result of the condition, or None after the limit."""
    ends = time.monotonic() + limit_s
    while time.monotonic() < ends:
        if result := await condition():
            return result
        await asyncio.sleep(0.1)
    return None


def main(folder, play, **options):
    """Plays a case: `play(fleet, record, trouble)` returns a list of broken rules."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(record, **options)
    try:
        async def limited():
            playing = asyncio.current_task()
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
            async with asyncio.timeout(110):
                try:
                    await fleet.begin()
                    record("begun", trouble=trouble)
                    return await play(fleet, record, trouble)
                finally:
                    for worker in fleet.workers.values():
                        worker.close()
        findings = asyncio.run(limited())
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        record("cannot run", reason=repr(error))
        print(f"cannot run: {error!r}")
        return EXIT_CANNOT_RUN
    finally:
        fleet.stop()
    for finding in findings:
        record("BROKEN", finding=finding)
        print(f"BROKEN: {finding}")
    if not findings:
        record("held")
        print("held")
    return EXIT_BROKEN if findings else 0
