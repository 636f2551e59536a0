"""Real processes and clients that do not stay inside the limits of the pages.

Guards against a process that runs out of memory or descriptors because of what such clients send,
or that no longer answers others. Each case starts its own small process tree: a control member, an
entry and an agent. Only things that do not depend on the speed of the machine are checked.
"""

import argparse
import base64
import contextlib
import json
import os
import pathlib
import re
import resource
import selectors
import socket
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.error
import urllib.request

from fleet import PROGRAM

program = PROGRAM

# Crowd and bounds were fixed before the limits were built. A process may use a quarter of its memory
# for connections, and 32 MiB if its memory is not known; it uses about 12 MB without any.
CROWD = 60
BYTES_PER_CLIENT = 4 << 20
MEMORY_BOUND_KB = 64 << 10
# Open descriptors stay this far below the limit of the process, for files and its own links.
DESCRIPTORS = 256
DESCRIPTOR_BOUND = 224
CONNECTION_CROWD = 300

BODY_LIMIT = 262_144
HOST = "limits.example"
PREFIX = "/limits/"
ROUTING = {
    "version": 1,
    "routes": [{"name": "r-limits", "host": HOST, "path_prefix": PREFIX, "kind": "unsafe",
                "timeout_ms": 60000, "target_latency_ms": 60, "priority": 0, "service": "limits",
                "max_attempts": 4, "stretch": 1.6}],
    "services": [{"name": "limits", "health_path": "/health", "max_conns": 64, "protocol": "h1",
                  "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0, "admission_check": True,
                  "standby": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": BODY_LIMIT,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
# Longest time to wait for what happens at once on an idle machine.
ANSWER_LIMIT_S = 30
# Clients that could neither connect nor send for this time have stopped. A connection that the full
# queue of a listener did not take is tried again after a second.
QUIET_S = 1.5

CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"


def address_of(port):
    return f"127.0.0.1:{port}"


class Tree:
    """A control member, an entry and an agent, each on ports that were free a moment ago."""

    NAMES = ("control_link", "operator", "entry_link", "product", "front", "ready", "announce",
             "worker_announce", "worker")
    # Settings below [limits], and the limit on open descriptors of each process.
    limits = {"body_bytes": BODY_LIMIT}
    descriptor_limit = DESCRIPTORS

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory()
        with contextlib.ExitStack() as probes:
            sockets = [probes.enter_context(socket.socket()) for _ in self.NAMES]
            for probe in sockets:
                probe.bind(("127.0.0.1", 0))
            self.ports = {name: probe.getsockname()[1]
                          for name, probe in zip(self.NAMES, sockets)}
        self.processes = {}
        self.start("control", "[control]\nlisten = \"{control_link}\"\nlink_port = {link_port}\n",
                   ["--control", "{operator}"])
        self.start("entry", "[entry]\nlisten = \"{entry_link}\"\nhttp = \"{product}\"\n"
                   "[control]\nlink_port = {link_port}\n",
                   ["--front", "{front}", "--ready", "{ready}"])
        self.start("agent", "[agent]\nannounce = \"{announce}\"\n"
                   "[control]\nlink_port = {link_port}\n",
                   ["--control", "{worker_announce}", "--app", "{worker}"])

    def start(self, role, text, options):
        fields = {name: address_of(port) for name, port in self.ports.items()}
        fields["link_port"] = self.ports["control_link"]
        settings = pathlib.Path(self.folder.name) / f"{role}.toml"
        # Members of the control group are named by the address for operators.
        name = fields["operator"] if role == "control" else role
        settings.write_text(
            f'name = "{name}"\nzone = "here"\nroles = ["{role}"]\n'
            f'data = "{self.folder.name}/data"\n' + text.format(**fields)
            + "[limits]\n" + "".join(f"{key} = {value}\n" for key, value in self.limits.items())
            + f'[[controls]]\nname = "{fields["operator"]}"\naddress = "{fields["operator"]}"\n')
        with open(settings.with_suffix(".log"), "wb") as log:
            self.processes[role] = subprocess.Popen(
                [program, "platform", "--config", settings,
                 *(option.format(**fields) for option in options)],
                stdout=log, stderr=log, cwd=self.folder.name,
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (self.descriptor_limit, self.descriptor_limit)))

    def stop(self):
        keep = os.environ.get("KEEP_LOGS")
        for process in self.processes.values():
            process.kill()
            process.wait()
        if keep:
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
            for log in pathlib.Path(self.folder.name).glob("*.log"):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
        self.folder.cleanup()

    def call(self, port_name, method, path, body=None):
        """Returns the status of the answer, or 0."""
        request = urllib.request.Request(f"http://{address_of(self.ports[port_name])}{path}",
                                         method=method, data=body, headers={"Host": HOST})
        try:
            with urllib.request.urlopen(request, timeout=5) as reply:
                return reply.status
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            return 0

    def wait_until_answered(self, port_name, method, path, expected, body=None):
        begin = time.monotonic()
        status = None
        while time.monotonic() - begin < ANSWER_LIMIT_S:
            status = self.call(port_name, method, path, body)
            if status == expected:
                return
            time.sleep(0.05)
        raise AssertionError(f"{method} {path} at {port_name}: {status} in place of {expected}")

    def wait_until_ready(self):
        document = json.dumps(ROUTING).encode()
        self.wait_until_answered("operator", "POST", "/Config.Replace", 200, document)
        self.wait_until_answered("front", "GET", PREFIX, 200)
        self.wait_until_answered("announce", "GET", "/none", 404)
        self.wait_until_answered("worker_announce", "GET", "/none", 404)

    def peak_memory_kb(self, role):
        status = pathlib.Path(f"/proc/{self.processes[role].pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status).group(1))

    def descriptors(self, role):
        return len(os.listdir(f"/proc/{self.processes[role].pid}/fd"))


class Client:
    """Sends the bytes of an iterator and reads nothing."""

    def __init__(self, port, pieces, shared):
        self.pieces = pieces
        self.rest = b""
        self.sent = 0
        self.selector = shared
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", port))
        self.selector.register(self.socket, selectors.EVENT_WRITE, self)

    def write(self):
        """Returns whether the client has connected or sent anything."""
        if not self.rest:
            self.rest = next(self.pieces, b"")
        if not self.rest or self.sent >= BYTES_PER_CLIENT:
            self.selector.unregister(self.socket)
            return self.sent == 0
        try:
            size = self.socket.send(self.rest)
        except BlockingIOError:
            return False
        except OSError:
            self.selector.unregister(self.socket)
            return False
        self.sent += size
        self.rest = self.rest[size:]
        return True


class Crowd:
    """Clients of one kind. They stay connected until the end of the case."""

    def __init__(self, port, count, make_pieces):
        self.selector = selectors.DefaultSelector()
        self.clients = [Client(port, make_pieces(), self.selector) for _ in range(count)]

    def run(self):
        """Sends until all clients are done, or none gets on any more."""
        last = time.monotonic()
        while self.selector.get_map() and time.monotonic() - last < QUIET_S:
            for key, _ in self.selector.select(0.05):
                if key.data.write():
                    last = time.monotonic()

    def close(self):
        for client in self.clients:
            client.socket.close()
        self.selector.close()


def repeat(head, piece):
    yield head
    while True:
        yield piece


def pipelined():
    request = f"GET /no/such/route HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    return repeat(request, request * 256)


def head(*lines):
    return "\r\n".join((f"POST {PREFIX}0123456789abcdef HTTP/1.1", f"Host: {HOST}", *lines,
                        "")).encode()


def chunked():
    return repeat(head("Transfer-Encoding: chunked", ""), CHUNK * 16)


def announced():
    return repeat(head("Content-Length: 1000000000", ""), b"x" * 16384)


def endless_headers():
    return repeat(head(), b"X-Name: value\r\n" * 1024)


def half_sent():
    return iter([head("Content-Length: 1000", "", "half")])


def idle():
    return iter([])


def not_a_link():
    return repeat(b"\x16\x03\x01", bytes(range(256)) * 64)


def upgrade_request():
    key = base64.b64encode(b"0123456789abcdef").decode()
    return ("GET / HTTP/1.1\r\nHost: links\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: {key}\r\n\r\n").encode()


def endless_frame():
    # A masked binary frame of 60 MB, before the peer has proved who it is.
    frame = b"\x82\xff" + (60 << 20).to_bytes(8, "big") + b"\0\0\0\0"
    return repeat(upgrade_request() + frame, b"x" * 16384)


def endless_link_headers():
    return repeat(b"GET / HTTP/1.1\r\n", b"X-Name: value\r\n" * 1024)


def half_sent_link():
    return iter([b"GET / HTTP/1.1\r\nHost: links\r\n"])


HTTP_KINDS = {"pipelined": pipelined, "chunked": chunked, "announced": announced,
              "endless_headers": endless_headers, "half_sent": half_sent, "idle": idle}
LINK_KINDS = {"not_a_link": not_a_link, "endless_frame": endless_frame,
              "endless_link_headers": endless_link_headers, "half_sent_link": half_sent_link,
              "idle": idle}

# Role, and one ordinary request with the status of its answer.
HTTP_TARGETS = {"front": ("entry", "GET", PREFIX, 200), "product": ("entry", "GET", "/metrics", 200),
                "ready": ("entry", "GET", "/ready", 200),
                "operator": ("control", "GET", "/Config.Read", 200),
                "worker_announce": ("agent", "POST", "/Instances.Deregister/none", 200),
                "announce": ("agent", "GET", "/none", 404)}
LINK_TARGETS = {"entry_link": "entry", "control_link": "control"}


class ClientLimitsTest(unittest.TestCase):
    def play(self, target, role, count, make_pieces, ordinary):
        tree = Tree()
        self.addCleanup(tree.stop)
        tree.wait_until_ready()
        crowd = Crowd(tree.ports[target], count, make_pieces)
        self.addCleanup(crowd.close)
        crowd.run()
        peak_kb = tree.peak_memory_kb(role)
        descriptors = self.most_descriptors(tree, role, QUIET_S if count > CROWD else 0)
        sent = sum(client.sent for client in crowd.clients)
        print(f"{target}: peak {peak_kb} kB, {descriptors} descriptors, {sent} bytes sent")
        self.assertIsNone(tree.processes[role].poll())
        ordinary(tree)
        peak_kb = tree.peak_memory_kb(role)
        self.assertLess(peak_kb, MEMORY_BOUND_KB)
        self.assertLess(descriptors, DESCRIPTOR_BOUND)
        self.assertIsNone(tree.processes[role].poll())

    def most_descriptors(self, tree, role, duration_s):
        """The process may still be accepting connections when the last client has connected."""
        begin = time.monotonic()
        most = tree.descriptors(role)
        while time.monotonic() - begin < duration_s:
            time.sleep(0.05)
            most = max(most, tree.descriptors(role))
        return most

    def play_http(self, target, kind, count=CROWD):
        role, method, path, status = HTTP_TARGETS[target]
        self.play(target, role, count, HTTP_KINDS[kind],
                  lambda tree: tree.wait_until_answered(target, method, path, status))

    def play_link(self, target, kind, count=CROWD):
        self.play(target, LINK_TARGETS[target], count, LINK_KINDS[kind],
                  lambda tree: self.check_links(tree, target))

    def check_links(self, tree, target):
        """A new link gets its handshake, and callers are served over the links."""
        begin = time.monotonic()
        answer = b""
        while not answer.startswith(b"HTTP/1.1 101 "):
            self.assertLess(time.monotonic() - begin, ANSWER_LIMIT_S, "no link is accepted")
            with contextlib.suppress(OSError), socket.create_connection(
                    ("127.0.0.1", tree.ports[target]), timeout=5) as peer:
                peer.sendall(upgrade_request())
                answer = peer.recv(4096)
            time.sleep(0.05)
        tree.wait_until_answered("operator", "GET", "/Config.Read", 200)
        tree.wait_until_answered("front", "GET", PREFIX, 200)


def add_case(name, play, target, kind, count):
    def case(self):
        getattr(self, play)(target, kind, count)

    setattr(ClientLimitsTest, f"test_{target}_{name}", case)


for http_target in HTTP_TARGETS:
    for kind_name in HTTP_KINDS:
        add_case(kind_name, "play_http", http_target, kind_name, CROWD)
    add_case("connections", "play_http", http_target, "idle", CONNECTION_CROWD)
for link_target in LINK_TARGETS:
    for kind_name in LINK_KINDS:
        add_case(kind_name, "play_link", link_target, kind_name, CROWD)
    add_case("connections", "play_link", link_target, "idle", CONNECTION_CROWD)


def main():
    global program
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", type=pathlib.Path, default=PROGRAM)
    known, rest = parser.parse_known_args()
    program = known.program.resolve()
    result = unittest.main(argv=[sys.argv[0], *rest], verbosity=2, exit=False).result
    failed = len(result.failures) + len(result.errors)
    print(f"client limits: {result.testsRun - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
