"""Common types and helpers: clocks, identifiers, logs, settings, signals, retry budgets and task groups."""

from ._addresses import is_ipv4_address, split_address
from ._answer_times import AnswerTimes
from ._blocks import BLOCK_BYTES, prefix_blocks
from ._budget import RetryBudget, backoff_s
from ._clock import BootClock, Clock, ManualClock, SystemClock
from ._decoding_gate import BodyTooLargeError, DecodingGate
from ._events import EventLog, EventWriter, write_events
from ._ids import hash_key, new_incarnation, new_key, new_request_id
from ._json import MAX_INTEGER, load_json, whole_number
from ._lease_times import CLOCK_DRIFT_S, VM_LEASE_S
from ._logs import PartLog, configure_logs
from ._pauses import PauseDetector
from ._settings import Section, SettingsError, load_settings, parse_settings, read_settings
from ._signals import EXIT_STOPPED_LATE, ProcessSignals
from ._tasks import TaskGroup
from ._verdict import Failure, FailureError, Verdict

__all__ = [
    "AnswerTimes",
    "BodyTooLargeError",
    "DecodingGate",
    "CLOCK_DRIFT_S",
    "VM_LEASE_S",
    "BLOCK_BYTES",
    "BootClock",
    "Clock",
    "EXIT_STOPPED_LATE",
    "EventLog",
    "EventWriter",
    "Failure",
    "FailureError",
    "MAX_INTEGER",
    "ManualClock",
    "PartLog",
    "PauseDetector",
    "ProcessSignals",
    "RetryBudget",
    "Section",
    "SettingsError",
    "SystemClock",
    "TaskGroup",
    "Verdict",
    "backoff_s",
    "configure_logs",
    "hash_key",
    "is_ipv4_address",
    "load_json",
    "load_settings",
    "new_incarnation",
    "new_key",
    "new_request_id",
    "parse_settings",
    "prefix_blocks",
    "read_settings",
    "split_address",
    "whole_number",
    "write_events",
]
