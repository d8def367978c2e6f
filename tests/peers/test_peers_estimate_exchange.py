"""Export of a decision module's estimates and their import by another one."""

from types import SimpleNamespace

import pytest
from helpers import SECOND, START
from loaded_assigner import report_second, started_assigner

from hollyridge import interface as api
from hollyridge.membership.messages import SharedEstimates
from hollyridge.peers.codec import PacketGuard
from hollyridge.peers.estimate_exchange import ESTIMATES_PER_MESSAGE, EstimateExchange, TaskLookup

NAMES = [f"127.1.0.{number}:9000" for number in range(4)]
TASKS = TaskLookup(NAMES.__getitem__, lambda name: NAMES.index(name) if name in NAMES else None)


class RecordingEngine:
    def __init__(self, assigner):
        self.assigner = assigner
        self.submitted = []

    def submit(self, now_us, event):
        self.submitted.append((now_us, event))


@pytest.fixture
def engine_with_estimates():
    module = started_assigner()
    now_us = START
    for _ in range(6):
        now_us += SECOND
        report_second(module, now_us)
    return RecordingEngine(module)


def test_exported_estimates_name_their_tasks(engine_with_estimates):
    (message,) = EstimateExchange(engine_with_estimates, TASKS).outgoing()
    assert [name for name, *_ in message.estimates] == NAMES
    assert all(capacity > 0 for _, capacity, *_ in message.estimates)
    assert message.age_ms == 0


def test_estimates_of_a_peer_are_submitted(engine_with_estimates):
    exchange = EstimateExchange(engine_with_estimates, TASKS)
    (message,) = exchange.outgoing()
    assert exchange.import_estimates(START, message) == 4
    ((now_us, event),) = engine_with_estimates.submitted
    assert now_us == START
    assert isinstance(event, api.EstimatesRestored)
    assert [estimate.task for estimate in event.estimates] == [0, 1, 2, 3]


def test_estimates_of_unknown_tasks_are_not_submitted(engine_with_estimates):
    message = SharedEstimates((("127.9.9.9:1", 20.0, 5.0, 1.0, 1.0),), 0.0, 0)
    assert EstimateExchange(engine_with_estimates, TASKS).import_estimates(START, message) == 0
    assert engine_with_estimates.submitted == []


def test_a_module_without_estimates_neither_exports_nor_imports_any():
    engine = RecordingEngine(SimpleNamespace())
    exchange = EstimateExchange(engine, TASKS)
    message = SharedEstimates(((NAMES[0], 20.0, 5.0, 1.0, 1.0),), 0.0, 0)
    assert list(exchange.outgoing()) == []
    assert exchange.import_estimates(START, message) == 0


def test_a_full_message_of_estimates_fits_into_a_packet():
    longest_name = "n" * 100
    estimates = tuple((longest_name, 1e8 / 3, 5.0, 1.2345, 0.9876) for _ in range(ESTIMATES_PER_MESSAGE))
    guard = PacketGuard(b"k" * 32, "a" * 64, bytes)
    assert guard.seal(SharedEstimates(estimates, 0.1234, 0))
