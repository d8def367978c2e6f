"""Formats of recordings and of the status page, from a short simulated day that writes every kind of record."""

from functools import cache

import msgspec
import pytest
from stored import FOLDER, as_text, shape, stored_json, stored_text

from hollyridge.chp import codec as chp_codec
from hollyridge.client import chp as client_chp
from hollyridge.client import gateway
from hollyridge.lab import scenario
from hollyridge.lab.checks.evidence import Evidence
from hollyridge.lab.checks.metrics import figures_of
from hollyridge.lab.checks.ownership import ownership_figures
from hollyridge.lab.day import Day, Outcome
from hollyridge.lab.reports.record import Recorder, frame_of, parts_of, read_all
from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment
from hollyridge.sasp import client as sasp_client

KINDS = {
    "applied",
    "assigner",
    "claims",
    "connected",
    "done",
    "effect",
    "fell",
    "heard",
    "no_line",
    "proxy_down",
    "rpc",
    "said",
    "stalled",
    "standing",
    "state",
    "stream",
    "task_down",
    "task_up",
    "told",
    "trouble",
    "try",
}
# End of the time whose messages are all in the sample, on the simulated clock, in microseconds; proxies join at 1002 s.
FIRST_MESSAGES_END_US = 1_002_050_000


@cache
def simulated_day() -> tuple[SimulatedEnvironment, Day, Outcome]:
    loaded = scenario.load(FOLDER / "day.ini")
    environment = SimulatedEnvironment(loaded, "", 1)
    day = Day(loaded, environment, 1)
    return environment, day, day.play()


def key_orders(rows: list[dict]) -> dict[str, list]:
    """Return the keys of each kind of record in their order; a kind can have several."""
    found: dict[str, set[tuple]] = {}
    for row in rows:
        found.setdefault(row["k"], set()).add(tuple(row))
    return {kind: sorted(map(list, found[kind])) for kind in sorted(found)}


def sample_recording() -> str:
    """Return a sample of the recording.

    It contains the first messages between the assigners and two proxies, one of each protocol, and of all other records
    the first of each kind and order of keys.
    """
    seen, lines = set(), []
    for row in simulated_day()[0].record.rows:
        client, keys = row.get("who", row.get("proxy", "")), (row["k"], *row)
        if client.startswith("gw-") and client not in ("gw-0", "gw-3"):
            continue
        if (
            keys not in seen
            or row["k"] == "standing"
            or (row["t"] < FIRST_MESSAGES_END_US and row["k"] in ("stream", "heard", "told"))
        ):
            seen.add(keys)
            lines.append(msgspec.json.encode(row).decode() + "\n")
    return "".join(lines)


def read_figures(rows: list[dict]) -> dict:
    """Return the figures derived from records; their keys are also those of `--json`."""
    evidence = Evidence(rows)
    return msgspec.to_builtins(
        {**figures_of(evidence, simulated_day()[1].methods()), "ownership": ownership_figures(evidence)}, str_keys=True
    )


def test_all_kinds_of_record_are_in_the_fixture_and_keep_their_keys():
    rows = [msgspec.json.decode(line) for line in stored_text("recording.jsonl").splitlines()]
    assert {row["k"] for row in rows} == KINDS
    assert key_orders(simulated_day()[0].record.rows) == key_orders(rows)


def test_recordings_keep_their_format(tmp_path):
    rows = read_all(FOLDER)
    assert rows == [msgspec.json.decode(line) for line in stored_text("recording.jsonl").splitlines()]
    times = iter([row["t"] for row in rows])
    recorder = Recorder(tmp_path / "again.jsonl", lambda: next(times))
    for row in rows:
        fields = {key: value for key, value in row.items() if key not in ("k", "t", "frame", "parts")}
        if "frame" in row:
            recorder.frame(row["k"], row["who"], row["stream"], frame_of(row))
        elif "parts" in row:
            recorder.parts(row["k"], row["who"], row["stream"], parts_of(row))
        else:
            recorder(row["k"], **fields)
    recorder.flush()
    assert (tmp_path / "again.jsonl").read_text() == stored_text("recording.jsonl")


def test_an_older_recording_yields_the_same_figures():
    assert as_text(read_figures(read_all(FOLDER))) == as_text(stored_json("recording-figures.json"))


def status() -> dict:
    return shape(msgspec.json.decode(msgspec.json.encode(simulated_day()[0].status[-1])))


def test_the_status_page_keeps_its_keys():
    """All parts are enabled: both protocols, reports, the weight solver, peers and stored state."""
    assert as_text(status()) == as_text(stored_json("status.json"))
    assert list(stored_json("status.json")) == ["core", "sasp", "clone", "otlp", "solver", "peers", "kept"]


def test_an_outcome_keeps_its_keys():
    outcome = simulated_day()[2]
    raw = msgspec.json.encode(outcome)
    assert msgspec.json.encode(msgspec.json.decode(raw, type=Outcome)) == raw
    assert as_text(outcome_keys()) == as_text(stored_json("outcome-keys.json"))


def outcome_keys() -> dict:
    verdicts, figures, faults, parity = msgspec.json.decode(msgspec.json.encode(simulated_day()[2]))
    return {
        "verdict": [type(value).__name__ for value in verdicts[0]],
        "figures": shape(figures),
        "troubles": shape(faults),
        "parity": [type(value).__name__ for value in parity],
    }


def test_faults_of_scenarios_and_recordings_keep_their_names():
    kinds = stored_json("troubles.json")
    assert {kind: list(forms) for kind, forms in scenario.FAULT_FORMS.items()} == kinds
    assert all(callable(getattr(simulated_day()[1], kind)) for kind in kinds)


ERRORS = [
    (chp_codec.ChpError("x"), "CloneError"),
    (client_chp.HeartbeatTimeoutError("x"), "SilenceError"),
    (sasp_client.ConnectionLostError("x"), "LostError"),
    (sasp_client.HeartbeatTimeoutError("x"), "SilentError"),
    (sasp_client.RefusedError(1), "RefusedError"),
    (ConnectionResetError("x"), "ConnectionResetError"),
]


@pytest.mark.parametrize(("error", "name"), ERRORS)
def test_recordings_keep_the_names_of_errors(error, name):
    assert gateway.recorded_name(error) == name


WRITERS = {
    "recording.jsonl": sample_recording,
    "recording-figures.json": lambda: as_text(
        read_figures([msgspec.json.decode(line) for line in sample_recording().splitlines()])
    ),
    "status.json": lambda: as_text(status()),
    "outcome-keys.json": lambda: as_text(outcome_keys()),
    "troubles.json": lambda: as_text({kind: list(forms) for kind, forms in scenario.FAULT_FORMS.items()}),
}
