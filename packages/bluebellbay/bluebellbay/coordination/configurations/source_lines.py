"""Lines of the entries of a JSON document."""

import yaml

# Valid UTF-8 and JSON can still be more than the parser of YAML accepts.
_PARSER_EXCEPTIONS = (yaml.YAMLError, ValueError, RecursionError)


class SourceLines:
    """Looks up the line of an entry by its path.

    JSON is read by the parser of YAML, which keeps the lines. A document that
    it can't read has no paths.

    :param source: The document.
    """

    def __init__(self, source: bytes) -> None:
        self._source = source
        self._line_by_path: dict[str, int] = {"": 1}
        try:
            # YAML takes tabs for no white space; strings of JSON hold none.
            text = source.decode("utf-8").replace("\t", " ")
            root = yaml.compose(text, Loader=yaml.CSafeLoader)
            if root is not None:
                self._add_node("", root)
        except _PARSER_EXCEPTIONS:
            self._line_by_path = {"": 1}

    def find_line(self, path: str) -> int | None:
        """Find the line of an entry.

        :param path: Path, such as ``routes[3].service``.
        :returns: The line, from 1, of the entry or of the innermost entry
            around it that the document has; ``None`` if there is none.
        """
        while path and path not in self._line_by_path:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self._line_by_path[path] if path else None

    def find_line_of_byte(self, byte: int) -> int:
        """Find the line of a byte.

        :param byte: Number of the byte, from 0.
        :returns: The line, from 1.
        """
        return self._source.count(b"\n", 0, byte) + 1

    def _add_node(self, path: str, node: yaml.Node) -> None:
        self._line_by_path.setdefault(path, node.start_mark.line + 1)
        if isinstance(node, yaml.MappingNode):
            for name, value in node.value:
                inner = f"{path}.{name.value}" if path else str(name.value)
                self._line_by_path.setdefault(inner, name.start_mark.line + 1)
                self._add_node(inner, value)
        elif isinstance(node, yaml.SequenceNode):
            for index, value in enumerate(node.value):
                self._add_node(f"{path}[{index}]", value)
