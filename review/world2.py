"""Loopback stand-ins for the second review: the platform's store, endpoints,
the routers and clients, around real processes of the deploy file's program.

Everything runs in one asyncio loop. Each machine of the system has its own
loopback address, and its own address of the store, so that the record shows
which machine called. The stand-ins follow PROTOCOL.md; where it is silent they
behave like a sound platform, endpoint or client.
"""
import asyncio
import base64
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
SYN, ACK, FIN, RST = 8, 32, 128, 1
HEAD = struct.Struct("<HIIHHIIIBB")  # without the sum
ZONES = ["ams-hall-a", "ams-hall-b", "ams-hall-c"]
BOUNDS = {"contact-ms": 4000, "drain-ms": 3000, "grace-period-s": 6,
          "config-ms": 3000, "flow-ms": 2000, "flow-ttl-s": 60}


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def pack(src, sport, dst, dport, flags, echo=0, seq=0, ack=0, data=b""):
    head = HEAD.pack(dport, ip_number(src), ip_number(dst), sport, len(data),
                     seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, 0, 0, 0)
    plain = head[:26] + bytes([flags]) + head[27:] + data
    total = zlib.crc32(b"the platform's key" + plain)
    head = HEAD.pack(dport, ip_number(src), ip_number(dst), sport, len(data),
                     seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, echo, flags, 0)
    return head + struct.pack("<I", total) + data


class Packet:
    def __init__(self, raw):
        (self.dport, src, dst, self.sport, self.size, self.seq, self.ack,
         self.echo, self.flags, _) = HEAD.unpack(raw[:28])
        self.src, self.dst = ip_text(src), ip_text(dst)
        self.sum = struct.unpack("<I", raw[28:32])[0]
        self.data = raw[32:]


def free_ports(hosts, count):
    """Returns ports that are free at all of the hosts, for TCP and UDP."""
    rng = random.Random()
    for _ in range(200):
        base = rng.randrange(20000, 30000)
        held = []
        try:
            for port in range(base, base + count):
                for host in hosts:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        s = socket.socket(socket.AF_INET, kind)
                        held.append(s)
                        s.bind((host, port))
            return list(range(base, base + count))
        except OSError:
            continue
        finally:
            for s in held:
                s.close()
    raise SystemExit(2)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, on_packet):
        self.on_packet = on_packet

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.on_packet(data, addr)


class Record:
    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f}  {text}\n")

    def close(self):
        self.file.close()


class Store:
    """The platform's metadata store, with one listening address a machine."""

    RETENTION_S = 20
    PAGE = 500

    def __init__(self, record):
        self.record = record
        self.items = {}  # key: (value, revision, created)
        self.events = []  # (revision, key or None, time)
        self.revision = 1
        self.changed = asyncio.Event()
        self.connections = []  # _Connection
        self.calls = {}  # machine: calls
        self.malformed = []  # (time, machine, request line)
        self.last_watch = None  # machine whose watch was answered last

    async def listen(self, machine, host, port):
        await asyncio.start_server(
            lambda r, w: self._serve(machine, r, w), host, port)

    def put(self, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (text, self.revision, created)
        self._event(key)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._event(key)

    def _event(self, key):
        self.events.append((self.revision, key, time.monotonic()))
        self.record(f"store: {key} acknowledged at revision {self.revision}")
        self.changed.set()
        self.changed = asyncio.Event()

    def silence(self, machines, idle_only):
        """Open connections go silent for good; new ones work."""
        hit = []
        for c in self.connections:
            if c["machine"] in machines and not c["silent"] and not (
                    idle_only and c["busy"]):
                c["silent"] = True
                hit.append(c["machine"])
        return hit

    def _item(self, key):
        value, revision, created = self.items[key]
        return {"key-file": key, "val": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease-id": 0}

    def _page(self, keys):
        """About 500 items, or 1 MB at most; one item at least."""
        size, page = 0, []
        for key in keys[:self.PAGE]:
            size += 4 * len(self.items[key][0]) // 3 + len(key) + 100
            if page and size > 1 << 20:
                break
            page.append(key)
        return page

    async def _serve(self, machine, reader, writer):
        c = {"machine": machine, "silent": False, "busy": False}
        self.connections.append(c)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if c["silent"]:
                    self.record(f"store: call of {machine} on a silent connection")
                    await reader.read()  # until the peer closes it
                    return
                c["busy"] = True
                self.calls[machine] = self.calls.get(machine, 0) + 1
                line = head.split(b"\r\n")[0].split(b" ")
                if len(line) != 3:  # not a request line of HTTP/1.1
                    self.malformed.append((time.monotonic(), machine, head.split(b"\r\n")[0]))
                    status, body = 400, {}
                else:
                    status, body = await self._answer(machine, line[1].decode())
                if c["silent"]:
                    await reader.read()
                    return
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
                c["busy"] = False
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.remove(c)
            writer.close()

    async def _answer(self, machine, target):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        if url.path == "/thymewall/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("path-prefix", ""))
                          and k > query.get("after", ""))
            page = self._page(keys)
            return 200, {"items": [self._item(k) for k in page],
                         "has-more": len(keys) > len(page),
                         "store-revision": self.revision}
        if url.path == "/thymewall/kv-key":
            key = query.get("key-file", "")
            if key not in self.items:
                return 404, {"store-revision": self.revision}
            return 200, dict(self._item(key), **{"store-revision": self.revision})
        if url.path == "/thymewall/kv-watch":
            self.last_watch = machine
            return await self._watch(query)
        return 404, {}

    async def _watch(self, query):
        after = int(query["after"])
        prefix = query.get("path-prefix", "")
        end = time.monotonic() + int(query["wait-timeout-ms"]) / 1000
        oldest = time.monotonic() - self.RETENTION_S
        if any(r > after and t < oldest for r, _, t in self.events):
            return 410, {}
        while True:
            found = [(r, k) for r, k, _ in self.events
                     if r > after and k.startswith(prefix)]
            left = end - time.monotonic()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        events = []
        for r, k in found:
            if k in self.items and self.items[k][1] == r:
                events.append(self._item(k))
            elif k not in self.items:
                events.append({"key-file": k, "revision": r, "is-gone": True})
        return 200, {"events": events, "store-revision": self.revision}


class Endpoint:
    """An endpoint: one UDP and one TCP socket at its address."""

    def __init__(self, world, number, service, zone, host, port, capacity=3,
                 work_s=0.04, max_conns=2000):
        self.world, self.service, self.zone = world, service, zone
        self.host, self.port = host, port
        self.id = random.getrandbits(32) | 1
        self.name = f"i-{self.id:08x}"
        self.number = number
        self.capacity, self.work_s, self.max_conns = capacity, work_s, max_conns
        self.half = {}  # (client, sport, dst, dport): (own seq, SYN facts)
        self.flows = {}  # key: state
        self.flows_ever = {}  # key: when the flow ended here
        self.busy, self.queue = 0, []
        self.opened = []  # (SYN arrived at, machine, key)
        self.state = "ready"
        self.fields = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        _, self.udp = await loop.create_datagram_endpoint(
            lambda: Datagrams(self.on_datagram), (self.host, self.port))
        await asyncio.start_server(self._health, self.host, self.port)

    async def _health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = 200 if self.state == "ready" else 503
            writer.write(b"HTTP/1.1 %d X\r\nThymewall-Endpoint-Id: %s\r\n"
                         b"Content-Length: 0\r\n\r\n" % (status, self.name.encode()))
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def publish(self):
        entry = {"backend": self.service, "address": f"{self.host}:{self.port}",
                 "zone": self.zone, "version": "v1", "capacity": self.capacity,
                 "state": self.state, "warmup-left-ms": 0, "call-seq": 1}
        self.world.store.put(f"servers/{self.name}", dict(entry, **self.fields))

    def on_datagram(self, raw, addr):
        meant = struct.unpack(">Q", raw[:8])[0]
        if meant not in (0, self.id) or len(raw) < 40:
            return
        p = Packet(raw[8:])
        key = (p.src, p.sport, p.dst, p.dport)
        machine = self.world.machine_at.get(addr[0], addr[0])
        if p.flags & SYN:
            return self._on_syn(p, key, machine)
        flow = self.flows.get(key)
        if flow is None and key in self.half:
            seq, arrived, via = self.half[key]
            if p.flags & ACK and p.ack == seq + 1:
                del self.half[key]
                flow = {"seq": seq + 1, "next": None, "echo": p.echo,
                        "via": via, "answers": {}}
                self.flows[key] = flow
                self.flows_ever[key] = float("inf")
                self.opened.append((arrived, via, key))
                self.world.on_opened(self, key, arrived, via)
        if flow is None:
            if not p.flags & RST:
                self._send(key, RST, 0, p.ack, 0)
                self.world.endpoint_resets.append((time.monotonic(), self, key))
            return
        flow["echo"] = p.echo
        if p.flags & (RST | FIN):
            self.flows_ever[key] = time.monotonic()
        if p.flags & RST:
            del self.flows[key]
            return
        if p.flags & FIN:
            self._send(key, ACK | FIN, flow["echo"], flow["seq"], p.seq + 1)
            del self.flows[key]
            return
        if p.data:
            self._on_request(key, flow, p)

    def _on_syn(self, p, key, machine):
        if key in self.flows or len(self.flows) + len(self.half) >= self.max_conns:
            return
        if key not in self.half:
            self.half[key] = (random.getrandbits(30), time.monotonic(), machine)
        self._send(key, SYN | ACK, p.echo, self.half[key][0], p.seq + 1)

    def _on_request(self, key, flow, p):
        answer = flow["answers"].get(p.seq)
        if answer:  # a retransmission
            return self._send(key, ACK, flow["echo"], *answer)
        if p.seq in flow.setdefault("seen", set()):
            return
        flow["seen"].add(p.seq)
        self.world.on_run(self, key, p)
        self.queue.append((key, p))
        self._work()

    def _work(self):
        while self.queue and self.busy < self.capacity:
            key, p = self.queue.pop(0)
            self.busy += 1
            delay = self.work_s * random.uniform(0.5, 1.5)
            asyncio.get_running_loop().call_later(delay, self._done, key, p)

    def _done(self, key, p):
        self.busy -= 1
        flow = self.flows.get(key)
        if flow is not None:
            head = p.data.split(b"\r\n")[1]
            data = b"HTTP/1.1 200 OK\r\n" + head + b"\r\nContent-Length: 400\r\n\r\n" + b"x" * 400
            answer = (flow["seq"], p.seq + len(p.data), data)
            flow["answers"][p.seq] = answer
            flow["seq"] += len(data)
            self._send(key, ACK, flow["echo"], *answer)
        self._work()

    def _send(self, key, flags, echo, seq, ack, data=b""):
        client, sport, dst, dport = key
        raw = pack(dst, dport, client, sport, flags, echo, seq, ack, data)
        self.udp.transport.sendto(raw, (client, self.world.datagram_port))


class Machine:
    """A machine of the system: its process and what the routers know of it."""

    def __init__(self, world, name, zone, host, store_host):
        self.world, self.name, self.zone, self.host = world, name, zone, host
        self.store_host = store_host
        self.process = None
        self.ready, self.misses = False, 0
        self.folder = os.path.join(world.folder, name)
        os.makedirs(self.folder)

    def write_settings(self):
        w = self.world
        fields = {"node-name": self.name, "zone": self.zone,
                  "listen.datagram-addr": f"{self.host}:{w.datagram_port}",
                  "listen.ready": f"{self.host}:{w.ready_port}",
                  "listen.control": f"{self.host}:{w.control_port}",
                  "platform.address": f"{self.store_host}:{w.store_port}",
                  "seed-addrs": [f"{m.host}:{w.control_port}"
                                 for m in w.machines[:3]]}
        fields.update({"bounds." + k: v for k, v in BOUNDS.items()})
        text = open(os.path.join(ROOT, "deploy/settings.json")).read()
        text = re.sub(r"\{\{#bounds\.warmup-(\w+)\}\}.*?\{\{/bounds\.warmup-\1\}\}",
                      "", text)
        text = re.sub(r"\{\{([\w.-]+)\|json\}\}",
                      lambda g: json.dumps(fields[g.group(1)]), text)
        settings = json.loads(text)
        settings["metrics_port"] = w.metrics_port
        self.settings = os.path.join(self.folder, "settings.json")
        with open(self.settings, "w") as f:
            json.dump(settings, f)

    def start(self):
        self.write_settings()
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        command = deploy["roles"]["balancer"]["run"].split()
        env = {"PATH": os.environ.get("PATH", ""), "THYMEWALL_SETTINGS": self.settings}
        self.log = open(os.path.join(self.folder, "log"), "a")
        self.process = subprocess.Popen(command, cwd=ROOT, env=env,
                                        stdout=self.log, stderr=self.log)
        self.world.record(f"{self.name}: started")

    def signal(self, number):
        self.process.send_signal(number)
        self.world.record(f"{self.name}: {signal.Signals(number).name}")

    async def probe(self):
        """The platform asks for readiness twice a second."""
        while True:
            answer = await self._ask()
            self.misses = 0 if answer else self.misses + 1
            if answer and not self.ready:
                self.world.record(f"routers: {self.name} is in")
            if self.misses == 2 and self.ready:
                self.world.record(f"routers: {self.name} is out")
            self.ready = bool(answer) or (self.ready and self.misses < 2)
            await asyncio.sleep(0.5)

    async def _ask(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.world.ready_port), 0.4)
            writer.write(b"GET /thymewall/readiness HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Attempt:
    """A client's attempt: a flow of its own, for one or for many requests."""

    def __init__(self, world, client, route, requests=1, pause_s=0.0, idle=False):
        self.world, self.client, self.route = world, client, route
        self.sport = world.next_port(client)
        self.seq = random.getrandbits(30)
        self.copies, self.echo, self.open, self.ended = 0, 0, False, None
        self.requests, self.pause_s, self.idle = requests, pause_s, idle
        self.pending, self.answered = None, 0
        self.started = time.monotonic()
        self.opened_at, self.resets = None, []
        self.first_machine = None
        self.key = (client, self.sport) + route
        world.attempts[(client, self.sport)] = self
        self.loop = asyncio.get_running_loop()
        self._syn(0)

    def _transmit(self, flags, seq, ack, data=b""):
        machine = self.world.route(self.client, self.sport, self.route)
        if machine is None:
            return
        if self.first_machine is None:
            self.first_machine = machine.name
        raw = pack(self.client, self.sport, self.route[0], self.route[1], flags,
                   self.echo, seq, ack, data)
        self.world.client_sockets[self.client].transport.sendto(
            raw, (machine.host, self.world.datagram_port))

    def _syn(self, copy):
        if self.open or self.ended:
            return
        if copy == 3:
            return self.end("no SYN+ACK")
        self._transmit(SYN, self.seq, copy)
        wait = (0.2, 0.4, 0.8)[copy]
        self.loop.call_later(wait, self._syn, copy + 1)

    def on_packet(self, p):
        if p.flags & RST:
            # The endpoints sign what they write; a reset with sum 0 is the
            # system's own.
            self.resets.append((time.monotonic(), p.sum == 0, self.open))
            self.world.on_reset(self, p.sum == 0)
            return self.end("reset")
        if self.ended:
            return
        if p.flags & SYN and p.flags & ACK:
            if self.open:
                return
            self.open, self.opened_at = True, time.monotonic()
            self.echo, self.seq = p.echo, self.seq + 1
            self.server_seq = p.seq + 1
            if self.idle:
                self._transmit(ACK, self.seq, self.server_seq)
            else:
                self._request()
            return
        if not self.open:
            return
        if p.flags & FIN:
            return self.end("closed")
        self.echo = p.echo
        if p.data and p.seq == self.server_seq:
            self.server_seq += len(p.data)
            self.pending = None
            self.seq = p.ack
            self.answered += 1
            self.world.on_answer(self, p)
            if self.answered >= self.requests:
                self._transmit(ACK | FIN, self.seq, self.server_seq)
                return self.end("answered")
            self._transmit(ACK, self.seq, self.server_seq)
            self.loop.call_later(self.pause_s, self._request)

    def _request(self):
        if self.ended:
            return
        self.attempt_id = f"{random.getrandbits(64):016x}"
        data = (b"GET /x HTTP/1.1\r\nThymewall-Attempt-Id: "
                + self.attempt_id.encode() + b"\r\n\r\n")
        self.world.on_sent(self, self.attempt_id)
        self.pending = data
        self._send_data(data, 0.2, 0)

    def _send_data(self, data, wait, tries):
        if self.pending is not data or self.ended:
            return
        if tries == 8:
            return self.end("deadline")
        self._transmit(ACK, self.seq, self.server_seq, data)
        self.loop.call_later(wait, self._send_data, data, min(2 * wait, 1.6), tries + 1)

    def end(self, how):
        if self.ended:
            return
        self.ended = how
        self.world.ends[how] = self.world.ends.get(how, 0) + 1


class World:
    def __init__(self, record_path, machines=8):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="thymewall-review-")
        self.machine_hosts = [f"127.61.1.{i + 1}" for i in range(machines)]
        self.store_hosts = [f"127.61.2.{i + 1}" for i in range(machines)]
        self.endpoint_hosts = [f"127.61.3.{i + 1}" for i in range(32)]
        self.client_hosts = {z: f"127.61.4.{i + 1}" for i, z in enumerate(ZONES)}
        hosts = (self.machine_hosts + self.store_hosts + self.endpoint_hosts
                 + list(self.client_hosts.values()))
        (self.datagram_port, self.ready_port, self.control_port, self.store_port,
         self.metrics_port, self.endpoint_port) = free_ports(hosts, 6)
        self.store = Store(self.record)
        self.machines = []
        for i in range(machines):
            self.machines.append(Machine(self, f"front-{i + 1}", ZONES[i % 3],
                                         self.machine_hosts[i], self.store_hosts[i]))
        self.machine_at = {m.host: m.name for m in self.machines}
        self.endpoints, self.attempts, self.ends = [], {}, {}
        self.client_sockets, self.ports = {}, {}
        self.zone_of_client = {h: z for z, h in self.client_hosts.items()}
        self.openings, self.runs, self.own_resets = [], [], []
        self.endpoint_resets = []  # (time, endpoint, key)
        self.sent = self.answers = 0
        self.config_version = 0
        self.tasks = []

    # What the stand-ins have seen; scripts override or read these.
    def on_opened(self, endpoint, key, syn_arrived, via):
        self.openings.append((endpoint, syn_arrived, via, key))

    def on_run(self, endpoint, key, p):
        self.runs.append((endpoint, time.monotonic(), key))

    def on_sent(self, attempt, attempt_id):
        self.sent += 1

    def on_answer(self, attempt, p):
        self.answers += 1

    def on_reset(self, attempt, own):
        if own:
            self.own_resets.append((time.monotonic(), attempt))

    def add_endpoint(self, service, zone, **more):
        n = len(self.endpoints)
        e = Endpoint(self, n, service, zone, self.endpoint_hosts[n],
                     self.endpoint_port, **more)
        self.endpoints.append(e)
        return e

    def put_config(self, routes, services):
        """routes: (address, port, service, type, timeout-ms, slo-ms, prio)"""
        self.config_version += 3
        self.store.put("op/config", {
            "version": self.config_version,
            "routes": [{"name": f"r-{i}", "hostname": a, "path-prefix": f"/{p}/",
                        "type": t, "timeout-ms": o, "slo-ms": s, "prio": r,
                        "backend": b, "max-attempts": 2}
                       for i, (a, p, b, t, o, s, r) in enumerate(routes)],
            "backends": [{"name": n, "health-path": "/health", "max-conns": c,
                          "protocol": "h1", "tls": False} for n, c in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})

    def next_port(self, client):
        port = self.ports.get(client, 1023) + 1
        self.ports[client] = port if port < 65000 else 1024
        return port

    def route(self, client, sport, route):
        """Steady hash over the daemons that are in, as PROTOCOL.md says."""
        zone = self.zone_of_client[client]
        own = [m for m in self.machines if m.zone == zone]
        among = [m for m in own if m.ready]
        if not among:
            among = [m for m in self.machines if m.ready]
        elif 2 * len(among) < len(own):
            among = own
        if not among:
            return None
        flow = f"{client} {sport} {route[0]} {route[1]}"
        return max(among, key=lambda m: hashlib.blake2b(
            (flow + m.name).encode(), digest_size=8).digest())

    async def start(self):
        loop = asyncio.get_running_loop()
        for m in self.machines:
            await self.store.listen(m.name, m.store_host, self.store_port)
        for e in self.endpoints:
            await e.start()
            e.publish()
        for host in self.client_hosts.values():
            _, self.client_sockets[host] = await loop.create_datagram_endpoint(
                lambda h=host: Datagrams(lambda d, a: self._to_client(h, d)),
                (host, self.datagram_port))
        for m in self.machines:
            m.start()
        self.tasks += [asyncio.create_task(m.probe()) for m in self.machines]
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all(m.ready for m in self.machines):
                return
        raise RuntimeError("not all machines are ready")

    def _to_client(self, host, raw):
        p = Packet(raw)
        attempt = self.attempts.get((host, p.dport))
        if attempt and attempt.route == (p.src, p.sport):
            attempt.on_packet(p)

    def load(self, per_s, make):
        """Calls make() about per_s times a second."""
        async def run():
            due = time.monotonic()
            while True:
                make()
                due += random.uniform(0.5, 1.5) / per_s
                await asyncio.sleep(max(0, due - time.monotonic()))
        self.tasks.append(asyncio.create_task(run()))

    def random_client(self):
        return random.choice(list(self.client_hosts.values()))

    def stop(self):
        for t in self.tasks:
            t.cancel()
        for m in self.machines:
            if m.process and m.process.poll() is None:
                m.process.send_signal(signal.SIGCONT)
                m.process.kill()
                m.process.wait()
        if os.environ.get("KEEP"):
            self.record(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def main(scenario, record_path, machines=8, limit_s=110):
    """Runs scenario(world, trouble); exits 0 held, 1 broken, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(record_path, machines)
        try:
            return await asyncio.wait_for(scenario(world, trouble), limit_s)
        finally:
            world.stop()
    try:
        code = asyncio.run(run())
    except Exception as error:  # the case couldn't run
        with open(record_path, "a") as f:
            f.write(f"could not run: {type(error).__name__}: {error}\n")
        print(f"could not run: {type(error).__name__}: {error}")
        code = 2
    raise SystemExit(code)
