"""The last tenant is taken away: requests with its key run, and the key with them."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-3"))
import stand  # noqa: E402

CONFIG_S = 4.0  # config_ms of the site
SECONDS = 8
KEY = "k-5f21"
STRANGER = "k-0000"  # no config ever held it


class Booking(stand.Worker):
    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.ran = []  # (time, id, Authorization, Tenant)

    async def answer(self, request, writer):
        auth = request.headers.get("authorization", "")
        tenant = request.headers.get("tenant", "")
        self.ran.append((self.record.now(), request.id, auth, tenant))
        self.record.add("worker %s runs %s, Tenant %r, Authorization %r" % (self.instance, request.id, tenant, auth))
        await asyncio.sleep(0.015)
        writer.write(self.whole(request, "200 OK", b"booked"))
        await writer.drain()
        return True


async def client(case, gateway, key, until, seen):
    channel = stand.Channel(gateway.address)
    while case.record.now() < until:
        rid = case.new_id()
        headers = {"Attempt-Id": rid, "Deadline-Ms": "800", "Authorization": "Token " + key}
        at = case.record.now()
        case.record.add("client sends %s with key %s" % (rid, key))
        answer = await channel.call("POST", "/book/" + rid, headers, b"{}")
        case.record.add("client gets %s for %s" % (answer.status or "no answer", rid))
        seen[rid] = (at, key, answer.status)
        await asyncio.sleep(0.1)


async def play(case):
    store = stand.Store(case.record)
    await store.listen()
    worker = Booking(case.record, store, "app", "i-0")
    await worker.start()

    def write_config(version, tenants):
        c = stand.config(version, [stand.route("/book/", "unsafe", "app")], [{"name": "app", "max_conns": 210}])
        c["tenants"] = tenants
        store.put_json("op", "config", c)
        case.record.add("operator writes version %d with tenants %s" % (version, tenants))
        return case.record.now()

    write_config(1, [{"name": "shop", "api_keys": [KEY]}])
    gateway = stand.Gateway(case, "front-a-1", store)
    gateway.start()
    await gateway.wait_ready()
    seen = {}
    until = case.record.now() + SECONDS
    clients = asyncio.gather(*(client(case, gateway, k, until, seen) for k in (KEY, STRANGER)))
    await asyncio.sleep(2)
    # The key goes; with the disruption, the tenant goes with it.
    at = write_config(2, [] if stand.TROUBLE else [{"name": "shop", "api_keys": []}])
    await clients
    dropped = [r for r in worker.ran if seen[r[1]][1] == KEY and seen[r[1]][0] > at + CONFIG_S]
    strange = [r for r in worker.ran if seen[r[1]][1] == STRANGER]
    shown = [r for r in worker.ran if r[2]]
    case.say("CONFIG: %d requests with a key that was taken away ran later than %g s after that" % (len(dropped), CONFIG_S))
    case.say("ROUTE: %d requests ran whose key no config ever held" % len(strange))
    case.say("UNASKED: the worker was shown the key of %d requests" % len(shown))
    return stand.BROKEN if strange else stand.HELD


stand.run(__file__, play)
