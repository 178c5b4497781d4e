"""Stand-ins for scripts of this review: store, workers, clients, processes.

All of them run in one asyncio loop, on loopback addresses and the real clock.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATEWAY = os.path.join("target", "pimento-gateway")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be carried out; says nothing of the system."""


class Record:
    """Writes what was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns (first line, headers with names in lower case)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, body=None):
    """Returns the body; @body holds what came, also if it is broken off."""
    body = bytearray() if body is None else body
    if headers.get("transfer-encoding", "") != "chunked":
        body += await reader.readexactly(int(headers.get("content-length", "0")))
        return bytes(body)
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            return bytes(body)


class Listener:
    """A server on a loopback address; subclasses define serve()."""

    def __init__(self, record):
        self.record = record
        self.server = None
        self.host, self.port = "127.0.0.1", 0
        self.writers = set()

    async def listen(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._accept, host, port, reuse_address=True)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # the case ends
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def close(self):
        """Stops listening and resets all channels, like a process that ends."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Listener):
    """The platform's store: rows with conditions, reads and feeds."""

    def __init__(self, record):
        super().__init__(record)
        self.rows = {}  # (table, part, key): (value, ver); value None: deleted
        self.ver = 100
        self.changed = asyncio.Event()
        self.era = 1

    def put(self, table, key, value, part=""):
        self.ver += 1
        self.rows[(table, part, key)] = (value, self.ver)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, table, key, obj):
        self.put(table, key, json.dumps(obj).encode())

    def delete(self, table, key):
        self.put(table, key, None)

    @staticmethod
    def _row(place, value, ver):
        row = {"table": place[0], "part": place[1], "key": place[2], "ver": ver}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _answer(self, **more):
        more.update(ver=self.ver, now_ms=int(time.monotonic() * 1000))
        return 200, more

    def _get(self, q):
        first, last = q.get("from", ""), q.get("to")
        limit = min(int(q.get("limit", "500")), 500)
        found = sorted(
            (place, row)
            for place, row in self.rows.items()
            if place[0] == q.get("table")
            and place[1] == q.get("part", "")
            and row[0] is not None
            and place[2] >= first
            and (last is None or place[2] < last)
        )
        rows = [self._row(place, *row) for place, row in found[:limit]]
        return self._answer(rows=rows, has_more=len(found) > limit)

    async def _feed(self, q):
        after = int(q["after"])
        end = time.monotonic() + min(int(q.get("wait_ms", "0")), 30000) / 1000
        while True:
            found = sorted(
                (row[1], place)
                for place, row in self.rows.items()
                if place[0] == q.get("table") and row[1] > after
            )
            left = end - time.monotonic()
            if found or left <= 0:
                rows = [self._row(place, *self.rows[place]) for _, place in found]
                return self._answer(rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _tx(self, body):
        tx = json.loads(body)

        def place(entry):
            return (entry["table"], entry.get("part", ""), entry["key"])

        current = []
        held = True
        for entry in tx.get("expected", []):
            value, ver = self.rows.get(place(entry), (None, 0))
            if value is None:
                ver = 0
            else:
                current.append(self._row(place(entry), value, ver))
            held = held and ver == entry["ver"]
        if not held:
            return 412, self._answer(rows=current)[1]
        self.ver += 1
        for entry in tx.get("set_keys", []):
            if entry["table"] in ("op", "servers"):
                return 403, {}
            self.rows[place(entry)] = (base64.b64decode(entry["value"]), self.ver)
        for entry in tx.get("delete", []):
            self.rows[place(entry)] = (None, self.ver)
        self.changed.set()
        self.changed = asyncio.Event()
        return self._answer()

    async def serve(self, reader, writer):
        line, headers = await read_head(reader)
        body = await read_body(reader, headers)
        target = urlsplit(line.split(" ")[1])
        q = {k: v[0] for k, v in parse_qs(target.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if target.path == "/rows-get":
            status, out = self._get(q)
        elif target.path == "/rows-feed":
            status, out = await self._feed(q)
        elif target.path == "/rows-tx":
            status, out = self._tx(body)
        else:
            status, out = 404, {}
        text = json.dumps(out).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (status, self.era, len(text), text)
        )
        await writer.drain()
        return True


class Request:
    """A request as it reached a worker."""

    def __init__(self, line, headers, body):
        self.method, self.target = line.split(" ")[:2]
        self.headers, self.body = headers, body
        self.id = headers.get("attempt-id", "")


class Worker(Listener):
    """A plain service. Subclasses define answer(), which writes the answer."""

    def __init__(self, record, store, service, instance, zone="a", version="v1", slots=16):
        super().__init__(record)
        self.store, self.service, self.instance = store, service, instance
        self.zone, self.version, self.slots = zone, version, slots
        self.born = 0
        self.beats = 0

    async def start(self, host="127.0.0.1", port=0, announce=True):
        """Starts a new lifetime."""
        self.born = int(time.time() * 1000)
        self.beats = 0
        await self.listen(host, port)
        self.record.add("worker %s starts, born %d" % (self.instance, self.born))
        if announce:
            self.beat()

    def beat(self, state="ready"):
        self.beats += 1
        self.store.put_json(
            "servers",
            self.instance,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": state,
                "cold_left_ms": 0,
                "born": self.born,
                "seq": self.beats,
            },
        )
        self.record.add("worker %s writes its entry: %s" % (self.instance, state))

    async def serve(self, reader, writer):
        line, headers = await read_head(reader)
        body = await read_body(reader, headers)
        request = Request(line, headers, body)
        if headers.get("expect-instance", self.instance) != self.instance:
            text = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
            writer.write((text % self.instance).encode())
            return True
        return await self.answer(request, writer)

    def head(self, request, status, more=""):
        return (
            "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Stamp: stamp.%s.%s\r\nKeep-Alive: timeout=10\r\n%s"
            % (status, request.id, self.instance, request.id, more)
        ).encode()

    def whole(self, request, status, body, more=""):
        more += "Content-Length: %d\r\n\r\n" % len(body)
        return self.head(request, status, more) + body

    async def answer(self, request, writer):
        raise NotImplementedError


class Answer:
    """What a client got: status 0 means that the channel ended without one."""

    def __init__(self, status=0, headers=None, body=b"", whole=False):
        self.status, self.headers = status, headers or {}
        self.body, self.whole = body, whole


class Channel:
    """A client's kept channel to a gateway."""

    def __init__(self, address):
        self.host, self.port = address
        self.reader = self.writer = None

    async def send(self, method, target, headers, body=b"", host="h"):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        lines = ["%s %s HTTP/1.1" % (method, target), "Host: %s" % host]
        lines += ["%s: %s" % h for h in headers.items()]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def receive(self):
        try:
            line, headers = await read_head(self.reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.close()
            return Answer()
        answer = Answer(int(line.split(" ")[1]), headers)
        body = bytearray()
        try:
            if answer.status not in (204, 304):
                await read_body(self.reader, headers, body)
            answer.whole = True
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            self.close()
        answer.body = bytes(body)
        if not answer.whole:
            return answer
        if headers.get("connection", "") == "close":
            self.close()
        return answer

    async def call(self, method, target, headers, body=b"", host="h"):
        try:
            await self.send(method, target, headers, body, host)
        except (ConnectionError, OSError):
            self.close()
            return Answer()
        return await self.receive()

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None


def free_port(host="127.0.0.1", kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind((host, 0))
        return s.getsockname()[1]


def free_port_both(hosts):
    """A port that is free for TCP and UDP at all of @hosts."""
    for _ in range(200):
        port = free_port(hosts[0])
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as s:
                        s.bind((host, port))
        except OSError:
            continue
        return port
    raise CannotRun("no free port")


SETTINGS = """name = "{name}"
zone = "{zone}"
region = "r"
platform = "{store}"
listen = "{host}:{listen}"
ready = "{host}:{ready}"
datagrams = "{host}:{datagrams}"
drain = "8s"
cores = 0.19
load_window = "5s"
load_over = 1.1

[core]
repeat_ratio = 0.2
repeat_slack = 56
repeat_window = "10s"

[memory]
limit = "260MiB"

[[zones]]
name = "a"
region = "r"
"""


class Gateway:
    """pimento-gateway as a process, started by the deploy file's command."""

    def __init__(self, case, name, store, host="127.0.0.1", datagrams=None):
        self.case, self.name, self.host = case, name, host
        self.listen, self.ready = free_port(host), free_port(host)
        self.datagrams = datagrams or free_port_both([host])
        self.settings = os.path.join(case.folder, name + ".toml")
        self.log = os.path.join(case.folder, name + ".log")
        self.process = None
        self.ended = []  # exit codes of starts that nobody stopped
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(
                SETTINGS.format(
                    name=name,
                    zone="a",
                    store=store.address,
                    host=host,
                    listen=self.listen,
                    ready=self.ready,
                    datagrams=self.datagrams,
                )
            )

    @property
    def address(self):
        return self.host, self.listen

    def start(self):
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [GATEWAY, "--settings-env", "PIMENTOFORD_BOOT"],
                cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""), "PIMENTOFORD_BOOT": self.settings},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.case.processes.append(self.process)
        self.case.record.add("%s starts" % self.name)

    async def watch(self):
        """Starts the process again when it ends by itself, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            code = self.process.poll()
            if code is not None:
                self.ended.append(code)
                self.case.record.add("%s ended by itself: exit code %d" % (self.name, code))
                await asyncio.sleep(0.5)
                self.start()

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = await Channel((self.host, self.ready)).call("GET", "/ready", {})
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("%s isn't ready" % self.name)


def route(prefix, kind, service, **more):
    r = {
        "name": prefix.strip("/"),
        "host": "h",
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 5000,
        "slo_ms": 800,
        "max_attempts": 2,
        "priority": 1,
    }
    r.update(more)
    return r


def config(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Case:
    """Runs a case: a temporary folder, its record and its processes."""

    def __init__(self, path):
        here = os.path.dirname(os.path.abspath(path))
        self.record = Record(os.path.join(here, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="pf-review-")
        self.processes = []
        self.n_ids = 0

    def new_id(self):
        self.n_ids += 1
        return "%08x%08x" % (os.getpid(), self.n_ids)

    def say(self, text):
        self.record.add(text)
        print(text)

    def end(self):
        for p in self.processes:
            if p.poll() is None:
                p.kill()
            p.wait()
        self.record.close()
        if os.environ.get("PF_KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(path, play, seconds=110):
    """Runs play(case), which returns HELD or BROKEN, and exits."""
    case = Case(path)
    code = NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        if not os.path.exists(os.path.join(ROOT, GATEWAY)):
            raise CannotRun("build by the deploy file first")
        code = asyncio.run(asyncio.wait_for(play(case), seconds))
    except Exception as e:  # whatever it is, it says nothing of the rule
        case.say("could not run: %s" % (str(e) or type(e).__name__))
        code = NOT_RUN
    finally:
        case.say("result: %s" % {HELD: "the rule held", BROKEN: "the rule is broken"}.get(code, "did not run"))
        case.end()
    sys.exit(code)
