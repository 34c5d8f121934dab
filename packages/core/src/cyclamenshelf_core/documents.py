"""Strict parsing of YAML documents that records the line of every value.

Problems are collected in a list, so that one pass reports all of them.
"""

from typing import Any
from typing import NamedTuple

import yaml

from cyclamenshelf_core import errors

# Limits the recursion of the YAML composer; the operators' lists need 5 levels.
_MAX_DEPTH = 12
_MAX_VALUE_LENGTH = 60
_COLLECTIONS = {list: "a list", dict: "a mapping"}

Problems = list[errors.Problem]


class Item(NamedTuple):
    """A value and its position in the document.

    Attributes:
        value: A scalar, a list of items, or a dict of items by string key.
        source: Name of the document.
        path: Path of the field, such as `plans.large.weight`.
        line: Line of the value, from 1.
    """

    value: Any
    source: str
    path: str
    line: int


class _Loader(yaml.SafeLoader):
    """A loader that rejects aliases, which can expand without limit."""

    depth = 0

    def compose_node(self, parent: Any, index: Any) -> Any:
        if self.check_event(yaml.AliasEvent):
            event = self.peek_event()
            raise yaml.MarkedYAMLError(
                problem="aliases are not allowed", problem_mark=event.start_mark
            )
        self.depth += 1
        if self.depth > _MAX_DEPTH:
            raise yaml.MarkedYAMLError(
                problem=f"nested deeper than {_MAX_DEPTH} levels",
                problem_mark=self.peek_event().start_mark,
            )
        try:
            return super().compose_node(parent, index)
        finally:
            self.depth -= 1


def load_document(
    source: str, text: str, max_bytes: int, problems: Problems
) -> Item | None:
    """Return the root of a YAML document, or None if it cannot be parsed."""
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > max_bytes:
        problems.append(
            errors.Problem(
                source, 1, "", f"at most {max_bytes} bytes", f"{size} bytes"
            )
        )
        return None
    try:
        loader = _Loader(text)
        node = loader.get_single_node()
        if node is None:
            return Item(None, source, "", 1)
        return _convert(loader, node, source, "", problems)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        problems.append(
            errors.Problem(source, line, "", "YAML", error.problem or "")
        )
    except yaml.YAMLError as error:
        # Only the first line, as the rest may quote the document.
        reason = str(error).splitlines()[0]
        problems.append(errors.Problem(source, 1, "", "YAML", reason))
    return None


def _convert(
    loader: _Loader, node: Any, source: str, path: str, problems: Problems
) -> Item:
    line = node.start_mark.line + 1
    value: Any
    if isinstance(node, yaml.MappingNode):
        value = _convert_mapping(loader, node, source, path, problems)
    elif isinstance(node, yaml.SequenceNode):
        value = [
            _convert(loader, child, source, f"{path}[{index}]", problems)
            for index, child in enumerate(node.value)
        ]
    else:
        value = _construct_scalar(loader, node, source, path, problems)
    return Item(value, source, path, line)


def _convert_mapping(
    loader: _Loader, node: Any, source: str, path: str, problems: Problems
) -> dict[str, Item]:
    items: dict[str, Item] = {}
    for key_node, value_node in node.value:
        line = key_node.start_mark.line + 1
        key: Any = None
        if isinstance(key_node, yaml.ScalarNode):
            key = _construct_scalar(loader, key_node, source, path, problems)
        if not isinstance(key, str):
            problems.append(
                errors.Problem(
                    source,
                    line,
                    path,
                    "a string as key (quote it)",
                    format_value(key),
                )
            )
            continue
        child = f"{path}.{key}" if path else key
        if key in items:
            got = f"a duplicate of line {items[key].line}"
            problems.append(
                errors.Problem(source, line, child, "each key only once", got)
            )
        converted = _convert(loader, value_node, source, child, problems)
        # Uses the line of the key, as an empty value has no line of its own.
        items.setdefault(key, converted._replace(line=line))
    return items


def _construct_scalar(
    loader: _Loader, node: Any, source: str, path: str, problems: Problems
) -> Any:
    try:
        return loader.construct_object(node)
    except (yaml.YAMLError, ValueError):
        line = node.start_mark.line + 1
        problems.append(
            errors.Problem(source, line, path, "a plain value", node.tag)
        )
        return None


def add_problem(
    problems: Problems, item: Item, expected: str, got: str | None = None
) -> None:
    """Add the problem that an item is not as expected."""
    problems.append(
        errors.Problem(
            item.source,
            item.line,
            item.path,
            expected,
            format_value(item.value) if got is None else got,
        )
    )


def read_mapping(item: Item | None, problems: Problems) -> dict[str, Item]:
    """Return the items of a mapping, or an empty dict for another value."""
    if item is None:
        return {}
    if isinstance(item.value, dict):
        return item.value
    add_problem(problems, item, "a mapping")
    return {}


def read_fields(
    item: Item | None,
    required: tuple[str, ...],
    optional: tuple[str, ...],
    problems: Problems,
) -> dict[str, Item]:
    """Return the items of a mapping with a fixed set of keys.

    Missing and unknown keys are added to the problems.
    """
    if item is None:
        return {}
    fields = read_mapping(item, problems)
    allowed = (*required, *optional)
    for name, field in fields.items():
        if name not in allowed:
            expected = f"one of {', '.join(allowed)}"
            add_problem(problems, field, expected, "an unknown key")
    if isinstance(item.value, dict):
        for name in required:
            if name not in fields:
                path = f"{item.path}.{name}" if item.path else name
                missing = item._replace(path=path)
                add_problem(problems, missing, "a value", "nothing")
    return {name: fields[name] for name in allowed if name in fields}


def read_list(item: Item | None, problems: Problems) -> list[Item]:
    """Return the items of a list, or an empty list for another value."""
    if item is None:
        return []
    if isinstance(item.value, list):
        return item.value
    add_problem(problems, item, "a list")
    return []


def read_int(
    item: Item | None, minimum: int, maximum: int, problems: Problems
) -> int:
    """Return an integer in a range, or `minimum` if the value is invalid."""
    if item is None:
        return minimum
    if type(item.value) is int and minimum <= item.value <= maximum:
        return item.value
    add_problem(problems, item, f"an integer from {minimum} to {maximum}")
    return minimum


def read_choice(
    item: Item | None, choices: tuple[str, ...], problems: Problems
) -> str:
    """Return one of `choices`, or the first one if the value is invalid."""
    if item is None:
        return choices[0]
    if isinstance(item.value, str) and item.value in choices:
        return item.value
    add_problem(problems, item, f"one of {', '.join(choices)}")
    return choices[0]


def format_value(value: Any) -> str:
    """Return a short text that describes a value in a problem."""
    if value is None:
        return "nothing"
    if type(value) in _COLLECTIONS:
        return _COLLECTIONS[type(value)]
    text = repr(value)
    return (
        text
        if len(text) <= _MAX_VALUE_LENGTH
        else text[:_MAX_VALUE_LENGTH] + "..."
    )
