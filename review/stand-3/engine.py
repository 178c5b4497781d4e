"""A stand-in of a model worker: orders, reports, streams; and its loader."""

import asyncio
import json
import os
import subprocess

import stand

LOADER = os.path.join("target", "pimento-loader")
TOKENS_PER_MS = 38.0
STEP_S = 0.025
DISK_LOAD_S = 0.52
TOKENS_PER_EVENT = 5

LOADER_SETTINGS = """name = "{name}"
zone = "{zone}"
region = "r"
platform = "{store}"
datagrams = "{host}:{datagrams}"
backend = "{backend}"
"""


def engine_config(names, load_s=1.2, weights_mb=72700, memory_mb=220000):
    return {
        "slots": 64,
        "kv_capacity": 239984,
        "stride": TOKENS_PER_EVENT,
        "weights_mb": memory_mb,
        "adapter_slots": 5,
        "loads_per_s": 2.1,
        "host_mb": 1,
        "disk_mb": 1000000,
        "models": [
            {
                "name": n,
                "weights_mb": weights_mb,
                "load_s": load_s,
                "warm_s": 0.4,
                "disk_s": DISK_LOAD_S,
                "adapters": 0,
                "adapter_mb": 66,
            }
            for n in names
        ],
    }


def start_loader(case, name, store, host, datagrams, backend):
    """Starts pimento-loader by the deploy file's command."""
    path = os.path.join(case.folder, name + ".toml")
    with open(path, "w", encoding="utf-8") as f:
        f.write(
            LOADER_SETTINGS.format(
                name=name, zone="a", store=store.address, host=host, datagrams=datagrams, backend=backend
            )
        )
    with open(os.path.join(case.folder, name + ".log"), "a", encoding="utf-8") as log:
        p = subprocess.Popen(
            [LOADER, "--settings-env", "PIMENTOFORD_BOOT"],
            cwd=stand.ROOT,
            env={"PATH": os.environ.get("PATH", ""), "PIMENTOFORD_BOOT": path},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
    case.processes.append(p)


class Engine(stand.Worker):
    """Prefills prompts one after the other; all requests get events at a time."""

    def __init__(self, *args, load_s=1.2, **more):
        super().__init__(*args, **more)
        self.load_s = load_s
        self.n_starts = 0
        self.name = self.instance
        self.on_disk = []  # a restart preserves the disk
        self.fresh_state()

    def fresh_state(self):
        self.models, self.seq, self.busy = [], 0, False
        self.running = self.queued = 0
        self.kept = set()  # chains of prompt parts
        self.prefill = asyncio.Lock()

    async def start(self, host="127.0.0.1", port=0, announce=True, models=()):
        self.n_starts += 1
        self.instance = "%s-%d" % (self.name, self.n_starts)
        self.fresh_state()
        self.models = list(models)
        self.on_disk += [m for m in models if m not in self.on_disk]
        await super().start(host, port, announce)

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
                "slots": 64,
                "state": state,
                "cold_left_ms": 0,
                "born": self.born,
                "stage": "unified",
                "models": self.model_list(),
                "at_hand": {"in_memory": [], "on_disk": self.on_disk},
                "seq": self.beats,
            },
        )

    def model_list(self):
        return [{"name": m, "version": 1, "adapters": []} for m in self.models]

    def report(self):
        return {
            "stage": "unified",
            "models": self.model_list(),
            "busy": self.busy,
            "seq": self.seq,
            "queued": self.queued,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 239984,
            "handles": 0,
            "at_hand": {"in_memory": [], "on_disk": self.on_disk},
            "born": self.born,
        }

    async def load(self, model):
        start = self.n_starts
        await asyncio.sleep(DISK_LOAD_S if model in self.on_disk else self.load_s)
        if start == self.n_starts:
            self.models.append(model)
            if model not in self.on_disk:
                self.on_disk.append(model)
            self.busy = False
            self.record.add("worker %s has loaded %s" % (self.instance, model))
            self.beat()

    def order(self, body):
        o = json.loads(body)
        if self.busy or o.get("expected", self.seq) != self.seq:
            return 409
        if (o["op"] == "load") == (o["model"] in self.models):
            return 200
        self.seq += 1
        if o["op"] == "load":
            self.busy = True
            asyncio.ensure_future(self.load(o["model"]))
        else:
            self.models.remove(o["model"])
            self.beat()
        return 202

    async def serve(self, reader, writer):
        line, headers = await stand.read_head(reader)
        body = await stand.read_body(reader, headers)
        request = stand.Request(line, headers, body)
        if headers.get("expect-instance", self.instance) != self.instance:
            text = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
            writer.write((text % self.instance).encode())
            return True
        if request.target == "/report":
            text = json.dumps(self.report()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
            return True
        if request.target == "/order":
            status = self.order(body)
            self.record.add("worker %s gets order %s: %d" % (self.instance, body.decode(), status))
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
            return True
        return await self.answer(request, writer)

    def begins(self, request):
        """Called when the worker begins to write an answer."""

    def fresh_tokens(self, request):
        """Tokens that it must read; keeps the parts."""
        chain, fresh = request.headers.get("model", ""), 0
        for part in request.headers.get("prompt-prefix", "").split(","):
            name, _, tokens = part.partition(":")
            chain += "/" + name
            if chain not in self.kept:
                fresh += int(tokens or 0)
            self.kept.add(chain)
        return fresh

    async def answer(self, request, writer):
        start = self.n_starts
        if request.headers.get("model", "") not in self.models:
            writer.write(self.whole(request, "421 Misdirected Request", b"", "Not-Run: 1\r\n"))
            return True
        self.record.add("worker %s gets %s" % (self.instance, request.id))
        self.queued += 1
        async with self.prefill:
            await asyncio.sleep(self.fresh_tokens(request) / TOKENS_PER_MS / 1000)
        if start != self.n_starts or writer.transport.is_closing():
            if start == self.n_starts:
                self.queued -= 1
            return False
        self.queued -= 1
        self.running += 1
        self.record.add("worker %s runs %s" % (self.instance, request.id))
        self.begins(request)
        if start != self.n_starts:
            return False
        n = int(request.headers.get("token-usage", "0,50").split(",")[1]) // TOKENS_PER_EVENT
        at = int(request.headers.get("last-event-id", "-1")) + 1
        more = "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(self.head(request, "200 OK", more))
        try:
            while at < n:
                event = b"id: %d\ndata: x\n\n" % at
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                at += 1
                await asyncio.sleep(STEP_S)
                if start != self.n_starts or writer.transport.is_closing():
                    return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            if start == self.n_starts:
                self.running -= 1
