"""Stand-ins for the review's cases: discovery, model servers, clients and the start of a gateway.

They follow the protocol page: a server answers 202 for a read, keeps the read state until a writer fetches it or a
DELETE lets it go, streams its answer in chunks, answers probes, and reports its load. Everything runs on loopback.
Python's standard library only.
"""
import asyncio
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()
PORTS, TAKEN = random.Random(), set()


def now():
    """Seconds since the script began."""
    return time.monotonic() - START


def with_parent():
    """In a child before its start: it gets SIGKILL if the script ends without stopping it."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Record:
    """record.txt: what was sent, answered and run, one line an event."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", buffering=1)

    def __call__(self, who, what):
        self.file.write(f"{now():9.4f} {who:<14} {what}\n")


def free_port():
    """A free port below the range from which the system takes the ports of outgoing connections."""
    while True:
        port = PORTS.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in TAKEN:
            TAKEN.add(port)
            return port


def settings(**changes):
    """Settings like those of shop-assist-ahd, with the names of the wire page."""
    base = {
        "balancers": 2,
        "clients": {"marks-retry": False},
        "discovery": "automatic",
        "domain": {
            "aim-us-per-1000-prompt-tokens": [40000.0, 40000.0], "local-read": False, "may-reserve": True,
            "move-fee": 0.03, "pin-limit": 500.0, "report-x0": "share of memory that is held", "resume": False,
            "stage-of-kind": ["read", "write"], "token-aim": [70.0, 80.0], "tokens-by-kind": [212411, 192711],
        },
        "family": "twostage",
        "kinds": ["prompt-side", "answer-side"],
        "layers": ["model-fleet"],
        "me": 0,
        "over-share-worth": 0.1,
        "policy-limits": {
            "cancel": True, "conn-idle": 30000.0, "cpu-us-per-request": 0.0, "cpu-us-per-s": 500000,
            "dial-timeout": 250.0, "max-attempts": 5, "max-open": 20000, "max-retry-after": 500.0, "max-streams": 100,
            "may-tell": False, "probes": True, "retry-after": True, "second-copies": False,
        },
        "prices": {
            "connection": 0.0, "cross-zone": 0.0, "discovery": 0.0, "handshake": 0.0, "late-fail": 0.025,
            "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.003, "waste": 0.16,
        },
        "quantum": 4.0,
        "rules": {
            "ask-within": 10000.0, "cold": 13000.0, "cold-from": 0.31, "drain-grace": 2000.0, "fall": 3000.0,
            "fall-multiple": 4.0, "grace-to-answer": 16.0,
        },
        "scoring-mix": {"whole": 0.55, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.25},
        "services": [
            {"aim": 2000.0, "deadline": 10000.0, "group": "all", "late-worth": 0.1, "name": "item-query",
             "semantics": "free", "stream": True, "window": 5000.0, "worth": 3.0},
            {"aim": 2500.0, "deadline": 12000.0, "group": "all", "late-worth": 0.1, "name": "order-chat",
             "semantics": "single_shot", "stream": True, "window": 5000.0, "worth": 2.0},
        ],
        "stage": 0,
        "telemetry": {"how": "answers", "names": ["outstanding", "x0"]},
        "tenants": [],
        "weights": "nominal",
        "worth-by": "work",
        "zone": 0,
        "zones": ["ahd-dc1"],
    }
    base.update(changes)
    return base


class Discovery:
    """The agent of discovery: the whole list, and watches that wait for changes."""

    def __init__(self):
        self.port = free_port()
        self.seq = 41
        self.hosts = {}
        self.changed = {}
        self.news = asyncio.Event()

    def put(self, host, port, kind, health="SERVING", born_ms=0):
        self.hosts[host] = {"host": host, "dial": f"127.0.0.1:{port}", "site": "ahd-dc1", "class": kind, "block": 0,
                            "health": health, "share": 1.0, "born_ms": born_ms}
        self.seq += 1
        self.changed[host] = self.seq
        self.news.set()
        self.news = asyncio.Event()

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                _, target, _, _ = head
                since, hold = re.search(r"from=(\d+)", target), re.search(r"hold_ms=(\d+)", target)
                if since:
                    version = int(since.group(1))
                    end = time.monotonic() + (int(hold.group(1)) if hold else 0) / 1000
                    while self.seq <= version and time.monotonic() < end:
                        try:
                            await asyncio.wait_for(self.news.wait(), end - time.monotonic())
                        except asyncio.TimeoutError:
                            pass
                    entries = [e for h, e in self.hosts.items() if self.changed[h] > version]
                    body = {"seq": self.seq, "whole": False, "hosts": entries}
                else:
                    body = self.whole()
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                             % len(text) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def read_head(reader):
    """Method, target, headers and body of the next request; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("content-length", "0") != "0":
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return method, target, headers, body


def chunk(text):
    data = text.encode()
    return b"%x\r\n" % len(data) + data + b"\r\n"


class Server:
    """A model server: a reader, a writer or, of role `both`, a mixed one that reads by itself what has no state."""

    states = {}

    ROLES = {"prompt-side": "read", "answer-side": "write", "prefill": "read", "decode": "write", "mixed": "both"}

    def __init__(self, name, kind, record, read_s=0.03, first_s=0.05, events=6, event_s=0.05):
        self.name, self.kind, self.record, self.role = name, kind, record, self.ROLES[kind]
        self.read_s, self.first_s, self.events, self.event_s = read_s, first_s, events, event_s
        self.port = free_port()
        self.in_flight = 0
        self.runs = []  # (id, time at which its last byte came)
        self.out = {}  # id: attempts that are out now

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 20)

    def load(self):
        return f"TEXT inflight={self.in_flight}, x0={min(0.9, 0.02 * self.in_flight):.2f}"

    def simple(self, status, body="", extra=""):
        data = body.encode()
        return (f"HTTP/1.1 {status}\r\nsrv-load: {self.load()}\r\n{extra}content-length: {len(data)}\r\n\r\n").encode() + data

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                if not await self.answer(head, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, head, reader, writer):
        method, target, headers, body = head
        if target.startswith("/kv/leases/"):
            if method == "DELETE":
                Server.states.pop(target.rsplit("/", 1)[1], None)
                writer.write(self.simple("204 No Content"))
            else:
                writer.write(self.simple("409 Conflict"))
            await writer.drain()
            return True
        if target in ("/health", "/status/load"):
            writer.write(self.simple("200 OK", self.load()))
            await writer.drain()
            return True
        ident = headers.get("req-id")
        if method != "POST" or ident is None:
            writer.write(self.simple("404 Not Found"))
            await writer.drain()
            return True
        self.runs.append((ident, now()))
        self.record(self.name, f"run {ident} ({headers.get('req-kind', '-')}), the gateway waits {headers.get('req-deadline')} s")
        self.in_flight += 1
        self.out[ident] = self.out.get(ident, 0) + 1
        # A server stops the work of a request whose connection has ended.
        work = asyncio.ensure_future(self.work(ident, headers, body, writer))
        gone = asyncio.ensure_future(self.peer_end(reader))
        try:
            done, _ = await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if work not in done:
                self.record(self.name, f"stopped {ident}: its connection ended")
                return False
            return await work
        finally:
            for task in (work, gone):
                task.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)
            self.in_flight -= 1
            self.out[ident] -= 1

    async def peer_end(self, reader):
        """Ends when the peer closes. What it sends ahead is left in the reader."""
        while not reader.at_eof():
            await asyncio.sleep(0.002)

    async def work(self, ident, headers, body, writer):
        if self.role == "read":
            return await self.read(ident, writer)
        if self.role == "both" and ident not in Server.states:
            await asyncio.sleep(self.read_s)
            Server.states[ident] = self.name
        return await self.write(ident, headers, body, writer)

    async def read(self, ident, writer):
        await asyncio.sleep(self.read_s)
        Server.states[ident] = self.name
        writer.write(self.simple("202 Accepted", '{"cached_tokens":0}'))
        await writer.drain()
        return True

    async def write(self, ident, headers, body, writer):
        await asyncio.sleep(self.first_s)
        if Server.states.pop(ident, None) is None:
            self.record(self.name, f"{ident}: no state")
            writer.write(self.simple("410 Gone", extra="srv-declined: 1\r\n"))
            await writer.drain()
            return True
        writer.write(self.stream_head() + self.event(ident, 0))
        await writer.drain()
        for number in range(1, self.events):
            await asyncio.sleep(self.event_s)
            writer.write(self.event(ident, number))
            await writer.drain()
        await self.before_end(ident)
        writer.write(self.stream_end())
        await writer.drain()
        self.record(self.name, f"answered {ident}")
        return await self.after_answer(ident, writer)

    def stream_head(self):
        return b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"

    def event(self, ident, number):
        content = json.dumps({"choices": [{"index": 0, "delta": {"content": f"{ident}.{number} "}, "finish_reason": None}]})
        return chunk(f"data: {content}\n\n")

    def stream_end(self):
        usage = json.dumps({"choices": [], "usage": {"prompt_tokens": 100, "completion_tokens": self.events,
                                                     "prompt_tokens_details": {"cached_tokens": 0}}})
        return chunk(f"data: {usage}\n\n") + chunk("data: [DONE]\n\n") + chunk(f": Srv-Load: {self.load()}\n\n") + b"0\r\n\r\n"

    async def before_end(self, ident):
        pass

    async def after_answer(self, ident, writer):
        return True


class Gateway:
    """One process of `run` in deploy/balancer.toml, started from the root as the deployment page says."""

    def __init__(self, record, discovery, name="n1", listen=None, tmp=None, options="", **config):
        self.record, self.name, self.options = record, name, options
        self.listen = listen or free_port()
        self.ops = free_port()
        self.folder = Path(tempfile.mkdtemp(prefix="glenrail-review-"))
        self.tmp = tmp or self.folder / "tmp"
        self.tmp.mkdir(exist_ok=True)
        self.config = {"name": name, "listen": f"127.0.0.1:{self.listen}", "ops": f"127.0.0.1:{self.ops}",
                       "discovery": f"127.0.0.1:{discovery.port}", "seed": "8c1f30d27a5be964",
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.whole(),
                       "settings": settings()}
        self.config.update(config)
        self.process = None

    def start(self):
        file = self.folder / "config.json"
        file.write_text(json.dumps(self.config))
        command = re.search(r'^run = "([^"]*)"', (ROOT / "deploy/balancer.toml").read_text(), re.M).group(1)
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        env.update(EDGE_CONFIG=str(file), EDGE_NAME=self.name, TMPDIR=str(self.tmp))
        self.log = open(self.folder / "log", "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", command + self.options], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
                                        preexec_fn=with_parent)
        self.record(self.name, f"process started: {command}{self.options}")
        return self

    def signal(self, number):
        self.process.send_signal(number)
        self.record(self.name, f"got {signal.Signals(number).name}")

    async def get(self, port, path, method="GET", timeout=1.0):
        try:
            return await asyncio.wait_for(http_call(port, method, path), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def wait_ready(self, port=None, path="/ready", limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            answer = await self.get(port or self.listen, path)
            if answer and answer[0] == 200:
                self.record(self.name, "ready")
                return
            if self.process.poll() is not None:
                raise CannotRun(f"the gateway has ended: {(self.folder / 'log').read_text()[-300:]}")
            await asyncio.sleep(0.02)
        raise CannotRun("the gateway is not ready in time")

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    def clean(self, keep=None):
        self.stop()
        if self.process:
            self.log.close()
        if keep:
            shutil.copy(self.folder / "log", keep)
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run: exit code 2."""


async def http_call(port, method, path):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nhost: ops\r\nconnection: close\r\ncontent-length: 0\r\n\r\n".encode())
        data = await reader.read(-1)
        head, _, body = data.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), body
    finally:
        writer.close()


def request_bytes(ident, kind, deadline=10.0, body=b'{"model":"chat","stream":true}', key="7f3a9c21e0b4d655", extra=""):
    head = (f"POST /v1/chat/completions HTTP/1.1\r\nhost: api.internal\r\nreq-id: {ident}\r\nreq-kind: {kind}\r\n"
            f"req-key: {key}\r\nreq-deadline: {deadline:.3f}\r\nreq-extra: prompt_len=400,max_out=100\r\n{extra}"
            f"content-length: {len(body)}\r\n\r\n")
    return head.encode(), body


class Answer:
    """What a client got: status, events with the time of each, and how the answer ended."""

    def __init__(self):
        self.status, self.body, self.whole, self.end = None, b"", False, None
        self.times, self.headers = [], {}

    def __str__(self):
        end = "whole" if self.whole else f"cut ({self.end})"
        return f"{self.status}, {len(self.times)} pieces, {end}"


async def read_answer(reader):
    """Reads one answer to its last byte, or to the end of its connection."""
    answer = Answer()
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    answer.whole = True
                    break
                answer.body += data[:-2]
                answer.times.append(now())
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
            answer.whole = True
    except asyncio.IncompleteReadError:
        answer.end = "the connection ended"
    except ConnectionError as error:
        answer.end = type(error).__name__
    answer.ended = now()
    return answer


def quiet_end():
    """Ends what the stand-ins still serve, without a word about it."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda *_: None)
    for task in asyncio.all_tasks():
        if task is not asyncio.current_task():
            task.cancel()


def finish(record, broken, seen):
    """Prints the verdict and gives the exit code."""
    quiet_end()
    record("verdict", ("BROKEN: " if broken else "held: ") + seen)
    print(("BROKEN: " if broken else "held: ") + seen)
    return 1 if broken else 0


def main(folder, play):
    """Runs `play(record)`; its result is the exit code, and any failure of the set-up is 2."""
    record = Record(folder)
    try:
        code = asyncio.run(asyncio.wait_for(play(record), 110))
    except Exception as error:  # The case could not run, whatever the reason.
        record("verdict", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        code = 2
    sys.exit(code)
