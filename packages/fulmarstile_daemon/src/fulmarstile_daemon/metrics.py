"""Metrics page of the daemon, rendered with aioprometheus."""

from __future__ import annotations

from dataclasses import astuple, fields, is_dataclass
from typing import TYPE_CHECKING, Any, Final

from aioprometheus import Gauge, Registry, render
from aioprometheus.formats import text

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

METRIC_PREFIX: Final = "fulmarstile_"
"""Prefix of every metric name."""


class MetricsPage:
    """Copies the counters of the daemon's components into a registry on each render."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._gauges: dict[str, Gauge] = {}

    def render(self, counters: Mapping[str, Any], labels: Mapping[str, str]) -> bytes:
        """Renders the page.

        Args:
            counters: Counters of each component by its name: numbers, or dataclasses of numbers.
            labels: Labels of every metric.

        Returns:
            The page in the Prometheus text format.
        """
        for component, value in sorted(counters.items()):
            for name, number in _list_numbers(component, value):
                self._get_gauge(name).set(dict(labels), number)
        page, _ = render(self._registry, [text.TEXT_CONTENT_TYPE])
        return page

    def _get_gauge(self, name: str) -> Gauge:
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(METRIC_PREFIX + name, _make_help_text(name), registry=self._registry)
            self._gauges[name] = gauge
        return gauge


def sum_counters(counters: Iterable[Any]) -> Any:
    """Adds up counters of the same type.

    Args:
        counters: Dataclasses of numbers, all of one type.

    Returns:
        An instance of that type with the sums; 0 if there are no counters.
    """
    items = list(counters)
    if not items:
        return 0
    columns = zip(*(astuple(item) for item in items), strict=True)
    return type(items[0])(*(sum(column) for column in columns))


def _list_numbers(component: str, value: Any) -> list[tuple[str, float]]:
    if isinstance(value, int | float):
        return [(component, float(value))]
    if not is_dataclass(value):
        return []
    pairs = ((item.name, getattr(value, item.name)) for item in fields(value))
    return [
        (f"{component}_{name}", float(number))
        for name, number in pairs
        if isinstance(number, int | float)
    ]


def _make_help_text(name: str) -> str:
    return name.replace("_", " ").capitalize() + "."
