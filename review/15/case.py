"""An adapter order in doubt, and a restart of the worker and its loader: too many adapters."""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-3"))
import engine  # noqa: E402
import stand  # noqa: E402

MODEL = "m0"
SLOTS = 5  # adapter_slots
ADAPTER_S = 0.1  # fetched from the store
HELD_BEFORE_S = 0.01
ADAPTERS = 8  # of the model
GATEWAYS = 3
OTHERS = 3  # further workers; each holds three other models, which is all that fits
LATE_COUNT = 6  # the order that names so many accepted ones gets no answer
LATE_S = 11.0
KILL_S = 1.5  # after that order
DOWN_S = 2.0
SIXTH_AT = 6  # seconds from the start until a sixth adapter is asked for
SECONDS = 30


class Worker(engine.Engine):
    """Keeps its id over restarts, holds adapters, and carries out one order late."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.late_at = None  # when the late order was sent
        self.too_much = []
        self.ended = asyncio.Event()

    def fresh_state(self):
        super().fresh_state()
        self.adapters, self.coming, self.users = [], [], {}
        self.dropped = set()
        self.held_before = set()

    async def start(self, host="127.0.0.1", port=0, announce=True, models=()):
        self.n_starts += 1
        self.fresh_state()
        self.models = list(models)
        self.on_disk += [m for m in models if m not in self.on_disk]
        await stand.Worker.start(self, host, port, announce)

    def model_list(self):
        return [{"name": m, "version": 1, "adapters": list(self.adapters)} for m in self.models]

    def report(self):
        r = super().report()
        r["coming"] = ["%s/%s@1" % (MODEL, a) for a in self.coming]
        return r

    def check_slots(self, body):
        n = len(self.adapters) + len(self.coming)
        if n <= SLOTS:
            return
        self.too_much.append(body)
        text = "worker %s has %d adapter slots, holds %s and is to load %s: it crashes with %d requests"
        at_work = self.running + self.queued
        self.record.add(text % (self.instance, SLOTS, self.adapters, self.coming[-1], at_work))
        self.end_process()
        self.ended.set()

    async def fetch(self, adapter):
        start = self.n_starts
        await asyncio.sleep(HELD_BEFORE_S if adapter in self.held_before else ADAPTER_S)
        if start == self.n_starts:
            self.coming.remove(adapter)
            self.adapters.append(adapter)
            self.held_before.add(adapter)

    def drop_unused(self):
        for a in list(self.dropped):
            if not self.users.get(a):
                self.dropped.discard(a)
                self.adapters.remove(a)

    def order(self, body):
        o = json.loads(body)
        adapter = o.get("adapter")
        if not adapter:
            return super().order(body)
        if self.busy or o.get("expected", self.seq) != self.seq:
            return 409
        if o["model"] not in self.models:
            return 400
        held = adapter in self.adapters or adapter in self.coming
        if o["op"] == "load":
            if held:
                return 200
            self.seq += 1
            self.coming.append(adapter)
            asyncio.ensure_future(self.fetch(adapter))
            self.check_slots(body.decode())
            return 202
        if not held or adapter in self.dropped:
            return 200
        self.seq += 1
        self.dropped.add(adapter)
        self.drop_unused()
        return 202 if adapter in self.dropped else 200

    def is_late(self, body):
        o = json.loads(body)
        return (
            stand.TROUBLE
            and self.late_at is None
            and o["op"] == "load"
            and o.get("adapter")
            and o.get("expected") == LATE_COUNT
        )

    async def carry_out_late(self, instance, body):
        await asyncio.sleep(LATE_S)
        if instance != self.instance or self.server is None:
            return
        status = self.order(body)
        self.record.add("worker %s carries out the late order %s: %d" % (self.instance, body.decode(), status))

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
            if self.is_late(body):
                self.late_at = self.record.now()
                self.record.add("worker %s gets order %s: no answer" % (self.instance, body.decode()))
                asyncio.ensure_future(self.carry_out_late(self.instance, body))
                await asyncio.sleep(LATE_S)
                return False
            status = self.order(body)
            if json.loads(body).get("expected") == LATE_COUNT and self.late_at is None:
                self.late_at = self.record.now()  # without the trouble
            self.record.add("worker %s gets order %s: %d" % (self.instance, body.decode(), status))
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
            return True
        return await self.answer(request, writer)

    async def answer(self, request, writer):
        model, _, adapter = request.headers.get("model", "").partition("/")
        if model not in self.models or (adapter and (adapter not in self.adapters or adapter in self.dropped)):
            writer.write(self.whole(request, "421 Misdirected Request", b"", "Not-Run: 1\r\n"))
            return True
        start, users = self.n_starts, self.users
        users[adapter] = users.get(adapter, 0) + 1
        request.headers["model"] = model
        try:
            return await super().answer(request, writer)
        finally:
            users[adapter] -= 1
            if start == self.n_starts:
                self.drop_unused()

    def end_process(self):
        self.record.add("worker %s ends" % self.instance)
        self.n_starts += 1
        self.close()


async def client(case, gateways, worker, models, begin, end, seen):
    """Asks for the models in turn, at the gateways in turn."""
    n = 0
    while case.record.now() < begin:
        await asyncio.sleep(0.05)
    while not end() and case.record.now() < SECONDS and not worker.ended.is_set():
        model, gateway = models[n % len(models)], gateways[n % len(gateways)]
        n += 1
        rid = case.new_id()
        headers = {
            "Attempt-Id": rid,
            "Model": model,
            "Token-Usage": "826,50",
            "Prompt-Prefix": "a11:198,%s:628" % rid,
            "Deadline-Ms": "3000",
        }
        channel = stand.Channel(gateway.address)
        case.record.add("client sends %s for %s" % (rid, model))
        answer = await channel.call("POST", "/draft/" + rid, headers, b"prompt")
        channel.close()
        case.record.add("client gets %s for %s" % (answer.status or "no answer", rid))
        seen.append(answer.status)
        await asyncio.sleep(0.15)


async def restart(case, worker, loader, start_loader):
    case.record.add("the worker and the loader beside it are killed")
    worker.end_process()
    loader.send_signal(signal.SIGKILL)
    host, port = worker.host, worker.port
    await asyncio.sleep(DOWN_S)
    await worker.start(host, port)
    start_loader()


async def play(case):
    store = stand.Store(case.record)
    await store.listen()
    side = ["127.0.0.%d" % (20 + i) for i in range(1 + OTHERS)]
    fronts = ["127.0.0.%d" % (2 + i) for i in range(GATEWAYS)]
    port = stand.free_port_both(fronts + side)
    worker = Worker(case.record, store, "lm", "e0")
    await worker.start(side[0], models=[MODEL])

    def start_loader():
        engine.start_loader(case, "side-a-0", store, side[0], port, worker.address)

    start_loader()
    loader = case.processes[-1]
    others = ["m%d" % (i + 1) for i in range(3 * OTHERS)]
    for i in range(OTHERS):
        e = engine.Engine(case.record, store, "lm", "e%d" % (i + 1))
        await e.start(side[i + 1], models=others[3 * i : 3 * i + 3])
        engine.start_loader(case, "side-a-%d" % (i + 1), store, side[i + 1], port, e.address)
    service = {"name": "lm", "max_conns": 370, "engine": engine.engine_config([MODEL] + others)}
    service["engine"]["adapter_slots"] = SLOTS
    service["engine"]["models"][0]["adapters"] = ADAPTERS
    route = stand.route("/draft/", "stream", "lm", resumable=True, gap_aim_ms=400, timeout_ms=5000, sticky=True)
    store.put_json("op", "config", stand.config(1, [route], [service]))
    gateways = [stand.Gateway(case, "front-a-%d" % i, store, host, port) for i, host in enumerate(fronts)]
    for g in gateways:
        g.start()
    for g in gateways:
        await g.wait_ready()
    seen, killed = [], []
    adapters = ["%s/a%d" % (MODEL, i + 1) for i in range(SLOTS + 1)]
    clients = [client(case, gateways, worker, [a], 0, lambda: False, seen) for a in adapters[:SLOTS]]
    clients.append(client(case, gateways, worker, adapters[SLOTS:], SIXTH_AT, lambda: bool(killed), seen))
    for i in range(OTHERS):
        clients.append(client(case, gateways, worker, others[3 * i : 3 * i + 3], 0, lambda: False, seen))
    clients = asyncio.gather(*clients)
    while worker.late_at is None:
        if case.record.now() > SECONDS - 14:
            raise stand.CannotRun("no order that names %d accepted ones" % LATE_COUNT)
        await asyncio.sleep(0.02)
    await asyncio.sleep(KILL_S)
    killed.append(True)
    await restart(case, worker, loader, start_loader)
    await clients
    n = len(worker.too_much)
    case.say("requests answered 200: %d of %d" % (sum(s == 200 for s in seen), len(seen)))
    case.say("LIMIT: %d orders to load more than a worker's %d adapter slots hold; none is allowed" % (n, SLOTS))
    return stand.BROKEN if n else stand.HELD


stand.run(__file__, play)
