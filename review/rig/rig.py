"""Stand-ins for the peers of one controller, and the controller itself as a separate process.

Everything listens on loopback addresses and runs on the real clock. The stand-ins follow the users' pages:
clients speak framed strict binary Thrift, engines speak RESP arrays, the change log speaks lines.
"""
import asyncio
import json
import os
import re
import signal
import socket
import struct
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """The record of one play: what was sent, answered and run, in seconds since the start."""

    def __init__(self, path):
        self.start = time.time()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.time() - self.start

    def __call__(self, text):
        self.file.write("%9.3f  %s\n" % (self.now(), text))
        self.file.flush()

    def close(self):
        self.file.close()


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


# ---- Change log -----------------------------------------------------------------------------------------


def server_entry(ident, address, state="active", zone="hall", kind="std-8", started_ms=0, cell=0):
    return {"id": ident, "addr": address, "zone": zone, "kind": kind, "cell": cell, "state": state,
            "weight": 1, "started_ms": started_ms}


async def drain(reader):
    """Reads to the end of the connection."""
    try:
        await reader.read()
    except ConnectionError:
        pass


class ChangeLog:
    """Answers `since N` with all later events, sends new events at once and the last number each second."""

    def __init__(self, record, name="change log"):
        self.record = record
        self.name = name
        self.events = []
        self.sessions = []  # [writer, number of events already sent]
        self.accept_mode = lambda count: "serve"  # or "silent": reads, and sends nothing at all
        self.count = 0
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def add(self, servers, full=False):
        number = len(self.events) + 1
        self.events.append({"seq": number, "fleet": {"version": number, "full": full, "servers": servers}})
        self.record("%s has event %d: %s" % (self.name, number,
                                             ", ".join(s["id"] + " " + s["state"] for s in servers)))
        for session in self.sessions:
            self.flush(session)

    def known(self):
        return {"seq": len(self.events), "results": list(self.events)}

    def flush(self, session):
        writer, sent = session
        for event in self.events[sent:]:
            writer.write((json.dumps(event, separators=(",", ":")) + "\n").encode())
        session[1] = len(self.events)

    def stop_open_sessions(self):
        """The open connections stay open and say nothing more."""
        self.record("%s: %d open connections fall silent" % (self.name, len(self.sessions)))
        self.sessions.clear()

    async def serve(self, reader, writer):
        self.count += 1
        number = self.count
        session = None
        try:
            mode = self.accept_mode(number)
            line = await reader.readline()
            self.record("%s: connection %d asks '%s' (%s)" % (self.name, number, line.decode().strip(), mode))
            if not line.startswith(b"since "):
                return
            if mode == "silent":
                await drain(reader)
                return
            session = [writer, int(line.split()[1])]
            self.sessions.append(session)
            self.flush(session)
            end = asyncio.ensure_future(drain(reader))
            while not end.done():
                if session in self.sessions:
                    writer.write(b"%d\n" % len(self.events))
                await asyncio.wait([end], timeout=1.0)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if session in self.sessions:
                self.sessions.remove(session)
            writer.close()


# ---- Engines --------------------------------------------------------------------------------------------


class Engine:
    """Runs every statement for the time in its comment, `/* ms=200 */`, and answers one page with its id."""

    def __init__(self, record, name):
        self.record = record
        self.name = name
        self.address = None
        self.server = None
        self.asks = []  # (time, id): when the ASK had come whole
        self.runs = {}  # id -> number of statements that ran to their end
        self.on_ask = None  # (engine, connection, id, statement) -> True if it has handled the ASK
        self.writers = set()

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % (host, self.server.sockets[0].getsockname()[1])
        return self

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        running = {}
        try:
            while True:
                words = await self.read_array(reader)
                if words is None:
                    return
                command, ident = words[0], words[1].decode()
                if command == b"ASK":
                    self.asks.append((time.time(), ident))
                    self.record("engine %s gets ASK %s %s" % (self.name, ident, words[2].decode()))
                    if self.on_ask and self.on_ask(self, writer, ident, words[3].decode()):
                        continue
                    running[ident] = asyncio.ensure_future(self.run(writer, ident, words[3].decode()))
                elif command in (b"QUIT", b"FREE"):
                    self.record("engine %s gets %s %s" % (self.name, command.decode(), ident))
                    if ident in running:
                        running.pop(ident).cancel()
                elif command == b"NOOP":
                    self.answer(writer, words[1], b"alive", b"-", b"")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for task in running.values():
                task.cancel()
            self.writers.discard(writer)
            writer.close()

    async def run(self, writer, ident, statement):
        found = re.search(r"ms=(\d+)", statement)
        await asyncio.sleep(int(found.group(1)) / 1000 if found else 0.05)
        self.runs[ident] = self.runs.get(ident, 0) + 1
        self.record("engine %s has run %s" % (self.name, ident))
        self.answer(writer, ident.encode(), b"200", b"batches=1", b"id\t%s\t%s\n" % (ident.encode(), self.name.encode()))

    @staticmethod
    def answer(writer, *words):
        if writer.is_closing():
            return
        writer.write(b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words))

    @staticmethod
    async def read_array(reader):
        line = await reader.readline()
        if not line:
            return None
        words = []
        for _ in range(int(line[1:])):
            size = int((await reader.readline())[1:])
            words.append((await reader.readexactly(size + 2))[:size])
        return words


# ---- Clients --------------------------------------------------------------------------------------------


def thrift_string(text):
    data = text if isinstance(text, bytes) else text.encode()
    return struct.pack(">I", len(data)) + data


def thrift_frame(method, kind, sequence, body):
    payload = struct.pack(">I", 0x80010000 | kind) + thrift_string(method) + struct.pack(">i", sequence) + body
    return struct.pack(">I", len(payload)) + payload


def submit_frame(sequence, fields, statement):
    body = b"\x0d\x00\x01\x0b\x0b" + struct.pack(">I", len(fields))
    for name, value in fields.items():
        body += thrift_string(name) + thrift_string(value)
    return thrift_frame("submit", 1, sequence, body + b"\x0b\x00\x02" + thrift_string(statement) + b"\x00")


def revoke_frame(sequence, target):
    return thrift_frame("revoke", 4, sequence, b"\x08\x00\x01" + struct.pack(">i", target) + b"\x00")


def heartbeat_frame(sequence):
    return thrift_frame("heartbeat", 1, sequence, b"\x02\x00\x01\x01\x00")


def parse_reply(payload):
    """Returns (method, sequence, kind, body); kind is 'served', 'bad', 'refused', 'failed' or 'exception'."""
    kind = payload[3]
    size = struct.unpack(">I", payload[4:8])[0]
    method = payload[8:8 + size].decode()
    sequence = struct.unpack(">i", payload[8 + size:12 + size])[0]
    rest = payload[12 + size:]
    if kind == 3:
        return method, sequence, "exception", rest
    result = struct.unpack(">H", rest[1:3])[0]
    if result == 1:
        return method, sequence, "refused", b""
    if result == 2:
        return method, sequence, "failed", b""
    body, good, at = b"", False, 3
    while rest[at]:
        field, ident = rest[at], struct.unpack(">H", rest[at + 1:at + 3])[0]
        at += 3
        if field == 11:
            length = struct.unpack(">I", rest[at:at + 4])[0]
            if ident == 1:
                body = rest[at + 4:at + 4 + length]
            at += 4 + length
        elif field == 2:
            good = rest[at] != 0
            at += 1
        elif field == 13:
            count = struct.unpack(">I", rest[at + 2:at + 6])[0]
            at += 6
            for _ in range(2 * count):
                at += 4 + struct.unpack(">I", rest[at:at + 4])[0]
        else:
            raise ValueError("unexpected field")
    return method, sequence, "served" if good else "bad", body


class Client:
    """One connection of a client. `answers` maps a sequence number to [(time, kind, body), ...]."""

    def __init__(self, record, name):
        self.record = record
        self.name = name
        self.sequence = 0
        self.answers = {}
        self.sent = {}  # sequence -> (time of the last byte, id)
        self.closed_at = None
        self.changed = asyncio.Event()

    async def connect(self, address):
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        try:
            while True:
                size = struct.unpack(">I", await self.reader.readexactly(4))[0]
                method, sequence, kind, body = parse_reply(await self.reader.readexactly(size))
                self.answers.setdefault(sequence, []).append((time.time(), kind, body))
                self.record("client %s: answer to %s %d: %s" % (self.name, method, sequence, kind))
                self.changed.set()
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.closed_at = time.time()
            self.record("client %s: connection ended by the controller (%s)" % (self.name, type(error).__name__))
            self.changed.set()
        except asyncio.CancelledError:
            pass

    def frame(self, service, statement, allow_ms, effort=None, project="acme", ident=None):
        self.sequence += 1
        ident = ident or os.urandom(8).hex()
        fields = {"service": service, "ref": ident, "allow": str(allow_ms), "project": project}
        if effort is not None:
            fields["effort"] = str(effort)
            fields["ram"] = "16"
        return self.sequence, ident, submit_frame(self.sequence, fields, statement)

    def submit(self, *arguments, **named):
        sequence, ident, frame = self.frame(*arguments, **named)
        self.writer.write(frame)
        self.note_sent(sequence, ident)
        return sequence, ident

    def note_sent(self, sequence, ident):
        self.sent[sequence] = (time.time(), ident)
        self.record("client %s: sent request %d, id %s" % (self.name, sequence, ident))

    def revoke(self, target):
        self.sequence += 1
        self.writer.write(revoke_frame(self.sequence, target))
        self.record("client %s: revoked request %d" % (self.name, target))

    async def heartbeat(self, timeout=1.0):
        self.sequence += 1
        self.writer.write(heartbeat_frame(self.sequence))
        answer = await self.wait_answer(self.sequence, timeout)
        return answer is not None and answer[1] == "served"

    async def wait_answer(self, sequence, timeout):
        end = time.time() + timeout
        while sequence not in self.answers and self.closed_at is None and time.time() < end:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.time()))
            except asyncio.TimeoutError:
                break
        return self.answers[sequence][0] if sequence in self.answers else None

    def close(self):
        self.task.cancel()
        self.writer.close()


# ---- Controller -----------------------------------------------------------------------------------------


def request_class(name, on_time_us, give_up_us, worth=1.0, effect="retryable", window_us=5000000,
                  late_worth=0.1, **more):
    return {"name": name, "idempotency": effect, "group": "all", "windowUs": window_us, "onTimeUs": on_time_us,
            "aimStretch": 2.0, "giveUpUs": give_up_us, "lateWorth": late_worth, "importance": worth,
            "stream": False, **more}


def make_settings(classes, threads, **changes):
    """Settings of a small deployment with one zone and engines of 8 cores."""
    settings = {
        "balancers": 1, "zone": 0, "zones": ["hall"], "machineTypes": ["std-8"],
        "familyInfo": {"kindCores": [8], "memoryByKindMb": [16384.0], "widthByClass": threads,
                       "loads": [False] * len(threads), "memoryHeeded": True, "lanesCount": True,
                       "progressPaceUs": 0},
        "profiles": classes,
        "tenants": [{"name": "acme", "quotaPerS": 200.0, "share": 1.0}],
        "limits": {"cancelling": True, "parallelTries": True, "probes": False, "peers": False,
                   "retryAfter": True, "maxRetryAfterUs": 2000000, "mostTries": 4, "maxOpen": 40000,
                   "streamsPerConn": 32, "dialTimeoutUs": 250000, "idleCloseUs": 30000000},
        "registryMode": "pushed", "reporting": {"source": "off", "names": []},
        "rules": {"answerSlackUs": 20000, "coldUs": 14000000, "drainGraceUs": 1000000, "fallMultiple": 3.0,
                  "fallUs": 3000000, "mustAskInUs": 10000000, "startCapacity": 0.3},
        "prices": {"crossZone": 0.0}, "tickUs": 5000}
    for key, value in changes.items():
        if isinstance(value, dict) and isinstance(settings.get(key), dict):
            settings[key].update(value)
        else:
            settings[key] = value
    return settings


def deploy_run_line():
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        return re.search(r'^run\s*=\s*"([^"]*)"', file.read(), re.M).group(1)


class Controller:
    """A controller, started by the line `run` of the deploy file."""

    def __init__(self, record, folder, name="n1", memory_mb=64, sockets=256):
        self.record = record
        self.folder = folder
        self.name = name
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.address = "127.0.0.1:%d" % free_port()
        self.config_path = os.path.join(folder, name + ".json")
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None

    def write_config(self, change_log, settings, known):
        config = {"name": self.name, "listen": self.address, "seed": os.urandom(8).hex(), "limits": self.limits,
                  "changelog": change_log, "known": known, "settings": settings}
        with open(self.config_path + ".new", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(self.config_path + ".new", self.config_path)

    async def start(self):
        if not os.path.exists(os.path.join(ROOT, "build", "paddletrack")):
            raise CannotRun("build/paddletrack is not there; run the deploy file's build first")
        temporary = os.path.join(self.folder, self.name + ".tmp")
        os.makedirs(temporary, exist_ok=True)
        environment = dict(os.environ, GW_NAME=self.name, GW_LISTEN=self.address, GW_CONFIG=self.config_path,
                           TMPDIR=temporary)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy_run_line(), cwd=ROOT, env=environment, stdout=log, stderr=log)
        end = time.time() + 20
        while time.time() < end:
            if self.process.returncode is not None:
                raise CannotRun("the controller ended at its start, see its log")
            try:
                probe = await Client(self.record, "front").connect(self.address)
                good = await probe.heartbeat()
                probe.close()
                if good:
                    self.record("controller %s is ready, process %d" % (self.name, self.process.pid))
                    return self
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the controller was not ready in 20 s")

    def signal(self, number):
        self.record("controller %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            for number in (signal.SIGCONT, signal.SIGKILL):
                try:
                    self.process.send_signal(number)
                except ProcessLookupError:
                    pass
            await self.process.wait()


def say(text):
    """Prints a line; the exit code is the verdict, whether or not somebody reads the output."""
    try:
        print(text, flush=True)
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), 1)


async def play_bounded(play, record, folder, trouble):
    """Runs the play for 110 s at most; SIGTERM ends it early. Either way it ends what it started."""
    task = asyncio.ensure_future(play(record, folder, trouble))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, 110)


def main(folder, play):
    """Runs `play(record, temporary folder, trouble)`, which returns a list of breaks; exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = 2
    try:
        record = Record(os.path.join(folder, "record.txt"))
        record("disruption: %s" % ("on" if trouble else "off"))
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                breaks = asyncio.run(play_bounded(play, record, temporary, trouble))
            finally:
                for name in sorted(os.listdir(temporary)):
                    if name.endswith(".log"):
                        with open(os.path.join(temporary, name), encoding="utf-8", errors="replace") as log:
                            for line in log.read().splitlines()[:200]:
                                record("log of " + name[:-4] + ": " + line)
        for text in breaks:
            record("BROKEN: " + text)
        if not breaks:
            record("the rule held")
        record.close()
        status = 1 if breaks else 0
        for text in breaks or ["the rule held"]:
            say("BROKEN: " + text if breaks else text)
    except BaseException as error:  # Whatever went wrong, it says nothing about the rule.
        say("could not run: %r" % error)
    raise SystemExit(status)
