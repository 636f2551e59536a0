"""Real processes that stand still or run little while clients outside the limits send.

Guards against a process that runs out of the memory of its machine by bytes that have arrived and
are not yet read. They count as memory of the process, and its own accounting does not see them.
Each case starts its own small process tree. Only things that do not depend on the speed of the
machine are checked.
"""

import argparse
import os
import pathlib
import re
import selectors
import signal
import socket
import sys
import time
import unittest

import client_limits_test as limits
from client_limits_test import BODY_LIMIT, HOST, PREFIX, Client, Tree, repeat

# Crowd and bounds were fixed before the receive buffers were bounded. A process may use the memory
# of its settings, with the bytes that it has not read.
MEMORY_MB = 48
MEMORY_BOUND_KB = MEMORY_MB << 10
CONNECTIONS = 600
CROWD = 400
DESCRIPTORS = 1024
DESCRIPTOR_BOUND = 896
# A process that runs 9% of the time: it stands still until the crowd can send no more, and then runs
# for a moment.
ROUNDS = 20
BLOCKED_S = 0.2
RUNNING_S = 0.02
# Longest time in which the crowd sends while the process stands still.
STILL_LIMIT_S = 3

# The number of descriptors does not change for this time when all that connected are accepted.
ACCEPTED_S = 0.4
# What the clients have sent and the process has not taken must not fill the memory of the machine
# that runs the test.
SEND_BUFFER_BYTES = 256 << 10

# The listeners of each role: for all of them together the memory is one.
LISTENERS = {"entry": ("front", "product", "ready", "entry_link"),
             "control": ("operator", "control_link"),
             "agent": ("announce", "worker_announce")}
ORDINARY = {role: next((target, method, path, status)
                       for target, (owner, method, path, status) in limits.HTTP_TARGETS.items()
                       if owner == role)
            for role in LISTENERS}
LISTENING = "0A"


def sent_ahead():
    body = b"x" * 262_000
    request = (f"POST {PREFIX}0123456789abcdef HTTP/1.1\r\nHost: {HOST}\r\n"
               f"Content-Length: {len(body)}\r\n\r\n").encode() + body
    return repeat(request, request)


KINDS = {"announced": limits.announced, "chunked": limits.chunked, "sent_ahead": sent_ahead}


class SmallTree(Tree):
    limits = {"body_bytes": BODY_LIMIT, "memory_mb": MEMORY_MB, "connections": CONNECTIONS}
    descriptor_limit = DESCRIPTORS

    def resident_kb(self, role):
        status = pathlib.Path(f"/proc/{self.processes[role].pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", status).group(1))

    def unread(self, role):
        """Returns the bytes that have arrived at the listeners of the role and are not read, and
        the number of connections, with those that are not yet accepted."""
        ports = {self.ports[name] for name in LISTENERS[role]}
        size = count = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues = line.split()[:5]
            if int(local.split(":")[1], 16) in ports and state != LISTENING:
                size += int(queues.split(":")[1], 16)
                count += 1
        return size, count


class Crowd:
    """Clients of one kind at all listeners of a role. They stay connected until the end."""

    def __init__(self, tree, role, make_pieces):
        self.selector = selectors.DefaultSelector()
        targets = LISTENERS[role]
        self.clients = []
        for index in range(CROWD):
            target = targets[index % len(targets)]
            pieces = limits.endless_frame if target in limits.LINK_TARGETS else make_pieces
            client = Client(tree.ports[target], pieces(), self.selector)
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            self.clients.append(client)

    def send_until_blocked(self, limit_s):
        """Sends until no client gets on any more. Clients that were closed stay closed."""
        begin = last = time.monotonic()
        while (self.selector.get_map() and time.monotonic() - last < BLOCKED_S
               and time.monotonic() - begin < limit_s):
            for key, _ in self.selector.select(0.02):
                if key.data.write():
                    last = time.monotonic()

    def sent(self):
        return sum(client.sent for client in self.clients)

    def close(self):
        for client in self.clients:
            client.socket.close()
        self.selector.close()


class UnreadBytesTest(unittest.TestCase):
    def begin(self, role, make_pieces, accepted):
        """Starts a tree and a crowd.

        accepted -- whether the process runs while the crowd connects
        """
        self.tree = SmallTree()
        self.addCleanup(self.tree.stop)
        self.role = role
        self.pid = self.tree.processes[role].pid
        self.tree.wait_until_ready()
        self.status = self.call_full_size()
        self.peak_kb = self.peak_unread = self.most_descriptors = self.most_connections = 0
        if not accepted:
            os.kill(self.pid, signal.SIGSTOP)
        self.crowd = Crowd(self.tree, role, make_pieces)
        self.addCleanup(self.crowd.close)
        if accepted:
            self.wait_until_accepted()
            os.kill(self.pid, signal.SIGSTOP)

    def wait_until_accepted(self):
        """Waits until the number of descriptors does not change."""
        before = -1
        while (now := self.tree.descriptors(self.role)) != before:
            before = now
            time.sleep(ACCEPTED_S)

    def call_full_size(self):
        """Returns the status of the answer to a request whose body is as long as allowed."""
        target, _, path, _ = ORDINARY[self.role]
        return self.tree.call(target, "POST", path, b"x" * BODY_LIMIT)

    def sample(self):
        """To be called while the process stands still, so that both figures are of one moment."""
        size, count = self.tree.unread(self.role)
        self.peak_kb = max(self.peak_kb, self.tree.resident_kb(self.role) + (size >> 10))
        self.peak_unread = max(self.peak_unread, size)
        self.most_connections = max(self.most_connections, count)
        self.most_descriptors = max(self.most_descriptors, self.tree.descriptors(self.role))

    def check(self):
        os.kill(self.pid, signal.SIGCONT)
        resident_kb = self.tree.peak_memory_kb(self.role)
        print(f"{self.role}: peak {self.peak_kb} kB with unread bytes, {self.peak_unread >> 10} kB "
              f"unread, {resident_kb} kB resident at most, {self.most_connections} connections, "
              f"{self.most_descriptors} descriptors, {self.crowd.sent()} bytes sent")
        self.assertIsNone(self.tree.processes[self.role].poll())
        target, method, path, status = ORDINARY[self.role]
        self.tree.wait_until_answered(target, method, path, status)
        self.tree.wait_until_answered(target, "POST", path, self.status, b"x" * BODY_LIMIT)
        self.assertIsNone(self.tree.processes[self.role].poll())
        self.assertLess(self.most_descriptors, DESCRIPTOR_BOUND)
        self.assertLess(resident_kb, MEMORY_BOUND_KB)
        self.assertLess(self.peak_kb, MEMORY_BOUND_KB)

    def play_standing_still(self, role, make_pieces):
        self.begin(role, make_pieces, accepted=True)
        self.crowd.send_until_blocked(STILL_LIMIT_S)
        self.sample()
        self.check()

    def play_running_little(self, role, make_pieces):
        self.begin(role, make_pieces, accepted=True)
        for _ in range(ROUNDS):
            self.crowd.send_until_blocked(STILL_LIMIT_S)
            self.sample()
            os.kill(self.pid, signal.SIGCONT)
            time.sleep(RUNNING_S)
            os.kill(self.pid, signal.SIGSTOP)
        self.sample()
        self.check()

    def play_not_accepted(self, role, make_pieces):
        self.begin(role, make_pieces, accepted=False)
        self.crowd.send_until_blocked(STILL_LIMIT_S)
        self.sample()
        self.check()


def add_case(name, play, role, make_pieces):
    def case(self):
        getattr(self, play)(role, make_pieces)

    setattr(UnreadBytesTest, f"test_{role}_{name}", case)


for role_name in LISTENERS:
    for kind_name, kind in KINDS.items():
        add_case(f"stands_still_{kind_name}", "play_standing_still", role_name, kind)
        add_case(f"runs_little_{kind_name}", "play_running_little", role_name, kind)
    add_case("connections_not_accepted", "play_not_accepted", role_name, limits.announced)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", type=pathlib.Path, default=limits.PROGRAM)
    known, rest = parser.parse_known_args()
    limits.program = known.program.resolve()
    result = unittest.main(argv=[sys.argv[0], *rest], verbosity=2, exit=False).result
    failed = len(result.failures) + len(result.errors)
    print(f"unread bytes: {result.testsRun - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
