"""Stand-ins for cases at the second front: servers and clients of the public APIs, and the gateway as a process.

Everything runs on loopback addresses and the real clock.
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
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


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


def free_port():
    with socket.socket() as one:
        one.bind((HOST, 0))
        return one.getsockname()[1]


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


class Server:
    """A server of the public API, which answers each request well after a fixed time."""

    def __init__(self, record, name, seconds):
        self.record, self.name, self.seconds, self.ran, self.answered = record, name, seconds, [], set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                asked = json.loads(await reader.readexactly(int(head[1]["content-length"])))
                name = asked["user"]
                self.ran.append(name)
                self.record.write(f"{self.name}: runs {name}")
                await asyncio.sleep(self.seconds)
                if "documents" in asked:
                    scores = [{"index": index, "relevance_score": 0.5} for index, _ in enumerate(asked["documents"])]
                    answer = {"results": scores}
                else:
                    answer = {"choices": [{"index": 0, "message": {"role": "assistant", "content": name}}]}
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%s"
                             % (len(body), body))
                await writer.drain()
                self.answered.add(name)
                self.record.write(f"{self.name}: answered {name}")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def post(record, port, path, asked, limit):
    """Sends a request on a connection of its own, its body in chunks, as a library does that writes JSON while it makes it.

    Returns the status and the headers of the answer; the status is None if none came whole in time.
    """
    body, name = json.dumps(asked).encode(), asked["user"]
    pieces = b"".join(b"%x\r\n%s\r\n" % (len(body[at:at + 8192]), body[at:at + 8192]) for at in range(0, len(body), 8192))
    head = f"POST {path} HTTP/1.1\r\nHost: api\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
    status, headers, said = None, {}, b""
    try:
        reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 24)
    except OSError as error:
        record.write(f"client: no connection for {name}: {error}")
        return None, {}
    record.write(f"client: sends {name}, {len(body)} bytes")
    try:
        writer.write(head.encode() + pieces + b"0\r\n\r\n")
        status, headers, said = await asyncio.wait_for(read_answer(reader), limit)
    except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError) as error:
        record.write(f"client: {name} got no answer: {error!r}")
    finally:
        writer.close()
    record.write(f"client: {name} got {status}, {said[:100]!r}")
    return status, headers


async def read_answer(reader):
    found = await read_head(reader)
    if found is None:
        raise ConnectionError("the connection ended")
    line, headers = found
    said = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while (size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)) > 0:
            said += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        said = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(line.split(" ")[1]), headers, said


class Gateway:
    """The gateway with its second front alone, started by the line `run` of the deploy file."""

    def __init__(self, record, folder, sections):
        """`sections` has the servers of each section of the front's file; all else in it are the defaults."""
        self.record, self.port = record, free_port()
        lines = [f'listen = "{HOST}:{self.port}"']
        for section, servers in sections.items():
            lines.append(f"[{section}]")
            lines += [f'[[{section}.servers]]\nname = "{one.name}"\ndial = "{HOST}:{one.port}"' for one in servers]
        file = Path(folder) / "front.toml"
        file.write_text("\n".join(lines) + "\n")
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        variables = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        self.log = Path(folder) / "gateway.log"
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", f"{run} --front {file}"], cwd=ROOT, stdout=log, stderr=log,
                                            env=variables | {"TMPDIR": str(folder)}, stdin=subprocess.DEVNULL)
        record.write("gateway: started")

    async def ready(self, limit=20.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"the gateway has ended: {self.log.read_text(errors='replace')}")
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: api\r\n\r\n")
                status = (await asyncio.wait_for(read_answer(reader), 1.0))[0]
                writer.close()
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun(f"the gateway is not ready after {limit} s")

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        for line in self.log.read_text(errors="replace").splitlines():
            self.record.write(f"gateway said: {line[:300]}")


def play(folder, case, limit=110.0):
    """Plays a case, writes its record and exits: 0 the rule held, 1 it was broken, 2 the case could not run."""
    record, code, gateways = Record(folder), COULD_NOT_RUN, []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        def gateway(sections):
            gateways.append(Gateway(record, temporary, sections))
            return gateways[-1]

        try:
            code = asyncio.run(asyncio.wait_for(case(record, gateway), limit))
        except asyncio.TimeoutError:
            record.write("could not run: the case took too long")
        except Exception as error:  # whatever went wrong here says nothing about the rule
            record.write(f"could not run: {type(error).__name__}: {error}")
        finally:
            for one in gateways:
                one.end()
    record.write({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "could not run"}[code])
    os._exit(code)
