"""HTTP/1.1 with JSON bodies over asyncio: a server for stand-ins, and calls with one connection each."""

import asyncio
import contextlib
import dataclasses
import json

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           421: "Misdirected Request", 503: "Service Unavailable"}


@dataclasses.dataclass
class Message:
    """A request or a reply that was read; `status` is 0 for a request, and for no reply."""

    first_line: str = ""
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    status: int = 0

    def json(self):
        try:
            return json.loads(self.body or b"null")
        except ValueError:
            return None


async def read_message(reader):
    first_line = (await reader.readline()).decode("latin-1").strip()
    if not first_line:
        raise EOFError
    headers = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(first_line, headers, body)


def request_bytes(method, address, path, body=b"", headers=None):
    lines = [f"{method} {path} HTTP/1.1"]
    named = {"Host": address, "Content-Type": "application/json", "Content-Length": len(body)}
    lines += [f"{name}: {value}" for name, value in {**named, **(headers or {})}.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


async def call(method, address, path, body=None, headers=None, timeout_s=2.0):
    """Returns the reply; its status is 0 when none came."""
    content = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*split(address))
            writer.write(request_bytes(method, address, path, content, headers))
            reply = await read_message(reader)
            reply.status = int(reply.first_line.split()[1])
            return reply
    except (OSError, EOFError, asyncio.IncompleteReadError, TimeoutError):
        return Message()
    finally:
        if writer:
            writer.close()


class Server:
    """Serves `handle(method, path, headers, body)`, which returns a status and a body, or None to
    give no reply."""

    def __init__(self, address, handle):
        self.address = address
        self.handle = handle
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, *split(self.address))

    def close(self):
        if self.server:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError,
                                 asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                method, path, _ = message.first_line.split()
                answer = await self.handle(method, path, message.headers, message.body)
                if answer is None:
                    continue
                status, body = answer
                content = json.dumps(body).encode() if body is not None else b""
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                             f"Content-Type: application/json\r\n"
                             f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()
