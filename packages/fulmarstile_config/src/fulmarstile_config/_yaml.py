"""Loads YAML of limited size into plain data, with the line of each value."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import yaml
from yaml.constructor import SafeConstructor

from fulmarstile_config.errors import RefusedError
from fulmarstile_config.publication import Refusal, RefusalCode

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_DEPTH: Final = 8
"""Maximum nesting depth of collections."""

MAX_NODES: Final = 40_000
"""Maximum number of scalars and collections in one body."""

MAX_SCALAR_CHARS: Final = 4096
"""Maximum length of a scalar, in characters."""

_ALLOWED_TAGS: Final = frozenset(
    f"tag:yaml.org,2002:{name}" for name in ("str", "int", "float", "bool", "null", "map", "seq")
)
_MAX_REASON_CHARS: Final = 200


@dataclass(frozen=True, slots=True)
class YamlContent:
    """Plain data and the line of each value by path, such as `$.pools[2].service`."""

    data: object
    lines: Mapping[str, int]


def load_yaml(section: str, body: str) -> YamlContent:
    """Loads one YAML document of mappings, lists and scalars.

    Args:
        section: Section identifier to report in refusals.
        body: YAML text.

    Returns:
        The data and the line of each value.

    Raises:
        RefusedError: If the text is not YAML, uses anchors, aliases, tags or duplicate keys, or
            exceeds a limit.
    """
    try:
        _check_events(section, body)
        root = yaml.compose(body, Loader=yaml.CSafeLoader)
        if root is None:
            raise _syntax_error(section, "body is empty", 1)
        lines: dict[str, int] = {}
        _collect_lines(section, root, "$", lines)
        return YamlContent(SafeConstructor().construct_document(root), lines)
    except yaml.MarkedYAMLError as error:
        raise _syntax_error(section, _describe(error), _line_of(error, body)) from None
    except yaml.YAMLError as error:
        raise _syntax_error(section, str(error).splitlines()[0], 0) from None
    except (ValueError, OverflowError, RecursionError, KeyError, TypeError) as error:
        raise _syntax_error(section, f"malformed value: {error}", 0) from None


def _syntax_error(section: str, reason: str, line: int) -> RefusedError:
    return RefusedError(Refusal(RefusalCode.SYNTAX, reason[:_MAX_REASON_CHARS], section, line))


def _describe(error: yaml.MarkedYAMLError) -> str:
    problem = error.problem or "malformed YAML"
    if not error.context:
        return problem
    if error.context_mark is None:
        return f"{error.context}: {problem}"
    return f"{error.context} from line {error.context_mark.line + 1}: {problem}"


def _line_of(error: yaml.MarkedYAMLError, body: str) -> int:
    mark = error.problem_mark or error.context_mark
    if mark is None:
        return 0
    # For an error at the end of the text, the parser may report the line after the last one.
    return min(mark.line + 1, max(1, len(body.splitlines())))


def _check_events(section: str, body: str) -> None:
    depth = 0
    nodes = 0
    for event in yaml.parse(body, Loader=yaml.CSafeLoader):
        if isinstance(event, yaml.NodeEvent):
            nodes += 1
            _check_node_event(section, event)
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH or nodes > MAX_NODES:
            line = event.start_mark.line + 1
            raise _syntax_error(section, "body is nested too deeply or has too many values", line)


def _check_node_event(section: str, event: yaml.NodeEvent) -> None:
    line = event.start_mark.line + 1
    if isinstance(event, yaml.AliasEvent) or event.anchor is not None:
        raise _syntax_error(section, "anchors and aliases are not allowed", line)
    if event.tag is not None:
        raise _syntax_error(section, "tags are not allowed", line)
    if isinstance(event, yaml.ScalarEvent) and len(event.value) > MAX_SCALAR_CHARS:
        raise _syntax_error(section, f"value exceeds {MAX_SCALAR_CHARS} characters", line)


def _collect_lines(section: str, node: yaml.Node, path: str, lines: dict[str, int]) -> None:
    line = node.start_mark.line + 1
    lines.setdefault(path, line)
    if node.tag not in _ALLOWED_TAGS:
        kind = node.tag.rpartition(":")[2]
        raise _syntax_error(section, f"values of type {kind} are not allowed; quote the text", line)
    if isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            _collect_lines(section, item, f"{path}[{index}]", lines)
    elif isinstance(node, yaml.MappingNode):
        _collect_mapping_lines(section, node, path, lines)


def _collect_mapping_lines(
    section: str, node: yaml.MappingNode, path: str, lines: dict[str, int]
) -> None:
    keys: set[str] = set()
    for key, value in node.value:
        line = key.start_mark.line + 1
        if not isinstance(key, yaml.ScalarNode) or key.tag != "tag:yaml.org,2002:str":
            raise _syntax_error(section, "keys must be text", line)
        if key.value in keys:
            raise _syntax_error(section, f"duplicate key {key.value!r}", line)
        keys.add(key.value)
        lines[f"{path}.{key.value}"] = line
        _collect_lines(section, value, f"{path}.{key.value}", lines)
