"""The platform's path from a caller to one entry, which resets connections when it is told to."""

import asyncio
import contextlib

from . import http


class Forwarder:
    """While `reset_answers` is set, the caller's connection is reset as an answer is on its way."""

    def __init__(self, record, address, target):
        self.record, self.address, self.target = record, address, target
        self.reset_answers = False
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self.forward, *http.split(self.address))

    def close(self):
        self.server.close()

    async def forward(self, reader, writer):
        with contextlib.suppress(OSError):
            to_entry = await asyncio.open_connection(*http.split(self.target))
            await asyncio.gather(self.copy(reader, to_entry[1], False),
                                 self.copy(to_entry[0], writer, True))

    async def copy(self, reader, writer, answers):
        with contextlib.suppress(OSError):
            while content := await reader.read(65536):
                if answers and self.reset_answers:
                    self.record("reset", at=self.address)
                    return writer.transport.abort()
                writer.write(content)
                await writer.drain()
        writer.close()
