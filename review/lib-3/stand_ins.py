"""Stand-ins for the cases of this review: engines, discovery, clients, and the gateway as a process.

Everything runs on loopback addresses and the real clock. The engines do what the protocol page allows them, unless a case
gives one of them a disruption. All engines of a case share one `Fleet`, which knows the read states that they hold.
"""
import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CHAT = "/v1/chat/completions"


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


class Record:
    """The file `record.txt` beside a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", buffering=1)
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def read_head(reader):
    """Returns the first line and the headers of a message; None if the other side has closed the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(text):
    choice = {"choices": [{"index": 0, "delta": {"content": text}, "finish_reason": None}]}
    return ("data: " + json.dumps(choice, ensure_ascii=False) + "\n\n").encode()


def last_events(tokens):
    stop = {"choices": [{"index": 0, "delta": {"content": ""}, "finish_reason": "stop"}]}
    usage = {"choices": [], "usage": {"prompt_tokens": 400, "completion_tokens": tokens,
                                      "prompt_tokens_details": {"cached_tokens": 0}}}
    return b"".join(b"data: " + json.dumps(one).encode() + b"\n\n" for one in (stop, usage)) + b"data: [DONE]\n\n"


class Fleet:
    """What all engines know together: the read states that wait, and what was run."""

    def __init__(self, record):
        self.record = record
        self.states = {}
        self.ran = []


class Engine:
    """An engine: a reader ("read"), a writer ("write") or a mixed one ("both")."""

    def __init__(self, fleet, name, role, read_s=0.03, tokens=6, token_s=0.03):
        self.fleet, self.name, self.role = fleet, name, role
        self.read_s, self.tokens, self.token_s = read_s, tokens, token_s
        self.health, self.born_ms = "SERVING", 0
        self.hangs_on = lambda request_id: False
        self.word = lambda request_id, index: f"{request_id}.{index} "
        self.writers = set()
        self.in_flight = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def line(self, kinds):
        return {"host": self.name, "dial": f"{HOST}:{self.port}", "site": "a", "class": kinds[self.role], "block": 1,
                "health": self.health, "share": 1.0, "born_ms": self.born_ms}

    def load(self):
        return f"TEXT inflight={self.in_flight}, x0={min(1.0, 0.02 * self.in_flight):.2f}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, path, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self.answer(method, path, headers, body, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, path, headers, body, reader, writer):
        if method == "DELETE" and path.startswith("/kv/leases/"):
            request_id = path.rsplit("/", 1)[1]
            if self.fleet.states.pop(request_id, None):
                self.fleet.record.write(f"{self.name}: let go of {request_id}")
            return await self.short(writer, 204, b"")
        if method == "GET" and path in ("/health", "/status/load"):
            return await self.short(writer, 200, self.load().encode())
        if method != "POST" or path.split("?")[0] != CHAT or "req-id" not in headers:
            return await self.short(writer, 404, b"")
        request_id = headers["req-id"]
        self.fleet.record.write(f"{self.name}: got {request_id}, told {headers.get('req-deadline')} s")
        self.in_flight += 1
        try:
            await self.attempt(request_id, headers, reader, writer)
        finally:
            self.in_flight -= 1

    async def attempt(self, request_id, headers, reader, writer):
        if self.hangs_on(request_id):
            # Silent until the other side gives up.
            await reader.read(1)
            raise ConnectionResetError
        if self.role == "read":
            await asyncio.sleep(self.read_s)
            self.fleet.states[request_id] = self.name
            return await self.short(writer, 202, b'{"cached_tokens":0}')
        if self.fleet.states.pop(request_id, None) is None:
            if self.role == "write":
                return await self.short(writer, 410, b"", declined=True)
            await asyncio.sleep(self.read_s)
        await self.stream(request_id, writer)

    async def stream(self, request_id, writer):
        self.fleet.ran.append((request_id, self.name))
        self.fleet.record.write(f"{self.name}: runs {request_id}")
        writer.write(self.stream_head())
        for index in range(self.tokens):
            writer.write(chunk(event(self.word(request_id, index))))
            await writer.drain()
            await asyncio.sleep(self.token_s)
        writer.write(chunk(last_events(self.tokens)) + chunk(f": Srv-Load: {self.load()}\n\n".encode()) + b"0\r\n\r\n")
        await writer.drain()
        self.fleet.record.write(f"{self.name}: wrote the end of {request_id}")

    def stream_head(self):
        return b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"

    async def short(self, writer, status, body, declined=False):
        mark = "srv-declined: 1\r\n" if declined else ""
        head = f"HTTP/1.1 {status} X\r\nsrv-load: {self.load()}\r\n{mark}content-length: {len(body)}\r\n\r\n"
        if status == 204:
            head = "HTTP/1.1 204 X\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()


class Discovery:
    """The agent on the gateway's machine. `silent` makes it answer nothing, as while discovery is down."""

    def __init__(self, record, engines, kinds):
        self.record, self.engines, self.kinds = record, engines, kinds
        self.seq, self.silent, self.calls = 41, False, 0
        self.changed = asyncio.Event()
        self.told = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": [one.line(self.kinds) for one in self.engines]}

    def change(self, *engines):
        """Tells that these engines have changed."""
        self.seq += 1
        self.changes = {"seq": self.seq, "whole": False, "hosts": [one.line(self.kinds) for one in engines]}
        self.changed.set()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                self.calls += 1
                target = head[0].split(" ")[1]
                while self.silent:
                    await asyncio.sleep(0.05)
                text = await self.text(target)
                while self.silent:
                    await asyncio.sleep(0.05)
                body = json.dumps(text).encode()
                writer.write(f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
                self.told[self.seq] = self.record.now()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def text(self, target):
        if "from=" not in target:
            return self.whole()
        fields = dict(pair.split("=") for pair in target.split("?")[1].split("&"))
        since, hold = int(fields["from"]), int(fields.get("hold_ms", "0")) / 1000
        if since == self.seq:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), hold)
            except asyncio.TimeoutError:
                return {"seq": self.seq, "whole": False, "hosts": []}
        return self.changes if since == self.seq - 1 else self.whole()


class Gateway:
    """A gateway, started by the line `run` of the deploy file."""

    started = []

    def __init__(self, record, name, config, options="", environment=None, temporary=None):
        self.record, self.name = record, name
        self.folder = temporary or tempfile.mkdtemp(prefix="review-")
        path = Path(self.folder) / f"{name}.json"
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        variables = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        variables.update(TMPDIR=self.folder, **(environment or {}))
        if config is not None:
            path.write_text(json.dumps(config))
            variables["EDGE_CONFIG"] = str(path)
        self.log = open(Path(self.folder) / f"{name}.log", "wb")
        command = ["/bin/sh", "-c", f"{run} {options}".strip()]
        try:
            self.process = subprocess.Popen(command, cwd=ROOT, env=variables, stdin=subprocess.DEVNULL, stdout=self.log,
                                            stderr=self.log)
        except OSError as error:
            raise CannotRun(f"the gateway cannot be started: {error}") from error
        Gateway.started.append(self)
        record.write(f"{name}: started")

    def signal(self, number):
        self.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def said(self):
        return Path(self.log.name).read_text(errors="replace")

    def runs(self):
        return self.process.poll() is None

    @staticmethod
    def end_all():
        for gateway in Gateway.started:
            if gateway.runs():
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
            gateway.process.wait()
            for line in gateway.said().splitlines():
                gateway.record.file.write(f"    {gateway.name} said: {line[:400]}\n")
            gateway.log.close()
        for folder in {gateway.folder for gateway in Gateway.started}:
            shutil.rmtree(folder, ignore_errors=True)


class Answer:
    """What a client got: the status, each event with its time, and how it ended."""

    def __init__(self):
        self.status, self.headers, self.events, self.body = None, {}, [], b""
        self.at, self.ended, self.end = None, None, "nothing came"

    def words(self):
        text = []
        for _, raw in self.events:
            if raw.startswith(b"data: {"):
                for choice in json.loads(raw[6:])["choices"]:
                    text.append(choice["delta"]["content"])
        return "".join(text)

    def brief(self):
        return f"{self.status}, {len(self.events)} events, {self.end}, {self.words()[:60]!r}"


def request_bytes(request_id, kind, deadline, key="5a", body=None, extra="prompt_len=400,max_out=40", owner=None):
    if body is None:
        body = json.dumps({"model": "chat", "stream": True, "messages": [{"role": "user", "content": request_id}]})
    lines = [f"POST {CHAT} HTTP/1.1", "Host: api.internal", f"Req-Id: {request_id}", f"Req-Kind: {kind}",
             f"Req-Key: {key}", f"Req-Deadline: {deadline:.3f}", f"Req-Extra: {extra}",
             f"Content-Length: {len(body.encode())}"]
    if owner:
        lines.append(f"Req-Owner: {owner}")
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


class Connection:
    """A client's connection."""

    def __init__(self, record, name="client"):
        self.record, self.name = record, name

    async def open(self, port):
        self.reader, self.writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
        return self

    def send(self, data, what):
        self.record.write(f"{self.name}: sends {what}")
        self.writer.write(data)

    async def answer(self, what, limit):
        """Reads one answer, for at most `limit` seconds."""
        answer = Answer()
        try:
            await asyncio.wait_for(self.read(answer), limit)
        except asyncio.TimeoutError:
            answer.end = f"not ended after {limit:.1f} s"
        except (ConnectionError, asyncio.IncompleteReadError):
            answer.end = "connection ended"
        answer.ended = self.record.now()
        self.record.write(f"{self.name}: {what} got {answer.brief()}")
        return answer

    async def read(self, answer):
        head = await read_head(self.reader)
        if head is None:
            answer.end = "connection ended"
            return
        answer.at = self.record.now()
        answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            pending = b""
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                pending += data[:-2]
                *whole, pending = pending.split(b"\n\n")
                answer.events += [(self.record.now(), one) for one in whole]
        else:
            answer.body = await self.reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.end = "whole"

    def close(self):
        self.writer.close()


async def ask(record, port, name, request_id, data, limit):
    """Sends one request on a connection of its own and returns its answer."""
    try:
        connection = await Connection(record, name).open(port)
    except OSError:
        answer = Answer()
        answer.end, answer.ended = "no connection", record.now()
        return answer
    connection.send(data, request_id)
    answer = await connection.answer(request_id, limit)
    connection.close()
    return answer


async def get(record, port, path, limit=1.0, method="GET"):
    """One short call; returns the status, or None if there is no answer in time."""
    try:
        connection = await asyncio.wait_for(Connection(record).open(port), limit)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        connection.writer.write(f"{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".encode())
        answer = Answer()
        await asyncio.wait_for(connection.read(answer), limit)
        return answer.status
    except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        connection.close()


async def until_ready(record, gateway, port, path="/ready", limit=20.0):
    begun = time.monotonic()
    while time.monotonic() - begun < limit:
        if not gateway.runs():
            raise CannotRun(f"{gateway.name} has ended:\n{gateway.said()}")
        if await get(record, port, path) == 200:
            record.write(f"{gateway.name}: ready")
            return
        await asyncio.sleep(0.02)
    raise CannotRun(f"{gateway.name} is not ready after {limit} s")


def main(folder, case, limit=110.0):
    """Plays a case, writes its record and exits as the issue asks."""
    record = Record(folder)
    code = COULD_NOT_RUN
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        code = asyncio.run(asyncio.wait_for(case(record), limit))
    except asyncio.TimeoutError:
        record.write("could not run: the case took too long")
    except Exception as error:  # whatever went wrong here says nothing about the rule
        record.write(f"could not run: {type(error).__name__}: {error}")
    finally:
        Gateway.end_all()
    # Connections that are still open end with the process.
    record.write({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "could not run"}[code])
    sys.stderr.flush()
    os._exit(code)
