"""Test rig: an in-process entry VM with scripted engines and stubs for the pool owner and the control group."""

import contextlib
import json
import socket
import threading
import time

from arbutusrill_base import RetryBudget, SystemClock, TaskGroup, hash_key
from arbutusrill_http import AbortStreamError, BodyBudget, HttpLimits, HttpServer, json_response
from arbutusrill_limits import Limits, TokenLeases
from arbutusrill_state import ConfigState, JournalClient, VmIdentity, make_command
from arbutusrill_wire import messages
from werkzeug.wrappers import Request

from arbutusrill_entry import CleanupQueue, EntryApp, EntryContext, HeldTickets, Meters

KEY = "ak-" + "k" * 43
WORDS = [f"w{number} " for number in range(12)]


class ScriptedEngine:
    """An engine with faults injected by a test.

    An attribute ``*_at`` is the offset of the token at which the fault occurs once. The other numbers are how many
    requests fail in this way.
    """

    def __init__(self, name):
        self.name = name
        self.seen = []
        self.held = set()
        self.token_gap_s = 0.002
        self.stall_at = self.cut_at = self.repeat_at = self.mismatch_at = self.crash_at = None
        self.refuse_prefills = self.expired_kv_handles = self.mismatched_prefills = self.failed_cancels = 0
        self.hang_prefill = self.hang_decode = self.loses_streams = self.crashed = False
        self.closing = threading.Event()

    def __call__(self, environ, start):
        request = Request(environ)
        body = json.loads(request.get_data() or b"{}")
        self.seen.append((request.path, body))
        if self.crashed:
            raise AbortStreamError
        if request.path.startswith("/engine/streams/"):
            return self._resume(request.path.rsplit("/", 1)[1], int(request.args["offset"]), environ, start)
        return getattr(self, f"_{request.path.rsplit('/', 1)[1]}")(body, environ, start)

    def paths(self, path):
        return [body for seen, body in self.seen if seen == path]

    def _consume_fault(self, name):
        left = getattr(self, name)
        setattr(self, name, max(0, left - 1))
        return left > 0

    def _prefill(self, body, environ, start):
        request_id = body["request_id"]
        self.held.add(request_id)
        self._wait(lambda: self.hang_prefill and request_id in self.held)
        self.held.discard(request_id)
        if self._consume_fault("refuse_prefills"):
            return json_response({"error": "full"}, 503)(environ, start)
        answer = {"request_id": request_id, "kv_handle": "kv", "prompt_tokens": 3, "cached_tokens": 0}
        if self._consume_fault("mismatched_prefills"):
            answer["request_id"] = "req-of-another"
        return json_response(answer)(environ, start)

    def _decode(self, body, environ, start):
        if self._consume_fault("expired_kv_handles"):
            return json_response({"error": "expired kv_handle"}, 410)(environ, start)
        self.held.add(body["request_id"])
        self._wait(lambda: self.hang_decode and body["request_id"] in self.held)
        return self._send(body["request_id"], body.get("offset", 0), start)

    def _resume(self, request_id, offset, environ, start):
        if self.loses_streams or request_id not in self.held:
            return json_response({"error": "unknown"}, 404)(environ, start)
        return self._send(request_id, offset, start)

    def _send(self, request_id, first, start):
        write = start("200 OK", [("Content-Type", "text/event-stream")])
        write(b"")  # sends the head before the first token, as engines do
        for offset in range(first, len(WORDS)):
            time.sleep(self.token_gap_s)
            if request_id not in self.held:
                raise AbortStreamError
            if offset == self.crash_at:
                self.crashed = True
                raise AbortStreamError
            if offset == self.cut_at:
                self.cut_at = None
                raise AbortStreamError
            if offset == self.stall_at:
                self.stall_at = None
                self._wait(lambda: True, 5)
            number, name = offset, request_id
            if offset == self.repeat_at:
                self.repeat_at, number = None, offset - 1
            if offset == self.mismatch_at:
                self.mismatch_at, name = None, "req-of-another"
            event = {"request_id": name, "offset": number, "token": WORDS[number]}
            write(b"data: " + json.dumps(event).encode() + b"\n\n")
        self.held.discard(request_id)
        write(b"data: " + json.dumps({"request_id": request_id, "end": True, "finish_reason": "length"}).encode())
        return [b"\n\n"]

    def _cancel(self, body, environ, start):
        if self._consume_fault("failed_cancels"):
            return json_response({"error": "busy"}, 500)(environ, start)
        self.held.discard(body["request_id"])
        return json_response({"request_id": body["request_id"], "state": "cancelled"})(environ, start)

    def _wait(self, condition, seconds=20):
        until = time.monotonic() + seconds
        while condition() and time.monotonic() < until and not self.closing.wait(0.01):
            pass


class StubFollower:
    """A follower whose configuration and freshness a test sets."""

    def __init__(self):
        self.config = ConfigState()
        self.identity = VmIdentity("entry1", 7, "127.0.0.1:1", "127.0.0.1:2", "dc1")
        self.state_is_fresh = True

    def is_fresh(self):
        return self.state_is_fresh

    def apply(self, change):
        assert self.config.apply(make_command(change, "test", 1)).accepted


class StubPools:
    """A pool owner that assigns the first server that is not avoided, and records every message."""

    def __init__(self, config):
        self.config = config
        self.servers = []
        self.calls = []
        self.owner = "owner1"
        self.acquire_reply = None
        self.refused_calls = set()

    def find_pool(self, pool):
        return self.config.pools_by_name.get(pool)

    def owner_of(self, pool):
        return self.owner

    def call(self, pool, name, message, timeout=1.0):
        return self.call_vm(self.owner, name, message, timeout)

    def call_vm(self, owner, name, message, timeout):
        self.calls.append((owner, name, message))
        if name in self.refused_calls:
            raise messages.Refused("not_owner", "try another")
        if name != "acquire":
            return None
        if self.acquire_reply is not None:
            return self.acquire_reply
        free = [server for server in self.servers if server[0] not in message.avoid]
        if not free:
            return messages.AcquireReply("refused", None, "no_capacity", "no server is left", 1500)
        prefill, decode = free[0], free[-1 if message.pool == "m" else 0]
        return messages.AcquireReply("assigned", messages.Assignment(message.ticket, *prefill, *decode))

    def announce(self, announcement):
        self.calls.append((self.owner, "announce", announcement))

    def messages_named(self, name):
        return [message for _, called, message in self.calls if called == name]


class StubControl:
    """A control group that gives the scripted `answers` in order, then accepts every call."""

    def __init__(self):
        self.calls = []
        self.answers = []

    def call(self, name, message, timeout, try_timeout=1.5):
        self.calls.append((name, message))
        default_answer = messages.Outcome(True, 0) if name == "finish_call" else messages.BeginAnswer("started", 1)
        answer = self.answers.pop(0) if self.answers else default_answer
        if isinstance(answer, Exception):
            raise answer
        return answer


def all_granted(request):
    grants = [messages.Grant(item.workspace, item.wanted, 1000, 1e6, issued_us=1) for item in request.items]
    return messages.GrantReply(grants, 1)


class Rig:
    """An entry VM that serves the model ``m`` and the service ``seats``, with helpers that send requests to it."""

    def __init__(self, stack, body_budget=None):
        self.stack = stack
        self.follower = StubFollower()
        self.follower.apply(messages.PutWorkspace("dispatch", 100.0, 1000.0))
        self.follower.apply(messages.IssueKey("k1", hash_key(KEY), "dispatch"))
        self.follower.apply(messages.AssignPool("m", "model", "owner1", 1, 1))
        self.follower.apply(messages.AssignPool("seats", "service", "owner1", 1, 1))
        self.pools = StubPools(self.follower.config)
        self.control = StubControl()
        self.retry_budget = RetryBudget()
        clock = SystemClock()
        self.limits = TokenLeases("entry1", 7, all_granted, lambda _: Limits(1000.0, 100000.0), clock)
        self.limits.start(stack.enter_context(TaskGroup("limits", 2)))
        self.journal = JournalClient("entry1", 7, self.control, clock)
        self.journal.start(stack.enter_context(TaskGroup("journal", 2)))
        self.held = stack.enter_context(HeldTickets(self.pools, "entry1", 7))
        cleanup = stack.enter_context(CleanupQueue(threads=4))
        self.meters = Meters(clock)
        self.context = EntryContext(
            follower=self.follower,
            control=self.control,
            pools=self.pools,
            limits=self.limits,
            journal=self.journal,
            clock=clock,
            cleanup=cleanup,
            held_tickets=self.held,
            retry_budget=self.retry_budget,
            meters=self.meters,
            body_budget=body_budget or BodyBudget(None),
        )
        self.app = EntryApp(self.context, hash_key("announce"))
        self.server = stack.enter_context(HttpServer("127.0.0.1", 0, self.app, HttpLimits(connections=32)))
        self.address = self.server.address

    def engine(self, name="e1"):
        engine = ScriptedEngine(name)
        server = self.stack.enter_context(HttpServer("127.0.0.1", 0, engine))
        self.stack.callback(engine.closing.set)
        self.pools.servers.append((name, f"http://{server.address}"))
        return engine

    def serve(self, app, name="s1"):
        server = self.stack.enter_context(HttpServer("127.0.0.1", 0, app))
        self.pools.servers.append((name, f"http://{server.address}"))

    def send(self, method, path, body=b"", headers=(), key=KEY):
        """Sends a request and returns the connection, so that a test can disconnect at any time."""
        host, port = self.address.split(":")
        connection = socket.create_connection((host, int(port)), timeout=20)
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {len(data)}", "Connection: close", *headers]
        lines += [f"Authorization: Bearer {key}"] if key else []
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        return connection

    def call(self, *args, **options):
        """Returns status, headers by lower-case name, body, and whether the body is complete."""
        with self.send(*args, **options) as connection, connection.makefile("rb") as stream:
            return read_response(stream)

    def chat(self, headers=(), **extra):
        body = {"model": "m", "messages": [{"role": "user", "content": "hi"}], "max_tokens": len(WORDS), **extra}
        return self.call("POST", "/v1/chat/completions", body, headers)

    def start_chat(self, **extra):
        body = {"model": "m", "messages": [{"role": "user", "content": "hi"}], "max_tokens": len(WORDS), **extra}
        return self.send("POST", "/v1/chat/completions", body)


def read_response(stream):
    status = int(stream.readline().split()[1])
    headers = {}
    while line := stream.readline().strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") != "chunked":
        body = stream.read()
        return status, headers, body, len(body) == int(headers.get("content-length", len(body)))
    body = b""
    while True:
        size = stream.readline().strip()
        if not size:
            return status, headers, body, False
        if int(size, 16) == 0:
            return status, headers, body, True
        body += stream.read(int(size, 16))
        stream.readline()


def events_of(body):
    return [line[6:] for line in body.decode().split("\n\n") if line.startswith("data: ")]


def text_of(body):
    choices = [
        choice for event in events_of(body) if event != "[DONE]" for choice in json.loads(event).get("choices", [])
    ]
    return "".join(choice["delta"].get("content", "") for choice in choices)


def eventually(condition, seconds=10.0):
    until = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < until, "condition not met in time"
        time.sleep(0.01)


@contextlib.contextmanager
def entry_rig(body_budget=None):
    with contextlib.ExitStack() as stack:
        yield Rig(stack, body_budget)
