"""TCP forwarder whose directions can be slowed or held, and whose callers can be cut off.

Nothing is lost or reordered: what a held direction does not pass on arrives once it is released, as
with a network that sends lost packets again.
"""

import asyncio
import collections


class Gate:
    """State of one direction, for all connections of a forwarder."""

    def __init__(self):
        # Seconds between the arrival of bytes, or of a close, and their delivery.
        self.delay_s = 0.0
        self.held = False
        self.directions = set()

    def hold(self):
        self.held = True

    def release(self):
        self.held = False
        for direction in list(self.directions):
            direction.flush()


class Direction:
    """Bytes of one connection from one side to the other, in order."""

    def __init__(self, gate, rewrite):
        self.gate = gate
        self.rewrite = rewrite
        self.target = None
        self.waiting = collections.deque()
        gate.directions.add(self)

    def bytes_arrived(self, data):
        data = self.rewrite(data) if self.rewrite else data
        self.enqueue(lambda: self.target.is_closing() or self.target.write(data))

    def source_closed(self):
        self.enqueue(lambda: self.target.close())

    def enqueue(self, delivery):
        self.waiting.append((asyncio.get_running_loop().time() + self.gate.delay_s, delivery))
        self.flush()

    def connected_to(self, target):
        self.target = target
        self.flush()

    def flush(self):
        loop = asyncio.get_running_loop()
        while self.passes_on() and self.waiting[0][0] <= loop.time():
            self.waiting.popleft()[1]()
        if self.passes_on():
            loop.call_at(self.waiting[0][0], self.flush)

    def passes_on(self):
        return self.waiting and not self.gate.held and self.target is not None

    def discard(self):
        self.waiting.clear()
        self.gate.directions.discard(self)


class Side(asyncio.Protocol):
    """One of the two sockets of a connection; tells the connection what happens there."""

    def __init__(self, on_bytes, on_closed, on_connected=lambda: None):
        self.on_bytes = on_bytes
        self.on_closed = on_closed
        self.on_connected = on_connected
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        self.on_connected()

    def data_received(self, data):
        self.on_bytes(data)

    def connection_lost(self, _):
        self.on_closed()


class Connection:
    """A connection to the forwarder and its continuation to the target."""

    def __init__(self, forwarder):
        self.forwarder = forwarder
        self.to_target = Direction(forwarder.to_target, None)
        self.to_caller = Direction(forwarder.to_caller, forwarder.make_rewrite())
        # The first bytes that the caller sent.
        self.head = b""
        self.caller = Side(self.caller_bytes, self.caller_closed, self.start_connecting)
        self.target = Side(self.target_bytes, self.target_closed)
        self.caller_cut_off = False
        self.connecting = None

    def start_connecting(self):
        if self.forwarder.refusing:
            self.abort()
            return
        self.connecting = asyncio.get_running_loop().create_task(self.connect())

    async def connect(self):
        host, port = self.forwarder.target
        try:
            await asyncio.get_running_loop().create_connection(lambda: self.target, host, port)
        except OSError:
            self.abort()
            return
        self.to_caller.connected_to(self.caller.transport)
        self.to_target.connected_to(self.target.transport)

    def cut_off_caller(self):
        """The caller's connection breaks; the target gets no sign of it before it answers."""
        # A connection that is being accepted has no transport yet.
        if self in self.forwarder.connections and self.caller.transport is not None:
            self.caller_cut_off = True
            self.caller.transport.abort()

    def caller_bytes(self, data):
        self.head = self.head or data
        self.to_target.bytes_arrived(data)

    def target_bytes(self, data):
        if self.caller_cut_off:
            self.abort()
        else:
            self.to_caller.bytes_arrived(data)

    def caller_closed(self):
        if not self.caller_cut_off:
            self.to_target.source_closed()
        self.forget_if_closed()

    def target_closed(self):
        self.to_caller.source_closed()
        self.forget_if_closed()

    def forget_if_closed(self):
        sides = (self.caller, self.target)
        if all(side.transport is not None and side.transport.is_closing() for side in sides):
            self.abort()

    def abort(self):
        """Ends both sides at once, without what still waits."""
        self.to_target.discard()
        self.to_caller.discard()
        self.forwarder.connections.discard(self)
        for side in (self.caller, self.target):
            if side.transport is not None:
                side.transport.abort()


class Forwarder:
    """Passes connections to `address` on to `target`, both (host, port).

    `make_rewrite` returns, for each connection, a function for the bytes from the target.
    """

    def __init__(self, address, target, make_rewrite=lambda: None):
        self.address = address
        self.target = target
        self.make_rewrite = make_rewrite
        self.to_target = Gate()
        self.to_caller = Gate()
        self.connections = set()
        self.server = None
        # Whether new connections are reset.
        self.refusing = False
        # Called with each new connection.
        self.on_accept = None

    async def open(self):
        self.server = await asyncio.get_running_loop().create_server(self.accept, *self.address)

    def accept(self):
        connection = Connection(self)
        self.connections.add(connection)
        if self.on_accept:
            self.on_accept(connection)
        return connection.caller

    def connections_about(self, text):
        """Connections whose first bytes contain the text."""
        return [each for each in self.connections if text.encode() in each.head]

    def refuse(self):
        """Resets all connections, and new ones until `accept_again`."""
        self.refusing = True
        self.abort_connections()

    def accept_again(self):
        self.refusing = False

    def close(self):
        if self.server is not None:
            self.server.close()
        self.abort_connections()

    def abort_connections(self):
        for connection in list(self.connections):
            connection.abort()


class Replacement:
    """Replaces a text by another of the same length in a stream that is read in pieces."""

    def __init__(self, text, replacement):
        if len(text) != len(replacement):
            raise ValueError("the lengths of frames in the stream would change")
        self.text = text
        self.replacement = replacement
        self.kept = b""

    def __call__(self, data):
        data = (self.kept + data).replace(self.text, self.replacement)
        size = self.size_of_partial_match(data)
        self.kept = data[len(data) - size:]
        return data[:len(data) - size]

    def size_of_partial_match(self, data):
        """Length of the longest end of `data` with which the text begins."""
        for size in range(min(len(self.text) - 1, len(data)), 0, -1):
            if data.endswith(self.text[:size]):
                return size
        return 0
