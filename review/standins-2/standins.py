"""Stand-ins for the platform's store, servers and clients, and a runner of hosts.

Only the standard library is used. All of it runs in one event loop; the hosts are
separate processes, started with the command of ``deploy/system.toml``.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "desk.example"
HEARTBEAT_SECONDS = 1.2
STORE_ANSWER_SECONDS = 0.004


class Record:
    """Writes ``record.txt``; times are in seconds since its creation."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self.begun_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.begun_at

    def write(self, text: str) -> None:
        print(f"{self.now():8.3f}  {text}", file=self._file, flush=True)


@dataclasses.dataclass
class Message:
    """Head and body of an HTTP message; names of headers are in lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes
    is_whole: bool = True

    @property
    def status(self) -> int:
        return int(self.first_line.split()[1])

    @property
    def method(self) -> str:
        return self.first_line.split()[0]

    @property
    def target(self) -> str:
        return self.first_line.split()[1]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_message(
    reader: asyncio.StreamReader, *, is_reply: bool = False
) -> Message | None:
    """Return the next message, None if the connection ended before it."""
    found = await read_head(reader)
    if found is None:
        return None
    first_line, headers = found
    body = bytearray()
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if not size:
                    await reader.readuntil(b"\r\n")
                    break
                body += (await reader.readexactly(size + 2))[:-2]
        elif "content-length" in headers:
            length = int(headers["content-length"])
            body += await reader.readexactly(length)
        elif is_reply:
            body += await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        body += getattr(exc, "partial", b"")
        return Message(first_line, headers, bytes(body), is_whole=False)
    return Message(first_line, headers, bytes(body))


def reply(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Topic:
    """Records of one partition."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.grown = asyncio.Event()

    def append(self, content: bytes) -> None:
        key = content[1 : 1 + content[0]].decode()
        value = content[1 + content[0] :]
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(content)
        self.grown.set()
        self.grown = asyncio.Event()


class Store:
    """The log of the platform's store, with keyed topics of one partition."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.address = ""
        self.silenced: set[asyncio.StreamWriter] = set()
        """Connections on which nothing is read or answered any more."""
        self.open: set[asyncio.StreamWriter] = set()
        self.on_call: Callable[[str, dict[str, str]], None] = lambda _p, _q: None

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**23)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record, as the operator or a server does."""
        name = key.encode()
        content = bytes([len(name)]) + name + json.dumps(value).encode()
        self.topic(topic).append(content)

    def drop(self, topic: str, key: str) -> None:
        name = key.encode()
        self.topic(topic).append(bytes([len(name)]) + name)

    def silence_open(self) -> int:
        """Silence all channels that are open now; new ones work."""
        self.silenced |= self.open
        return len(self.open)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open.add(writer)
        try:
            while (call := await read_message(reader)) is not None:
                if writer in self.silenced:
                    await asyncio.Event().wait()
                await asyncio.sleep(STORE_ANSWER_SECONDS)
                answer = await self._answer(call)
                if writer in self.silenced:
                    await asyncio.Event().wait()
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.open.discard(writer)
            self.silenced.discard(writer)
            writer.close()

    async def _answer(self, call: Message) -> bytes:
        target = urllib.parse.urlsplit(call.target)
        query = dict(urllib.parse.parse_qsl(target.query))
        self.on_call(target.path, query)
        topic = self.topic(query.get("topic", ""))
        if target.path == "/-/log-append":
            return self._append(topic, query, call.body)
        if target.path == "/-/log-read":
            return await self._read(topic, query)
        if target.path == "/-/log-newest":
            return self._newest(topic, query)
        return reply(404, {}, b"")

    def _append(self, topic: Topic, query: dict[str, str], body: bytes) -> bytes:
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return _json(412, {"end": end})
        while body:
            (length,) = struct.unpack_from(">I", body)
            topic.append(body[4 : 4 + length])
            body = body[4 + length :]
        return _json(200, {"offset": end, "end": len(topic.records)})

    async def _read(self, topic: Topic, query: dict[str, str]) -> bytes:
        start = int(query["from"])
        if start >= len(topic.records):
            wait = int(query.get("waitMs", "0")) / 1000
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.grown.wait(), wait)
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        for content in topic.records[start:]:
            parts += [struct.pack(">I", len(content)), content]
        return reply(200, {}, b"".join(parts))

    def _newest(self, topic: Topic, query: dict[str, str]) -> bytes:
        after = query.get("after", "")
        keys = [key for key in sorted(topic.newest) if key > after]
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:500]
        ]
        end = len(topic.records)
        return _json(200, {"items": items, "hasMore": len(keys) > 500, "end": end})


def _json(status: int, value: object) -> bytes:
    headers = {"Content-Type": "application/json"}
    return reply(status, headers, json.dumps(value).encode())


@dataclasses.dataclass
class Run:
    """A request that a server began to work on."""

    at: float
    server: str
    attempt: str
    request: Message


class Server:
    """A server of a service; ``handle`` answers each request."""

    def __init__(self, name: str, service: str, record: Record) -> None:
        self.name = name
        self.service = service
        self.record = record
        self.version = "v1"
        self.state = "ready"
        self.slots = 8
        self.zone = "zone-a"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.address = ""
        self.runs: list[Run] = []
        self.arrivals: list[Run] = []

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**23)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, object]:
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def beat(self, store: Store) -> None:
        while True:
            store.put("keyed.servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (req := await read_message(reader)) is not None and req.is_whole:
                path = req.target.partition("?")[0]
                if path == "/-/report":
                    report = {
                        "stage": "both",
                        "models": [],
                        "busy": False,
                        "seq": self.seq,
                        "queued": 0,
                        "running": 0,
                        "kvUsed": 0,
                        "kvTotal": 100_000,
                        "handles": 0,
                        "born": self.born,
                    }
                    writer.write(_json(200, report))
                elif path == "/health":
                    writer.write(reply(200, {"Instance-Id": self.name}, b""))
                elif req.headers.get("expect-instance", self.name) != self.name:
                    headers = {"Instance-Id": self.name, "Not-Executed": "1"}
                    headers["Attempt-Id"] = req.headers.get("attempt-id", "")
                    writer.write(reply(421, headers, b""))
                else:
                    attempt = req.headers.get("attempt-id", "")
                    self.arrivals.append(
                        Run(self.record.now(), self.name, attempt, req)
                    )
                    if not await self.handle(req, reader, writer):
                        return
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    def begin(self, req: Message) -> Run:
        """Record that the server begins to work on a request."""
        attempt = req.headers.get("attempt-id", "")
        run = Run(self.record.now(), self.name, attempt, req)
        self.runs.append(run)
        self.record.write(f"server {self.name} runs {attempt} {req.target}")
        return run

    def answer_headers(self, req: Message) -> dict[str, str]:
        attempt = req.headers.get("attempt-id", "")
        return {
            "Attempt-Id": attempt,
            "Response-Stamp": f"stamp.{self.name}.{attempt}",
            "Server-Load": f"0,0,{self.slots}",
        }

    async def handle(
        self,
        req: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the channel stays open."""
        self.begin(req)
        writer.write(reply(200, self.answer_headers(req), b"done " + req.body))
        return True


class Engine(Server):
    """A model server: streams events of ``tokens_per_event`` tokens.

    The header Token-Usage names the most tokens; of the output ``output_tokens`` are
    generated, or the most if that is less.
    """

    tokens_per_event = 3
    output_tokens = 30
    event_gap = 0.01

    def __init__(self, name: str, service: str, record: Record) -> None:
        super().__init__(name, service, record)
        self.consumed = 0
        """Tokens read, and generated and sent."""

    async def handle(
        self,
        req: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self.begin(req)
        prompt, most = map(int, req.headers["token-usage"].split(","))
        self.consumed += prompt
        headers = self.answer_headers(req)
        headers["Content-Type"] = "text/event-stream"
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in headers.items())]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(req.headers.get("last-event-id") or 0)
        events = min(most, self.output_tokens) // self.tokens_per_event
        for number in range(first + 1, events + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            self.consumed += self.tokens_per_event
            await asyncio.sleep(self.event_gap)
        writer.write(b"0\r\n\r\n")
        return True


class Channel:
    """A client's channel to a host."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: str, timeout: float = 1.0) -> Channel:
        host, _, port = address.rpartition(":")
        opening = asyncio.open_connection(host, int(port), limit=2**23)
        return cls(*await asyncio.wait_for(opening, timeout))

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout: float = 10.0,
    ) -> Message | None:
        """Send a request; return its answer, None if the channel ended without one."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        try:
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await self.writer.drain()
            return await asyncio.wait_for(
                read_message(self.reader, is_reply=True), timeout
            )
        except (ConnectionError, TimeoutError):
            return None

    def close(self) -> None:
        self.writer.close()


async def call_once(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout: float = 10.0,
) -> Message | None:
    """Send a request on a new channel and close it; None without an answer."""
    try:
        channel = await Channel.connect(address)
    except (ConnectionError, TimeoutError, OSError):
        return None
    try:
        return await channel.call(method, path, headers, body, timeout)
    finally:
        channel.close()


class Host:
    """A host of the system, a separate process."""

    def __init__(
        self, name: str, store: Store, folder: pathlib.Path, *, grace: int = 8
    ) -> None:
        self.name = name
        self._folder = folder
        ports = free_ports(5)
        self.front, self.ready, self.directory = (f"127.0.0.1:{p}" for p in ports[:3])
        self._metrics_port = ports[4]
        self.starts = 0
        self.process: asyncio.subprocess.Process | None = None
        self._settings = folder / f"{name}.toml"
        self._text = f"""nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front", "directory"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region"
internalPorts = [{ports[3]}, {ports[3]}]
seeds = []
bootstrap = BOOTSTRAP
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
[zones]
zone-a = "region"
[listen]
front = "{self.front}"
readyAddress = "{self.ready}"
directory = "{self.directory}"
[limits]
cpuShare = 1.0
cores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[bounds]
stableWindowMs = 3000
drainMs = 2000
graceS = {grace}
lossSlackMs = 200
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
ttl_max_s = 5
[platform]
address = "{store.address}"
form = "log"
writesPerS = 600
readsPerS = 2000
recordBytes = 262144
callBytes = 2097152
keep_s = 300
"""

    async def start(self) -> None:
        """Start the process, as the deploy file says."""
        first = "true" if not self.starts else "false"
        self._settings.write_text(self._text.replace("BOOTSTRAP", first))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        command[0] = sys.executable
        command = [str(self._metrics_port) if w == "9464" else w for w in command]
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": "target/deps",
            "KNAPWEEDDRUM_BOOT": str(self._settings),
        }
        self.starts += 1
        log = (self._folder / f"{self.name}.{self.starts}.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=log, stderr=log
        )

    async def wait_until_ready(self, timeout: float = 20.0) -> None:
        give_up_at = time.monotonic() + timeout
        while time.monotonic() < give_up_at:
            answer = await call_once(self.ready, "GET", "/-/ready", {}, timeout=1.0)
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise NotRunError(f"{self.name} is not ready")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def logs(self) -> list[dict[str, object]]:
        """Return the lines of the logs of all starts, for the record only."""
        lines = []
        for start in range(1, self.starts + 1):
            path = self._folder / f"{self.name}.{start}.log"
            for line in path.read_text(errors="replace").splitlines():
                with contextlib.suppress(ValueError):
                    lines.append(json.loads(line))
        return lines


class NotRunError(Exception):
    """The case could not be run."""


_given: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return free ports below those of outgoing connections."""
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            port = 15_000 + int.from_bytes(os.urandom(2)) % 17_000
            sock = stack.enter_context(socket.socket())
            if port in _given:
                continue
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                ports.append(port)
                _given.add(port)
    return ports


def route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "allowAnonymous": False,
        "sessionAffinity": kind == "streaming",
        "resumable": False,
        **more,
    }


def manifest(version: int, **more: object) -> dict[str, object]:
    """Return a manifest with a model service and a plain one."""
    base: dict[str, object] = {
        "version": version,
        "routes": [
            route("draft", "/draft/", "streaming", "engine"),
            route("book", "/book/", "unsafe", "stock"),
            route("read", "/read/", "safe", "stock", maxAttempts=2),
        ],
        "services": [
            {
                "name": "engine",
                "healthPath": "/health",
                "maxConnections": 620,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 128, "kvTokens": 221971, "stride": 3},
            },
            {
                "name": "stock",
                "healthPath": "/health",
                "maxConnections": 100,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "mill", "apiKeys": ["key-mill"], "priority": 1},
        ],
    }
    return {**base, **more}


def run_case(folder: pathlib.Path, case: Callable) -> int:
    """Run ``case(record, temporary folder, has_trouble)``; return the exit status.

    The case returns whether the rule was broken. All processes it started are ended
    by the hosts that it appends to the list it is given.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"begins, {'with' if has_trouble else 'without'} the disruption")

    async def play(temporary: pathlib.Path) -> bool:
        hosts: list[Host] = []
        try:
            async with asyncio.timeout(115):
                return await case(record, temporary, has_trouble, hosts)
        finally:
            for host in hosts:
                await host.kill()

    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_broken = asyncio.run(play(pathlib.Path(temporary)))
        except (NotRunError, OSError, TimeoutError) as exc:
            record.write(f"the case could not run: {exc!r}")
            return 2
    record.write("the rule was broken" if is_broken else "the rule held")
    return int(is_broken)
