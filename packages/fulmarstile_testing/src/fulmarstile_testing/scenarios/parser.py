"""Parser of scenario files."""

from __future__ import annotations

from functools import cache
from importlib import resources
from typing import TYPE_CHECKING, Any

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import LarkError, UnexpectedInput, VisitError

from fulmarstile_testing.scenarios import model
from fulmarstile_testing.scenarios.model import Scenario, ScenarioError, Step, Target

if TYPE_CHECKING:
    from pathlib import Path


def parse_scenario(text: str, name: str = "scenario") -> Scenario:
    """Parses the text of a scenario file.

    Args:
        text: Text of the file.
        name: Name of the file, for errors.

    Returns:
        The scenario.

    Raises:
        ScenarioError: If the text is malformed or uses an undeclared name.
    """
    try:
        statements = _ScenarioTransformer().transform(_parser().parse(text + "\n"))
    except UnexpectedInput as error:
        position = f"{name}:{error.line}:{error.column}"
        raise ScenarioError(f"{position}: syntax error\n{error.get_context(text)}") from error
    except VisitError as error:
        raise ScenarioError(f"{name}: {error.orig_exc}") from error
    except LarkError as error:
        raise ScenarioError(f"{name}: {error}") from error
    scenario = _build(statements)
    _check_names(scenario, name)
    return scenario


def load_scenario(path: Path) -> Scenario:
    """Reads and parses a scenario file.

    Args:
        path: The file.

    Returns:
        The scenario.

    Raises:
        ScenarioError: If the file is malformed or uses an undeclared name.
    """
    return parse_scenario(path.read_text("utf-8"), path.name)


@cache
def _parser() -> Lark:
    grammar = resources.files(__package__).joinpath("grammar.lark").read_text("utf-8")
    return Lark(grammar, parser="lalr")


def _build(statements: list[Any]) -> Scenario:
    ends = [item.seconds for item in statements if isinstance(item, _EndTime)]
    steps = [item for item in statements if isinstance(item, Step)]
    return Scenario(
        title=statements[0],
        availability_zones=_select(statements, model.AvailabilityZone),
        customers=tuple(item.name for item in statements if isinstance(item, _Customer)),
        services=_select(statements, model.ServiceSetup),
        traffic=_select(statements, model.Traffic),
        steps=tuple(sorted(steps, key=lambda step: step.at_s)),
        end_s=ends[-1] if ends else 60.0,
    )


def _select(statements: list[Any], kind: type) -> tuple[Any, ...]:
    return tuple(item for item in statements if isinstance(item, kind))


def _check_names(scenario: Scenario, name: str) -> None:
    services = {service.name for service in scenario.services}
    daemons = set(scenario.daemon_ids)
    zones = {zone.name for zone in scenario.availability_zones}
    regions = {zone.region for zone in scenario.availability_zones}
    if not services or not zones:
        raise ScenarioError(f"{name}: a scenario needs an availability zone and a service")
    customers = set(scenario.customers)
    for service in scenario.services:
        _require_declared(service.customer, customers, "customer", name)
    for traffic in scenario.traffic:
        _require_declared(traffic.service, services, "service", name)
    groups = daemons | services | zones | regions
    for step in scenario.steps:
        action = step.action
        for field in ("target", "first", "second"):
            value = getattr(action, field, None)
            if isinstance(value, Target) and value.name:
                _require_declared(
                    value.name, groups, "daemon, service, availability zone or region", name
                )
            elif isinstance(value, str):
                _require_declared(value, daemons, "daemon", name)
        for field, known in (
            ("daemon_id", daemons),
            ("customer", customers),
            ("service", services),
        ):
            value = getattr(action, field, None)
            if value is not None:
                _require_declared(value, known, field, name)


def _require_declared(value: str, known: set[str], kind: str, name: str) -> None:
    if value not in known:
        raise ScenarioError(f"{name}: unknown {kind} {value!r}")


class _EndTime:
    def __init__(self, seconds: float) -> None:
        self.seconds = seconds


class _Customer:
    def __init__(self, name: str) -> None:
        self.name = name


@v_args(inline=True)
class _ScenarioTransformer(Transformer):
    """Turns the parse tree into a list of statements; the title is the first item."""

    availability_zone = model.AvailabilityZone
    customer = _Customer
    end = _EndTime
    step = Step
    kill = model.Kill
    start_daemons = model.Start
    stop = model.Stop
    pause = model.Pause
    silence = model.SilenceLink
    partition = model.Partition
    cut_log = model.CutLog
    lose_messages = model.LoseMessages
    cross_messages = model.CrossMessages
    log_outage = model.LogOutage
    log_slow = model.LogSlow
    log_loses_answers = model.LogLosesAnswers
    log_forgets = model.LogForgets
    log_keeps = model.LogKeeps
    crash_upstream = model.CrashUpstream
    slow_upstream = model.SlowUpstream
    lying_upstream = model.LyingUpstream
    drain_upstream = model.DrainUpstream
    ready_upstream = model.ReadyUpstream
    poison = model.PoisonRequest
    expect_in_force = model.ExpectInForce
    expect_publication = model.ExpectPublication
    expect_answered = model.ExpectAnswered
    expect_crashes = model.ExpectCrashes
    expect_no_call_cut = model.ExpectNoCallCut

    def start(self, *statements: Any) -> list[Any]:
        return list(statements)

    def service(
        self, name: str, customer: str, upstreams: int, slots: int, run_s: float | None
    ) -> model.ServiceSetup:
        run_s = model.DEFAULT_RUN_S if run_s is None else run_s
        if not upstreams or not slots:
            raise ScenarioError(f"service {name} needs an upstream and a slot")
        return model.ServiceSetup(name, customer, upstreams, slots, run_s)

    def calls(
        self, start_s: float, stop_s: float, kind: str, service: str, rate: float
    ) -> model.Traffic:
        if rate <= 0:
            raise ScenarioError("the rate of calls must be positive")
        return model.Traffic(start_s, stop_s, service, rate, kind == "reserve")

    def publish(self, customer: str, kind: str | None) -> model.Publish:
        return model.Publish(customer, kind or "")

    def all_daemons(self) -> Target:
        return Target()

    def share_of_daemons(self, percent: float) -> Target:
        return Target(percent=percent)

    def named_daemons(self, name: str) -> Target:
        return Target(name)

    def duration(self, value: float, unit: str) -> float:
        return value / 1000 if unit == "ms" else value

    def number(self, value: Token) -> float:
        return float(value)

    def INT(self, value: Token) -> int:  # noqa: N802
        return int(value)

    def NAME(self, value: Token) -> str:  # noqa: N802
        return str(value)

    def CALL_KIND(self, value: Token) -> str:  # noqa: N802
        return str(value)

    def PUBLISH_KIND(self, value: Token) -> str:  # noqa: N802
        return str(value)

    def VERDICT(self, value: Token) -> str:  # noqa: N802
        return str(value)

    def STRING(self, value: Token) -> str:  # noqa: N802
        return str(value)[1:-1]
