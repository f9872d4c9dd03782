"""Rig of the cases 6 to 10: starts gateways with the command of the deploy file, and stand-ins for engines, discovery and
clients in one asyncio program. Everything is on 127.0.0.1 and on free ports.

Stand-ins behave as sound ones unless a case sets one of their switches. What they see goes to record.txt.
"""
import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT = 0, 1, 2


class CouldNot(Exception):
    """The case could not be played."""


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w")

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, who, what, **fields):
        line = f"{self.now():8.3f} {who} {what}"
        for name, value in fields.items():
            line += f" {name}={value}"
        self.file.write(line + "\n")
        self.file.flush()
        return self.now()


def settings(**changes):
    """Settings like those of the deployment with two stages, one zone and a class that must not run twice."""
    base = {
        "balancers": 2, "me": 0, "zone": 0, "stage": 0, "quantum": 4.0, "family": "twostage",
        "discovery": "automatic", "clients": {"marks-retry": False},
        "domain": {
            "aim-us-per-1000-prompt-tokens": [40000.0, 40000.0], "local-read": False, "may-reserve": True,
            "move-fee": 0.03, "pin-limit": 500.0, "resume": False, "stage-of-kind": ["read", "write"],
            "report-x0": "share of memory that is held", "token-aim": [70.0, 80.0],
            "tokens-by-kind": [212411, 192711],
        },
        "kinds": ["prompt-side", "answer-side"], "layers": ["model-fleet"], "over-share-worth": 0.1,
        "policy-limits": {
            "cancel": True, "conn-idle": 30000.0, "cpu-us-per-request": 0.0, "cpu-us-per-s": 500000,
            "dial-timeout": 250.0, "max-attempts": 5, "max-open": 20000, "max-retry-after": 500.0,
            "max-streams": 100, "may-tell": False, "probes": True, "retry-after": True, "second-copies": False,
        },
        "prices": {"waste": 0.16, "probe": 0.003, "late-fail": 0.025},
        "rules": {"ask-within": 10000.0, "cold": 13000.0, "cold-from": 0.31, "drain-grace": 2000.0, "fall": 3000.0,
                  "fall-multiple": 4.0, "grace-to-answer": 16.0},
        "scoring-mix": {"whole": 0.55, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.25},
        "services": [
            {"aim": 2000.0, "deadline": 10000.0, "group": "all", "late-worth": 0.1, "name": "item-query",
             "semantics": "free", "stream": True, "window": 5000.0, "worth": 3.0},
            {"aim": 2500.0, "deadline": 12000.0, "group": "all", "late-worth": 0.1, "name": "order-chat",
             "semantics": "single_shot", "stream": True, "window": 5000.0, "worth": 2.0}],
        "telemetry": {"how": "answers", "names": ["outstanding", "x0"]}, "tenants": [], "weights": "nominal",
        "worth-by": "work", "zones": ["dc1"],
    }
    for path, value in changes.items():
        section = base
        *parents, last = path.split("__")
        for part in parents:
            section = section[part.replace("_", "-")]
        section[last.replace("_", "-")] = value
    return base


# Messages


async def read_message(reader):
    """Returns (first line, headers, body) of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def answer(status, body=b"", **headers):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


# Discovery


class Discovery:
    """The agent on the gateway's machine: the list, and watches that it answers as soon as something changes."""

    def __init__(self, record):
        self.record, self.seq, self.hosts, self.changes = record, 1, {}, []
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self

    def entry(self, engine, health="SERVING"):
        return {"host": engine.name, "dial": engine.address, "site": engine.zone, "class": engine.kind,
                "block": engine.block, "health": health, "share": 1.0, "born_ms": engine.born_ms}

    def tell(self, *engines, health="SERVING"):
        """Lists engines with this health. Every open watch is answered at once."""
        self.seq += 1
        for engine in engines:
            entry = self.entry(engine, health)
            self.hosts[engine.name] = entry
            if health == "DELETED":
                del self.hosts[engine.name]
            self.changes.append((self.seq, entry))
        self.record("discovery", "tells", health=health, engines=",".join(e.name for e in engines))
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                target = message[0].split()[1]
                query = dict(p.split("=") for p in target.split("?")[1].split("&")) if "?" in target else {}
                told = self.whole()
                if "from" in query:
                    since, hold = int(query["from"]), int(query["hold_ms"]) / 1000
                    if since >= self.seq:
                        try:
                            await asyncio.wait_for(self.changed.wait(), hold)
                        except asyncio.TimeoutError:
                            pass
                    news = {e["host"]: e for seq, e in self.changes if seq > since}
                    told = {"seq": self.seq, "whole": False, "hosts": list(news.values())}
                writer.write(answer("200 OK", json.dumps(told).encode(), Content_Type="application/json"))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


# Engines


class World:
    """What all engines know together: the states that readers hold, by request."""

    def __init__(self, record):
        self.record, self.states, self.runs, self.held, self.finished = record, {}, [], [], []

    def hold(self, request, engine):
        self.states[request] = engine.name
        self.held.append([request, engine.name, self.record.now(), None, None])
        self.record(engine.name, "holds", request=request)

    def has_run(self, request):
        return any(run[0] == request for run in self.runs)

    def let_go(self, request, how):
        """Ends all that is held for a request; returns whether anything was."""
        found = self.states.pop(request, None) is not None
        for entry in self.held:
            if entry[0] == request and entry[3] is None:
                entry[3], entry[4] = self.record.now(), how
        return found


class Engine:
    """A reader or a writer. It ends its work when the connection of the request ends."""

    def __init__(self, world, name, role, zone="dc1", block=0, first=0.05, gap=0.02, events=6):
        self.world, self.record, self.name, self.role = world, world.record, name, role
        self.kind = {"read": "prompt-side", "write": "answer-side"}[role]
        self.zone, self.block, self.born_ms = zone, block, 0
        self.first, self.gap, self.events = first, gap, events
        self.out = set()
        self.probes = True

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self

    def load(self):
        return f"TEXT inflight={len(self.out)}, x0={0.1 + 0.01 * len(self.out):.2f}"

    async def serve(self, reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while message := await read_message(reader):
                if not await self.handle(message, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, message, reader, writer):
        """Answers one request; returns whether the connection goes on."""
        method, target, _ = message[0].split()
        if target.startswith("/kv/leases/"):
            request = target.rsplit("/", 1)[1]
            if method == "DELETE":
                found = self.world.let_go(request, "released")
                self.record(self.name, "release", request=request, held=found)
                writer.write(answer("204 No Content"))
            else:
                writer.write(answer("409 Conflict"))
            return True
        if target in ("/health", "/status/load"):
            if self.probes:
                writer.write(answer("200 OK", self.load().encode(), Srv_Load=self.load()))
            else:
                writer.write(answer("404 Not Found"))
            return True
        request = message[1].get("req-id")
        if not request:
            writer.write(answer("404 Not Found"))
            return True
        self.record(self.name, self.role, request=request, told=message[1].get("req-deadline"))
        self.out.add(request)
        work = asyncio.ensure_future(self.work(request, message, writer))
        ended = asyncio.ensure_future(self.connection_ends(reader))
        try:
            await asyncio.wait({work, ended}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.record(self.name, "gateway ended the connection", request=request)
                return await self.cut(work, request)
            return work.result()
        finally:
            ended.cancel()
            if not work.done():
                work.cancel()
            self.out.discard(request)

    async def cut(self, work, request):
        return False

    async def connection_ends(self, reader):
        """Waits for the end of the gateway's sending side. Bytes of a next request stay unread."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.002)

    async def work(self, request, message, writer):
        if self.role == "read":
            return await self.read(request, writer)
        return await self.write(request, writer)

    async def read(self, request, writer):
        await asyncio.sleep(self.first)
        self.world.hold(request, self)
        writer.write(answer("202 Accepted", b'{"cached_tokens":0}', Srv_Load=self.load(),
                            Content_Type="application/json"))
        return True

    def event(self, request, number, last):
        delta = {"content": f"{request}.{number} "}
        return b"data: " + json.dumps(
            {"choices": [{"index": 0, "delta": delta, "finish_reason": "stop" if last else None}]}).encode() + b"\n\n"

    def ending(self):
        return (b'data: {"choices":[],"usage":{"prompt_tokens":400,"completion_tokens":%d,'
                b'"prompt_tokens_details":{"cached_tokens":0}}}\n\ndata: [DONE]\n\n' % self.events)

    def report(self):
        return b": Srv-Load: " + self.load().encode() + b"\n\n"

    HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def write(self, request, writer):
        if not self.world.let_go(request, "taken"):
            self.record(self.name, "has no state", request=request)
            writer.write(answer("410 Gone", Srv_Declined="1", Srv_Load=self.load()))
            return True
        self.world.runs.append((request, self.name, self.record.now()))
        self.record(self.name, "runs", request=request)
        await asyncio.sleep(self.first)
        for number in range(self.events):
            head = self.HEAD if number == 0 else b""
            writer.write(head + chunk(self.event(request, number, number == self.events - 1)))
            await writer.drain()
            await asyncio.sleep(self.gap)
        writer.write(chunk(self.ending() + self.report()) + b"0\r\n\r\n")
        await writer.drain()
        self.world.finished.append((request, self.record(self.name, "finished", request=request)))
        return True


# Clients


class Answer:
    def __init__(self, request, status=None, body=b"", whole=False, error=None, took=0.0):
        self.request, self.status, self.body, self.whole = request, status, body, whole
        self.error, self.took, self.head_after = error, took, None

    def contents(self):
        found = []
        for line in self.body.decode("utf8", "replace").split("\n"):
            if line.startswith("data: {"):
                for choice in json.loads(line[6:])["choices"]:
                    found.append(choice["delta"]["content"].strip())
        return found


class Client:
    """A client that keeps one connection, sends one request at a time and sends it once more where a close crossed it."""

    count = 0

    def __init__(self, record, address, kind="order-chat"):
        self.record, self.kind, self.open = record, kind, None
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)

    @classmethod
    def fresh(cls):
        cls.count += 1
        return f"{os.getpid():08x}{cls.count:08x}"

    def message(self, request, deadline, key, prompt=400, body=None):
        body = body or json.dumps({"model": "chat", "stream": True, "max_tokens": 100, "messages": [
            {"role": "user", "content": "x" * (4 * prompt)}]}).encode()
        head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {request}\r\n"
                f"Req-Kind: {self.kind}\r\nReq-Key: {key}\r\nReq-Deadline: {deadline:.3f}\r\n"
                f"Req-Extra: prompt_len={prompt},max_out=100\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n")
        return head.encode(), body

    async def connect(self):
        self.open = await asyncio.open_connection(self.host, self.port)
        self.open[1].get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self):
        if self.open:
            self.open[1].close()
            self.open = None

    async def ask(self, deadline=8.0, key=None, request=None, prompt=400):
        request = request or self.fresh()
        head, body = self.message(request, deadline, key or request, prompt)
        kept = self.open is not None
        if not kept:
            await self.connect()
        begun = time.monotonic()
        self.record("client", "sends", request=request, kind=self.kind)
        self.open[1].write(head + body)
        found = await self.receive(request, begun)
        if found.error == "closed unread" and kept:
            self.record("client", "sends once more", request=request)
            return await self.ask(deadline, key, request, prompt)
        return found

    async def receive(self, request, begun):
        reader, writer = self.open
        found = Answer(request)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            found.head_after = time.monotonic() - begun
            lines = head.decode("latin1").split("\r\n")
            found.status = int(lines[0].split()[1])
            headers = {l.split(":", 1)[0].lower(): l.split(":", 1)[1].strip() for l in lines[1:] if ":" in l}
            if headers.get("transfer-encoding") == "chunked":
                while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                    found.body += (await reader.readexactly(size + 2))[:-2]
                await reader.readuntil(b"\r\n")
            else:
                found.body = await reader.readexactly(int(headers.get("content-length", 0)))
            found.whole = True
            if headers.get("connection", "").lower() == "close":
                self.close()
        except asyncio.IncompleteReadError as end:
            found.error = "closed unread" if found.status is None and not end.partial else "cut"
            self.close()
        except ConnectionError as error:
            found.error = f"reset: {error}"
            self.close()
        found.took = time.monotonic() - begun
        self.record("client", "receives", request=request, status=found.status, whole=found.whole,
                    error=found.error, events=len(found.contents()))
        return found


# Gateways


def deploy_command():
    """The command `run` of the deploy file."""
    for line in (ROOT / "deploy/balancer.toml").read_text().splitlines():
        if line.startswith("run = "):
            return json.loads(line[len("run = "):])
    raise CouldNot("deploy/balancer.toml has no run")


class Gateway:
    """A gateway as a process of its own."""

    def __init__(self, record, folder, name, config, temporary=None, arguments=""):
        self.record, self.name, self.config = record, name, config
        self.folder = Path(folder)
        self.path = self.folder / f"{name}.json"
        self.temporary = Path(temporary or self.folder / f"tmp-{name}")
        self.temporary.mkdir(exist_ok=True)
        self.arguments, self.process = arguments, None

    def write(self):
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.rename(self.path)

    def start(self):
        self.write()
        environment = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        environment.update(EDGE_CONFIG=str(self.path), TMPDIR=str(self.temporary))
        command = f"{deploy_command()} {self.arguments}"
        self.log = open(self.folder / f"{self.name}.log", "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.record(self.name, "starts", pid=self.process.pid)
        return self

    def signal(self, number):
        self.record(self.name, "gets", signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def ready(self, address=None, path="/ready", seconds=15):
        address = address or self.config["listen"]
        host, port = address.rsplit(":", 1)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CouldNot(f"{self.name} ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
                head = await asyncio.wait_for(reader.readuntil(b"\r\n"), 2)
                writer.close()
                if b" 200 " in head:
                    self.record(self.name, "is ready")
                    return self
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CouldNot(f"{self.name} is not ready after {seconds} s")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Rig:
    """Everything of one play; ends every process that it started."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.gateways = []
        self.world = World(self.record)

    async def discovery(self):
        return await Discovery(self.record).start()

    async def engine(self, name, role, kind=Engine, **options):
        return await kind(self.world, name, role, **options).start()

    def gateway(self, name, discovery, listen=None, ops=None, temporary=None, arguments="", **changes):
        config = {"name": name, "listen": listen or f"{HOST}:{free_port()}", "discovery": discovery.address,
                  "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": discovery.whole(), "settings": settings(**changes)}
        if ops:
            config["ops"] = ops
        gateway = Gateway(self.record, self.folder, name + ("" if not temporary else f"-{len(self.gateways)}"), config,
                          temporary, arguments)
        self.gateways.append(gateway)
        return gateway.start()

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        if os.environ.get("SHOW_LOGS"):
            for gateway in self.gateways:
                sys.stderr.write((self.gateway_log(gateway)))
        self.temporary.cleanup()

    def gateway_log(self, gateway):
        return Path(gateway.folder, f"{gateway.name}.log").read_text(errors="replace")


def play(folder, case, limit=100):
    """Plays a case, a coroutine of the rig that returns a list of breaks, and exits with the code of the outcome."""
    async def run():
        rig = Rig(folder)
        try:
            breaks = await asyncio.wait_for(case(rig), limit)
            crashed = [g.name for g in rig.gateways if g.process.poll() not in (None, 0, -9) and not breaks]
            breaks += [f"{name} crashed" for name in crashed]
            for line in breaks:
                rig.record("RULE BROKEN", line)
            rig.record("case", "broken" if breaks else "held", breaks=len(breaks))
            return BROKEN if breaks else HELD
        except (CouldNot, asyncio.TimeoutError, OSError) as error:
            rig.record("case", "could not run", why=repr(error))
            return COULD_NOT
        finally:
            rig.end()

    sys.exit(asyncio.run(run()))
