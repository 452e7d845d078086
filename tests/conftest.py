"""Pytest configuration: deterministic examples, the asyncio backend, and the list of known failures."""

from pathlib import Path

import pytest
from hypothesis import settings

from tests import known_red

# Prevents random examples from changing the result of a test between runs.
settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")

KNOWN_RED = pytest.StashKey[list[known_red.KnownRed]]()


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[KNOWN_RED] = known_red.read(Path(config.rootpath, "KNOWN-RED.txt"))
    except known_red.BadKnownRed as exc:
        raise pytest.UsageError(str(exc)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known_failures = config.stash[KNOWN_RED]
    collected = {item.nodeid: item for item in items}
    # A partial run doesn't collect every listed test.
    is_full_run = all(Path(config.rootpath, arg) == Path(config.rootpath, "tests") for arg in config.args)
    missing = known_red.absent(known_failures, set(collected))
    if is_full_run and missing:
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(missing)}")
    for red in known_failures:
        if red.test in collected:
            mark = pytest.mark.xfail(reason=f"{red.seen} (issue {red.issue})", strict=False)
            collected[red.test].add_marker(mark)


def pytest_runtest_logreport(report: pytest.TestReport) -> None:
    if report.when == "call" or report.failed:
        _results[report.nodeid] = "failed" if report.failed or report.skipped else "passed"


_results: dict[str, str] = {}


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for red in config.stash[KNOWN_RED]:
        result = _results.get(red.test, "not run") if red.test else "no test"
        terminalreporter.write_line(f"KNOWN-RED {result}: {red}")
