"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import json


class Reply(Exception):
    """An answer of a handler: status, JSON body and seconds to hold the answer back."""

    def __init__(self, status, body=None, delay_s=0.0):
        super().__init__(status)
        self.status = status
        self.body = body if body is not None else {}
        self.delay_s = delay_s


class Silence(Exception):
    """The request gets no answer; the connection stays open."""


async def read_message(reader):
    """Returns first line, headers (names in lower case) and body; None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return lines[0], headers, body


class Server:
    """Serves `handle(method, path, headers, body)`, a coroutine that returns a Reply."""

    def __init__(self, host, port, handle):
        self.host = host
        self.port = port
        self.handle = handle
        self.writers = set()
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port,
                                                 reuse_address=True)

    def abort(self):
        """Ends the listener and resets all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                try:
                    reply = await self.handle(method, path, headers, body)
                except Reply as early:
                    reply = early
                except Silence:
                    continue
                if reply.delay_s:
                    await asyncio.sleep(reply.delay_s)
                data = json.dumps(reply.body).encode()
                writer.write(f"HTTP/1.1 {reply.status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(address, method, path, body=None, headers=None, timeout=5.0):
    """One request on a connection of its own. Returns (status, body, headers).

    Status 0: the connection failed or broke; -1: no answer within `timeout`.
    """
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            await send(writer, address, method, path, body, headers)
            first, reply_headers, data = await read_message(reader)
            return int(first.split(" ")[1]), data, reply_headers
    except TimeoutError:
        return -1, b"", {}
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return 0, b"", {}
    finally:
        if writer is not None:
            writer.transport.abort()


async def send(writer, address, method, path, body=None, headers=None):
    """Writes one request."""
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    fields = {"Host": address, "Content-Type": "application/json",
              "Content-Length": str(len(data)), **(headers or {})}
    text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + data)
    await writer.drain()
