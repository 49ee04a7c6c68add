"""Test harness: a control role in one process, on a log whose leadership and quorum the tests switch on and off."""

import hashlib

from arbutusrill_base import ManualClock
from arbutusrill_raft import LocalLog, LogUnavailableError, NotLeaderError
from arbutusrill_state import ControlUnavailableError
from arbutusrill_wire import messages
from werkzeug.test import Client

from arbutusrill_control import ControlService, OperatorApp, SharedStateMachine

TOKENS = {"ops": "token-1", "night": "token-2"}


class ControllableLog(LocalLog):
    def __init__(self, machine):
        super().__init__(machine, "10.0.0.1:1")
        self.is_leading, self.has_quorum, self.term, self.proposal_count = True, True, 1, 0

    def is_leader(self):
        return self.is_leading

    def status(self):
        status = super().status()
        status.term = self.term
        return status

    def _check(self):
        if not self.is_leading:
            raise NotLeaderError("10.0.0.2:1")
        if not self.has_quorum:
            raise LogUnavailableError("no quorum", appended=False)

    def confirm(self, timeout):
        self._check()

    def propose(self, data, timeout):
        self._check()
        self.proposal_count += 1
        return super().propose(data, timeout)


class InProcessControlClient:
    """Replaces a `ControlClient`: calls the service directly and can lose responses after the call."""

    def __init__(self, service):
        self.service = service
        self.responses_to_lose = 0

    def call(self, name, *arguments, timeout, try_timeout=1.5):
        response = getattr(self.service, name)(*arguments)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise ControlUnavailableError("response lost", True)
        return response


class ControlHarness:
    def __init__(self):
        self.clock = ManualClock(100.0)
        self.state_machine = SharedStateMachine()
        self.log = ControllableLog(self.state_machine)
        self.service = ControlService(self.log, self.state_machine, self.clock)
        self.client = InProcessControlClient(self.service)
        hashes = {name: _sha256(token) for name, token in TOKENS.items()}
        self.app = OperatorApp(self.service, self.client, self.clock, hashes)
        self.http = Client(self.app)
        self.service.tick()

    @property
    def config(self):
        return self.state_machine.state.config

    def follow(self, vm, incarnation=1, state="live", revision=None):
        revision = self.config.revision if revision is None else revision
        request = messages.FollowRequest(vm, incarnation, f"{vm}:1", f"{vm}:2", "dc", state, revision, 0)
        return self.service.follow(request)

    def run_for(self, seconds, followers=()):
        for _ in range(round(seconds / 0.2)):
            self.clock.advance(0.2)
            for vm in followers:
                self.follow(vm)
            self.service.tick()

    def request(self, method, path, body=None, operator="ops", request_id="", **query):
        headers = {"Authorization": f"Bearer {TOKENS.get(operator, operator)}"}
        if request_id:
            headers["X-Request-Id"] = request_id
        prefix = "" if path.startswith("/") else "/v1/operator/"
        return self.http.open(f"{prefix}{path}", method=method, json=body, headers=headers, query_string=query)


def _sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()
