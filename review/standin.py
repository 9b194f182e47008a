"""Stand-ins for the platform, the endpoints and the clients of a small deployment.

Everything runs on loopback addresses in one process, except for the balancers,
which are the project's own program, started with the command of the deploy
file. Each machine has an address of its own and the same ports. The stand-ins
follow the pages PROTOCOL.md and DEPLOY.md.
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
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SYN, ACK, FIN, RST = 8, 32, 128, 1
HEADER = struct.Struct("<HIIHHIIIBBI")  # dport src dst sport len seq ack echo flags pad sum
CLIENT_DELAY = 0.001  # one way between clients and balancers
CHECKSUM_KEY = b"known to clients and endpoints only"

# Figures of the small deployment hql-pubnet.
DRAIN_S = 3.0
CONFIG_S = 3.0
CONTACT_S = 4.0
HEARTBEAT_S = 1.2
GRACE_S = 6.0
REUSE_S = 2.0
FLOW_TTL_S = 60
FEED, OFFICE = "quizmaster-live", "results-office"
ZONES = ("leeds-hall-a", "leeds-hall-b", "york-hall", "bradford-hall")


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, who, text):
        self.file.write("%9.4f %-16s %s\n" % (time.monotonic() - self.started, who, text))

    def close(self):
        self.file.close()


def ip_number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """A packet of a flow."""

    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, echo=0, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.echo, self.data = flags, seq, ack, echo, data
        self.sum = None

    def checksum(self):
        fields = (self.dport, self.src, self.dst, self.sport, len(self.data), self.seq, self.ack,
                  self.flags & ~64)
        digest = hashlib.blake2s(repr(fields).encode() + self.data, key=CHECKSUM_KEY[:32], digest_size=4)
        return struct.unpack("<I", digest.digest())[0] | 1

    def encode(self):
        return HEADER.pack(self.dport, ip_number(self.src), ip_number(self.dst), self.sport, len(self.data),
                           self.seq, self.ack, self.echo, self.flags, 0, self.checksum()) + self.data

    @staticmethod
    def decode(raw):
        dport, src, dst, sport, size, seq, ack, echo, flags, _, total = HEADER.unpack(raw[:HEADER.size])
        data = raw[HEADER.size:]
        if size != len(data):
            raise ValueError("length")
        packet = Packet(ip_text(src), sport, ip_text(dst), dport, flags, seq, ack, echo, data)
        packet.sum = total
        return packet

    def is_genuine(self):
        return self.sum == self.checksum()


class Udp(asyncio.DatagramProtocol):
    def __init__(self, on_packet):
        self.on_packet = on_packet

    def connection_made(self, transport):
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)

    def datagram_received(self, data, source):
        self.on_packet(data, source)

    def error_received(self, error):
        pass


async def open_udp(address, on_packet):
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(lambda: Udp(on_packet), local_addr=address)
    return protocol.transport


async def read_request(reader):
    """Returns the target of a GET request, or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    line = head.split(b"\r\n", 1)[0].decode()
    return line.split(" ")[1]


def http_answer(status, body, content_type="application/json"):
    reason = {200: "OK", 404: "Not Found", 410: "Gone", 503: "Service Unavailable"}[status]
    head = "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" % (
        status, reason, content_type, len(body))
    return head.encode() + body


class Store:
    """The platform's metadata store. Each balancer reaches it at an address of its own."""

    ANSWER_S = 0.004

    def __init__(self, world):
        self.world = world
        self.items = {}  # key -> (value or None if removed, revision, created)
        self.revision = 10
        self.changed = asyncio.Event()
        self.watching_since = {}  # balancer -> time at which its pending watch arrived
        self.watches_ended = {}  # balancer -> number of watches that ended without a change

    async def listen(self, balancer):
        address = self.address(balancer)
        server = await asyncio.start_server(lambda r, w: self.serve(balancer, r, w), *address)
        self.world.servers.append(server)

    def address(self, balancer):
        return (self.world.ip(9, 10 + balancer), self.world.ports["store"])

    def put(self, key, value):
        """Writes an item and returns its revision, which is the acknowledgement."""
        old = self.items.get(key)
        self.revision += 1
        created = old[2] if old and old[0] is not None else self.revision
        self.items[key] = (json.dumps(value).encode(), self.revision, created)
        self.notify()
        self.world.record("store", "put %s revision %d %s" % (key, self.revision, json.dumps(value)[:300]))
        return self.revision

    def remove(self, key):
        self.revision += 1
        self.items[key] = (None, self.revision, 0)
        self.notify()
        self.world.record("store", "remove %s revision %d" % (key, self.revision))

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def item_json(self, key):
        value, revision, created = self.items[key]
        if value is None:
            return {"key-file": key, "revision": revision, "is-gone": True}
        return {"key-file": key, "val": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease-id": 0}

    async def serve(self, balancer, reader, writer):
        try:
            while True:
                target = await read_request(reader)
                await asyncio.sleep(self.ANSWER_S)
                path, _, query = target.partition("?")
                fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
                if path == "/thymewall/kv-watch":
                    answer = await self.watch(balancer, fields)
                elif path == "/thymewall/kv-range":
                    answer = self.list(fields)
                else:
                    answer = http_answer(404, b"{}")
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watching_since.pop(balancer, None)
            writer.close()

    def list(self, fields):
        prefix, after = fields.get("path-prefix", ""), fields.get("after", "")
        keys = sorted(k for k in self.items
                      if k.startswith(prefix) and k > after and self.items[k][0] is not None)
        page = keys[:500]
        body = {"items": [self.item_json(k) for k in page], "has-more": len(keys) > len(page),
                "store-revision": self.revision}
        return http_answer(200, json.dumps(body).encode())

    async def watch(self, balancer, fields):
        prefix, after = fields.get("path-prefix", ""), int(fields["after"])
        until = time.monotonic() + int(fields["wait-timeout-ms"]) / 1000
        self.watching_since[balancer] = time.monotonic()
        try:
            while True:
                keys = sorted((k for k in self.items if k.startswith(prefix) and self.items[k][1] > after),
                              key=lambda k: self.items[k][1])
                left = until - time.monotonic()
                if keys or left <= 0:
                    break
                try:
                    await asyncio.wait_for(asyncio.shield(asyncio.ensure_future(self.changed.wait())), left)
                except asyncio.TimeoutError:
                    pass
        finally:
            self.watching_since.pop(balancer, None)
        if not keys:
            self.watches_ended[balancer] = self.watches_ended.get(balancer, 0) + 1
        body = {"events": [self.item_json(k) for k in keys], "store-revision": self.revision}
        return http_answer(200, json.dumps(body).encode())


async def find_reader(world):
    """Returns the balancer that reads the store for all, just after one of its watches has ended."""
    for _ in range(300):
        before = dict(world.store.watches_ended)
        await asyncio.sleep(0.01)
        ended = [b for b, n in world.store.watches_ended.items() if n != before.get(b, 0)]
        if len(ended) == 1 and len(world.store.watching_since) <= 1:
            return world.balancers[ended[0]]
    raise CannotRun("no single reader found")


class Endpoint:
    """One start (incarnation) of an endpoint. Speaks packets over UDP and health checks over TCP."""

    def __init__(self, world, endpoint_id, backend, host, zone, born=None):
        self.world = world
        self.id = endpoint_id
        self.number = int(endpoint_id.rsplit("-", 1)[1], 16)
        self.backend = backend
        self.address = (world.ip(2, host), world.ports["endpoint"])
        self.zone = zone
        self.born = born
        self.state = "ready"
        self.flows = {}  # (client ip, port, route ip, port) -> state
        self.alive = False
        self.openings = []  # (time, balancer ip, flow) of each SYN that it took
        self.draining_acked = None
        self.tasks = set()

    @property
    def name(self):
        return self.id

    async def start(self):
        self.udp = await open_udp(self.address, self.on_datagram)
        self.tcp = await asyncio.start_server(self.serve_health, *self.address)
        self.alive = True
        self.publish()

    def publish(self):
        entry = {"backend": self.backend, "address": "%s:%d" % self.address, "zone": self.zone,
                 "version": "v1", "capacity": 2, "state": self.state, "warmup-left-ms": 0, "call-seq": 1}
        if self.born is not None:
            entry["born"] = self.born
        return self.world.store.put("servers/" + self.id, entry)

    def drain(self):
        self.state = "draining"
        self.publish()
        self.draining_acked = time.monotonic()

    async def end(self):
        """The process ends; what it holds is lost. Its entry stays."""
        self.alive = False
        self.udp.close()
        self.tcp.close()
        for task in self.tasks:
            task.cancel()
        self.world.record(self.name, "ends with %d open flows" % sum(
            1 for f in self.flows.values() if f["open"]))
        await asyncio.sleep(0)

    async def serve_health(self, reader, writer):
        try:
            await read_request(reader)
            writer.write(http_answer(200 if self.state == "ready" else 503, b""))
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def on_datagram(self, raw, source):
        meant = struct.unpack(">Q", raw[:8])[0]
        if meant not in (0, self.number):
            return  # silent: not the endpoint meant
        packet = Packet.decode(raw[8:])
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            return self.on_syn(packet, key, flow, source)
        if flow is None:
            self.world.misplaced(self, packet, key, source)
            return self.send(packet, RST, 0, 0)
        flow["echo"] = packet.echo
        if packet.flags & RST:
            self.flows.pop(key)
            return
        if not flow["open"] and packet.ack == flow["seq"] + 1:
            flow["open"] = True
            flow["balancer"] = source[0]
            self.world.record(self.name, "flow %s open, by balancer %s" % (flow_name(key), source[0]))
        if not flow["open"]:
            return
        if packet.flags & FIN:
            self.flows.pop(key)
            return self.send(packet, ACK, flow["seq"] + 1, packet.seq + 1)
        if packet.data:
            self.on_data(packet, key, flow, source)

    def on_syn(self, packet, key, flow, source):
        if flow is None:
            flow = {"open": False, "seq": random.getrandbits(31), "expected": packet.seq + 1, "sent": 0,
                    "answers": {}, "echo": packet.echo}
            self.flows[key] = flow
            self.openings.append((time.monotonic(), source[0], key))
            self.world.record(self.name, "opening of %s from balancer %s" % (flow_name(key), source[0]))
            self.world.on_opening(self, key, source[0])
        flow["echo"] = packet.echo
        self.send(packet, SYN | ACK, flow["seq"], packet.seq + 1, echo=packet.echo)

    def on_data(self, packet, key, flow, source):
        if packet.seq in flow["answers"]:  # a copy: the answer is sent again once it is there
            if flow["answers"][packet.seq] is not None:
                self.reply(packet, flow, flow["answers"][packet.seq])
            return
        flow["answers"][packet.seq] = None
        task = asyncio.ensure_future(self.work(packet, key, flow, source))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def work(self, packet, key, flow, source):
        request = packet.data.split(b"\r\n", 1)[0].decode()
        request_id, work_ms = request.split(" ")[1:3]
        if request_id not in self.world.sent_requests:
            self.world.break_rule("UNASKED", "%s runs %s, which no client sent" % (self.name, request_id))
        if request_id in self.world.runs:
            self.world.break_rule("Requests", "%s runs a second time, at %s" % (request_id, self.name))
        self.world.runs.add(request_id)
        self.world.record(self.name, "runs %s of %s, from balancer %s" % (request_id, flow_name(key), source[0]))
        await asyncio.sleep(float(work_ms) / 1000)
        if not self.alive or key not in self.flows:
            return
        body = b"ok %s " % request_id.encode() + b"x" * 640
        flow["answers"][packet.seq] = (flow["seq"] + 1 + flow["sent"], body)
        flow["sent"] += len(body)
        self.reply(packet, flow, flow["answers"][packet.seq])
        if self.state == "draining":
            flow["closing"] = True  # closes the flow after its next answer

    def reply(self, packet, flow, answer):
        seq, body = answer
        flags = ACK | (FIN if flow.get("closing") else 0)
        self.send(packet, flags, seq, packet.seq + len(packet.data), body, flow["echo"])

    def send(self, to, flags, seq, ack, data=b"", echo=None):
        packet = Packet(to.dst, to.dport, to.src, to.sport, flags, seq, ack,
                        to.echo if echo is None else echo, data)
        delay = CLIENT_DELAY
        client = (to.src, self.world.ports["packets"])
        raw = packet.encode()
        self.world.loop.call_later(delay, self.send_raw, raw, client)

    def send_raw(self, raw, client):
        if self.alive:
            self.udp.sendto(raw, client)


def flow_name(key):
    return "%s:%d>%s:%d" % key


class Flow:
    """A flow of a client, which carries one request or several."""

    def __init__(self, world, route, requests=1, work_ms=20, pause_s=0.05, label="request", deadline_s=3.0):
        self.world = world
        self.route = route
        self.requests, self.work_ms, self.pause_s = requests, work_ms, pause_s
        self.label, self.deadline_s = label, deadline_s
        self.port = world.next_client_port()
        self.key = (world.client_ip, self.port) + route
        self.seq = random.getrandbits(30)
        self.echo = 0
        self.their = None  # next sequence number that is expected of the endpoint
        self.open = False
        self.closed_by = None
        self.inbox = asyncio.Queue()
        self.answered = []
        self.failed = []
        self.balancers = []
        world.flows[self.port] = self

    def send(self, flags, ack, data=b""):
        packet = Packet(self.key[0], self.port, self.route[0], self.route[1], flags, self.seq, ack, self.echo, data)
        self.world.send_to_system(packet, self)

    async def next_packet(self, timeout):
        return await asyncio.wait_for(self.inbox.get(), timeout)

    async def handshake(self):
        start = time.monotonic()
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, copy)
            until = time.monotonic() + wait
            while time.monotonic() < until:
                try:
                    packet = await self.next_packet(max(0.001, until - time.monotonic()))
                except asyncio.TimeoutError:
                    break
                if packet.flags & RST:
                    self.closed_by = "reset during the handshake"
                    return False
                if packet.flags & SYN and packet.flags & ACK:
                    self.seq += 1
                    self.echo = packet.echo
                    self.their = packet.seq + 1
                    self.their_seq = packet.seq
                    self.open = True
                    self.send(ACK, self.their)
                    return True
        self.closed_by = "no answer to the opening within %.1f s" % (time.monotonic() - start)
        return False

    async def request(self, number):
        request_id = "%s-%d-%d" % (self.label, self.port, number)
        data = ("POST %s %g\r\n\r\n" % (request_id, self.work_ms)).encode().ljust(900, b"b")
        self.world.record("client", "sends %s on %s" % (request_id, flow_name(self.key)))
        self.world.sent_requests.add(request_id)
        wait, deadline = 0.2, time.monotonic() + self.deadline_s
        self.send(ACK, self.their, data)
        resend = time.monotonic() + wait
        while True:
            now = time.monotonic()
            if now >= deadline:
                self.failed.append(request_id)
                self.world.lost_requests.append((time.monotonic(), request_id, self.key))
                self.world.record("client", "%s: no answer until its deadline" % request_id)
                self.closed_by = "deadline"
                return False
            try:
                packet = await self.next_packet(max(0.001, min(resend, deadline) - now))
            except asyncio.TimeoutError:
                if time.monotonic() >= resend:
                    self.send(ACK, self.their, data)
                    wait = min(2 * wait, 1.6)
                    resend = time.monotonic() + wait
                continue
            if packet.flags & RST:
                self.failed.append(request_id)
                self.world.lost_requests.append((time.monotonic(), request_id, self.key))
                self.world.record("client", "%s: cut by a reset" % request_id)
                self.closed_by = "reset"
                return False
            if packet.flags & SYN or not packet.data or packet.seq != self.their:
                continue
            if not packet.data.startswith(b"ok %s " % request_id.encode()):
                self.world.break_rule("MIXED", "client got an answer of another request on %s" % flow_name(self.key))
            self.echo = packet.echo
            self.their += len(packet.data)
            self.seq += len(data)
            self.send(ACK, self.their)
            self.answered.append(request_id)
            self.world.record("client", "%s: answered" % request_id)
            if packet.flags & FIN:
                self.closed_by = "endpoint"
                return False
            return True

    async def run(self):
        try:
            if not await self.handshake():
                self.world.record("client", "flow %s: %s" % (flow_name(self.key), self.closed_by))
                return
            for number in range(self.requests):
                if not await self.request(number):
                    break
                await asyncio.sleep(self.pause_s)
            if self.closed_by in (None, "endpoint"):
                self.send(FIN | ACK, self.their)
        finally:
            self.done = True
            self.world.loop.call_later(2.0, self.world.flows.pop, self.port, None)


class Balancer:
    """A process of the project on an entry host."""

    def __init__(self, world, index, zone):
        self.world, self.index, self.zone = world, index, zone
        self.name = "front-%s-%d" % (zone, index)
        self.ip = world.ip(1, 10 + index)
        self.process = None
        self.started_at = None
        self.disturbed_at = None  # last time at which a disruption struck the machine
        self.in_rotation = False
        self.misses = 0

    def settings(self):
        p, w = self.world.ports, self.world
        fields = {"node-name": self.name, "zone": self.zone,
                  "listen": {"datagram-addr": "%s:%d" % (self.ip, p["packets"]),
                             "ready": "%s:%d" % (self.ip, p["ready"]),
                             "control": "%s:%d" % (self.ip, p["control"])},
                  "platform": {"address": "%s:%d" % w.store.address(self.index)},
                  "bounds": {"config-ms": int(CONFIG_S * 1000), "grace-period-s": int(GRACE_S),
                             "flow-ttl-s": FLOW_TTL_S},
                  "seed-addrs": ["%s:%d" % w.control_address(i) for i in range(min(3, w.count))]}
        with open(os.path.join(ROOT, "deploy/settings.json")) as file:
            settings = json.loads(fill_template(file.read(), fields))
        if w.proxied:  # peers reach this balancer through a proxy of the test
            settings["advertised_control"] = "%s:%d" % w.control_address(self.index)
        return settings

    async def start(self):
        path = os.path.join(self.world.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["balancer"]["run"].split()
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun("%s is not built" % command[0])
        log = open(os.path.join(self.world.folder, self.name + ".log"), "a")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""), "THYMEWALL_SETTINGS": path}
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.started_at = time.monotonic()
        self.world.record(self.name, "started, pid %d" % self.process.pid)

    def signal(self, number):
        self.disturbed_at = time.monotonic()
        self.world.record(self.name, "gets signal %s" % signal.Signals(number).name)
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_end(self, timeout):
        await asyncio.wait_for(self.process.wait(), timeout)
        self.world.record(self.name, "has ended with status %d" % self.process.returncode)

    def in_touch(self):
        """Whether the machine ran without a disruption for the whole contact-ms."""
        now = time.monotonic()
        running = self.process is not None and self.process.returncode is None
        return running and now - self.started_at >= CONTACT_S and (
            self.disturbed_at is None or now - self.disturbed_at >= CONTACT_S)

    def record_log(self, events, field, value):
        """Copies the log lines of some events with a value in a field to the record."""
        with open(os.path.join(self.world.folder, self.name + ".log")) as file:
            for text in file:
                try:
                    line = json.loads(text)
                except ValueError:
                    continue
                if line.get("event") in events and line.get(field) == value:
                    self.world.record(self.name, "logged " + text.strip())


def fill_template(text, fields):
    """Fills a settings template as DEPLOY.md describes (values and sections)."""

    def value(path):
        found = fields
        for part in path.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: m[2] if value(m[1]) else "", text, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\|json\}\}", lambda m: json.dumps(value(m[1])), text)


class ControlProxy:
    """Forwards the links between balancers; a cut holds up the bytes of a machine's links silently."""

    def __init__(self, world, index):
        self.world, self.index = world, index
        self.pipes = []  # (client port, event that is set while bytes may pass)

    async def listen(self):
        server = await asyncio.start_server(self.accept, *self.world.control_address(self.index))
        self.world.servers.append(server)

    async def accept(self, reader, writer):
        port = writer.get_extra_info("peername")[1]
        passing = asyncio.Event()
        pipe = {"port": port, "passing": passing, "from": owner_of_port(self.world, port)}
        self.pipes.append(pipe)
        if not self.world.is_cut(self.index, pipe["from"]):
            passing.set()
        try:
            await passing.wait()
            target = (self.world.balancers[self.index].ip, self.world.ports["control"])
            other_reader, other_writer = await asyncio.open_connection(*target)
        except (OSError, asyncio.CancelledError):
            writer.close()
            self.pipes.remove(pipe)
            return
        try:
            await asyncio.gather(self.pump(reader, other_writer, passing), self.pump(other_reader, writer, passing))
        except asyncio.CancelledError:
            pass  # the test ends
        finally:
            self.pipes.remove(pipe)

    @staticmethod
    async def pump(reader, writer, passing):
        try:
            while True:
                data = await reader.read(65536)
                await passing.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def owner_of_port(world, port):
    """Returns the balancer whose process has a TCP socket at a local port, or None."""
    inodes = set()
    with open("/proc/net/tcp") as file:
        for line in file.readlines()[1:]:
            fields = line.split()
            if int(fields[1].split(":")[1], 16) == port:
                inodes.add("socket:[%s]" % fields[9])
    for balancer in world.balancers:
        if balancer.process is None or balancer.process.returncode is not None:
            continue
        folder = "/proc/%d/fd" % balancer.process.pid
        try:
            for name in os.listdir(folder):
                if os.readlink(os.path.join(folder, name)) in inodes:
                    return balancer.index
        except OSError:
            pass
    return None


class World:
    """The whole deployment of a case."""

    def __init__(self, case_folder, count=8, proxied=False):
        self.case_folder = case_folder
        self.record = Record(case_folder)
        self.count, self.proxied = count, proxied
        self.folder = tempfile.mkdtemp(prefix="thymewall-review-")
        self.servers, self.flows, self.endpoints = [], {}, []
        self.balancers = []
        self.sent_requests, self.runs = set(), set()
        self.broken = []
        self.cut_machines = set()
        self.flow_tasks = set()
        self.last_port = 1024
        self.opening_hooks = []
        self.lost_requests = []
        self.summary = []  # printed at the end

    def ip(self, third, fourth):
        return "127.%d.%d.%d" % (self.net, third, fourth)

    def control_address(self, index):
        return (self.ip(4 if self.proxied else 1, 10 + index), self.ports["control"])

    def choose_addresses(self):
        """Takes a part of the loopback net and ports that are free there."""
        names = ("packets", "ready", "control", "endpoint", "store")
        for _ in range(50):
            self.net = random.randint(20, 250)
            base = random.randint(20000, 30000)
            self.ports = {name: base + i for i, name in enumerate(names)}
            probes = []
            try:
                for name in names:
                    for third in (1, 2, 3, 4, 9):
                        probe = socket.socket()
                        probes.append(probe)
                        probe.bind((self.ip(third, 10), self.ports[name]))
                return
            except OSError:
                continue
            finally:
                for probe in probes:
                    probe.close()
        raise CannotRun("no free ports")

    async def start(self, config, zones=ZONES):
        self.loop = asyncio.get_running_loop()
        self.choose_addresses()
        self.client_ip = self.ip(3, 1)
        self.store = Store(self)
        self.config = config
        self.store.put("op/config", config)
        self.client = await open_udp((self.client_ip, self.ports["packets"]), self.on_client_datagram)
        self.proxies = [ControlProxy(self, i) for i in range(self.count)]
        self.balancers = [Balancer(self, i, zones[i % len(zones)]) for i in range(self.count)]
        for i in range(self.count):
            await self.store.listen(i)
            if self.proxied:
                await self.proxies[i].listen()

    async def start_balancers(self):
        for balancer in self.balancers:
            await balancer.start()
        self.routers = [asyncio.ensure_future(self.probe_readiness(b)) for b in self.balancers]
        until = time.monotonic() + 10
        while not all(b.in_rotation for b in self.balancers):
            if time.monotonic() > until:
                raise CannotRun("balancers are not ready")
            await asyncio.sleep(0.1)

    def publish_config(self, change):
        """Changes the configuration; the store's answer is the acknowledgement."""
        self.config = json.loads(json.dumps(self.config))
        self.config["version"] += random.randint(1, 5)
        change(self.config)
        self.store.put("op/config", self.config)
        return time.monotonic()

    # Routers: hash the four addresses and ports across the daemons that are in (steady).
    def balancer_for(self, key, candidates=None):
        candidates = candidates or [b for b in self.balancers if b.in_rotation] or self.balancers
        text = repr(key).encode()
        return max(candidates, key=lambda b: hashlib.blake2s(text + b.name.encode(), digest_size=8).digest())

    def send_to_system(self, packet, flow):
        raw = packet.encode()
        self.loop.call_later(CLIENT_DELAY, self.route, raw, flow)

    def route(self, raw, flow):
        balancer = self.balancer_for(flow.key)
        if not flow.balancers or flow.balancers[-1] is not balancer:
            flow.balancers.append(balancer)
        self.client.sendto(raw, (balancer.ip, self.ports["packets"]))

    async def probe_readiness(self, balancer):
        """Asks twice a second; a daemon that misses twice is out until it answers 200 again."""
        while True:
            began = time.monotonic()
            ready = False
            try:
                ready = await asyncio.wait_for(self.ask_ready(balancer), 0.4)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
                pass
            balancer.misses = 0 if ready else balancer.misses + 1
            was = balancer.in_rotation
            if ready:
                balancer.in_rotation = True
            elif balancer.misses >= 2:
                balancer.in_rotation = False
            if was != balancer.in_rotation:
                self.record("router", "%s is %s" % (balancer.name, "in" if balancer.in_rotation else "out"))
            await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - began)))

    async def ask_ready(self, balancer):
        reader, writer = await asyncio.open_connection(balancer.ip, self.ports["ready"])
        try:
            writer.write(b"GET /thymewall/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            return line.split()[1] == b"200"
        finally:
            writer.close()

    # Cuts between a machine and all other machines of the system.
    def is_cut(self, one, other):
        return one in self.cut_machines or other in self.cut_machines

    def cut(self, index):
        """Silently cuts a balancer off from all other balancers, not from store, clients or endpoints."""
        self.cut_machines.add(index)
        self.balancers[index].disturbed_at = time.monotonic()
        for proxy in self.proxies:
            for pipe in proxy.pipes:
                if self.is_cut(proxy.index, pipe["from"]):
                    pipe["passing"].clear()
        self.record(self.balancers[index].name, "is cut off from the other balancers")

    def lose_power(self, index):
        """A machine goes dark: its process is gone and its connections say nothing."""
        self.cut(index)
        self.balancers[index].signal(signal.SIGKILL)

    async def regain_power(self, index):
        self.cut_machines.discard(index)
        for proxy in self.proxies:
            for pipe in proxy.pipes:
                if not self.is_cut(proxy.index, pipe["from"]):
                    pipe["passing"].set()
        await self.balancers[index].process.wait()
        await self.balancers[index].start()

    # Clients.
    def next_client_port(self):
        self.last_port += 1
        return self.last_port

    def start_flow(self, route, of=None, **options):
        """Opens a flow; with `of`, from a port whose flows go to that balancer while all are in."""
        while of and self.balancer_for((self.client_ip, self.last_port + 1) + route, self.balancers) is not of:
            self.last_port += 1
        flow = Flow(self, route, **options)
        task = asyncio.ensure_future(flow.run())
        self.flow_tasks.add(task)
        task.add_done_callback(self.flow_tasks.discard)
        return flow

    def on_client_datagram(self, raw, source):
        packet = Packet.decode(raw)
        flow = self.flows.get(packet.dport)
        if packet.flags & RST:
            self.on_reset(packet, flow, source)
        elif not packet.is_genuine():
            self.break_rule("MIXED", "client got a packet that its sender didn't write")
        if flow:
            flow.inbox.put_nowait(packet)

    def on_reset(self, packet, flow, source):
        who = next((b for b in self.balancers if b.ip == source[0]), None)
        endpoint = None if who else next((e for e in self.endpoints if e.address[0] == source[0] and e.alive), None)
        sender = who.name if who else endpoint.name if endpoint else source[0]
        if flow is None:
            return
        self.record("client", "reset from %s on %s" % (sender, flow_name(flow.key)))
        holder = next((e for e in self.endpoints
                       if e.alive and flow.key in e.flows and e.flows[flow.key]["open"]), None)
        if holder and endpoint is not holder and flow.open:
            self.reset_of_open_flow(flow, holder, who, sender)

    def reset_of_open_flow(self, flow, holder, balancer, sender):
        """FLOW (a); a case decides what counts."""

    def misplaced(self, endpoint, packet, key, source):
        """A packet reached an endpoint that doesn't hold its flow."""
        holder = next((e for e in self.endpoints if e is not endpoint and e.alive and key in e.flows
                       and e.flows[key]["open"]), None)
        if holder:
            self.record(endpoint.name, "packet of %s, which is open at %s, from balancer %s" % (
                flow_name(key), holder.name, source[0]))

    def on_opening(self, endpoint, key, balancer_ip):
        for hook in self.opening_hooks:
            hook(endpoint, key, next(b for b in self.balancers if b.ip == balancer_ip))

    def break_rule(self, rule, text):
        self.broken.append((rule, text))
        self.record("RULE", "%s: %s" % (rule, text))

    async def stop(self):
        """Ends the balancers and all tasks, and removes the temporary folder."""
        for balancer in self.balancers:
            if balancer.process and balancer.process.returncode is None:
                balancer.process.kill()
                await balancer.process.wait()
        # More than once: `asyncio.wait_for` may swallow a cancellation that comes with its result.
        for _ in range(6):
            tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
            if not tasks:
                break
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=0.5)
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def base_config():
    """A configuration like that of hql-pubnet: two services, three routes with traffic."""
    routes = [route("r-feed", FEED_ROUTE, "idempotent", 1500, 100, 2, FEED),
              route("r-answer", ANSWER_ROUTE, "non_idempotent", 2000, 120, 1, FEED),
              route("r-sheet", SHEET_ROUTE, "download", 8000, 500, 2, OFFICE)]
    backends = [{"name": n, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": False}
                for n in (FEED, OFFICE)]
    return {"version": 7, "routes": routes, "backends": backends,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}}


def route(name, address, kind, timeout_ms, slo_ms, prio, backend):
    return {"name": name, "hostname": address[0], "path-prefix": "/%d/" % address[1], "type": kind,
            "timeout-ms": timeout_ms, "slo-ms": slo_ms, "prio": prio, "backend": backend, "max-attempts": 2}


FEED_ROUTE, ANSWER_ROUTE, SHEET_ROUTE = ("198.18.0.1", 8443), ("198.18.0.1", 8080), ("198.18.0.2", 8443)


async def start_endpoints(world, feed=14, office=4, **options):
    """Starts the endpoints of both services, spread over the zones."""
    for i in range(feed + office):
        backend = FEED if i < feed else OFFICE
        endpoint = Endpoint(world, "i-%08x" % (0x7f3a9100 + 17 * i), backend, 10 + i, ZONES[i % len(ZONES)], **options)
        world.endpoints.append(endpoint)
        await endpoint.start()


async def traffic(world, per_s):
    """Opens flows at a steady rate until cancelled: long ones of the feed, and answers on a flow each."""
    while True:
        address = random.choice((FEED_ROUTE, ANSWER_ROUTE, ANSWER_ROUTE, SHEET_ROUTE))
        if address == FEED_ROUTE:
            world.start_flow(address, requests=10, work_ms=work_ms(15), pause_s=0.1, label="feed", deadline_s=1.5)
        else:
            world.start_flow(address, work_ms=work_ms(20), label="answer", deadline_s=2.0)
        await asyncio.sleep(1 / per_s)


def work_ms(mean):
    return min(random.expovariate(1 / mean), 6 * mean)


def play(case_folder, case, **options):
    """Runs a case; exits with 1 if its rule was broken, 0 if it held, 2 if it couldn't run."""

    async def main():
        world = World(case_folder, **options)
        playing = asyncio.ensure_future(case(world, os.environ.get("TROUBLE", "1") != "0"))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        failure = None
        try:
            await asyncio.wait_for(playing, 110)
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
            failure = error
        finally:
            await world.stop()
        print("\n".join(world.summary + ["%s broken: %s" % b for b in world.broken[:5]]))
        if failure:
            print("could not run: %r" % failure)
        else:
            print("%d breaks in all; record.txt has the details" % len(world.broken))
        sys.stdout.flush()
        os._exit(2 if failure else 1 if world.broken else 0)

    asyncio.run(main())
