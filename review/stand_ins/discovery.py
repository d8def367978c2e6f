"""Discovery: the list of the tasks and watches on its changes, over HTTP/1.1."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from review.stand_ins.record import Record

HEARTBEAT_S = 2.0
HOST = "127.66.0.2"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
Entry = dict[str, Any]


class Discovery:
    """Server of the list.

    Attributes:
        version: Version of the list.
        entries: The listed tasks by id.
        changes: Changed entries by version.
        told: Time at which each version was first written to an assigner.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 1
        self.entries: dict[str, Entry] = {}
        self.changes: dict[int, list[Entry]] = {}
        self.told: dict[int, float] = {}
        self.watches: list[asyncio.StreamWriter] = []
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def change(self, entries: list[Entry]) -> int:
        """Change the list, write the change to all watches and return the new version."""
        self.version += 1
        self.changes[self.version] = entries
        for entry in entries:
            if entry["state"] == "terminated":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
        self.record.add("listed", version=self.version, states=",".join(f"{e['id']}:{e['state']}" for e in entries))
        for writer in list(self.watches):
            self._write(writer, {"version": self.version, "full": False, "servers": entries})
        return self.version

    def _write(self, writer: asyncio.StreamWriter, page: dict[str, Any] | None) -> None:
        line = (json.dumps(page).encode() if page is not None else b"") + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))
        if page is not None:
            for version in range(min(self.changes, default=1), page["version"] + 1):
                self.told.setdefault(version, self.record.now())
            self.record.add("told", version=page["version"], full=page["full"])

    def _first_page(self, index: int) -> dict[str, Any]:
        if not 0 < index <= self.version:
            return self.whole()
        latest = {e["id"]: e for v in range(index + 1, self.version + 1) for e in self.changes[v]}
        return {"version": self.version, "full": False, "servers": list(latest.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):  # cancelled at the end of the run
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            _, _, query = target.partition("?")
            fields = dict(pair.split("=") for pair in query.split("&") if pair)
            writer.write(HEAD)
            if "stream" not in fields:
                self._write(writer, self.whole())
                writer.write(b"0\r\n\r\n")
                return
            self._write(writer, self._first_page(int(fields.get("index", "0"))))
            self.watches.append(writer)
            await self._beat(reader, writer)
        if writer in self.watches:
            self.watches.remove(writer)
        writer.close()

    async def _beat(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send an empty line every 2 s until the watch ends."""
        while not reader.at_eof():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(1), HEARTBEAT_S)
                return
            self._write(writer, None)
