"""Decodes JSON texts that other programs have written.

The decoder of the standard library recurses with each level of nesting. On the
small stacks of this program's threads, a deeply nested text ends it with
RecursionError, or the process with a fault. Nesting is therefore limited first.
"""

import json
import re

# The entries and configurations that the proxies read have up to five levels.
MAX_NESTING = 64
# A string, up to the end of the text if it is not closed, or one bracket.
_TOKEN = re.compile(r'"(?:[^"\\]++|\\.)*+"?|[\[\]{}]', re.DOTALL)


def parse(text: bytes | str) -> object:
    """Parses a JSON text.

    Args:
        text: The text, in UTF-8 if it is bytes.

    Raises:
        ValueError: It is not valid JSON, is nested too deeply, or holds a
            number that Python does not read.
    """
    if isinstance(text, bytes):
        text = text.decode()
    if _is_too_deep(text):
        raise ValueError(f"is nested more than {MAX_NESTING} levels deep")
    return json.loads(text)


def _is_too_deep(text: str) -> bool:
    if text.count("[") + text.count("{") <= MAX_NESTING:
        return False
    depth = 0
    for match in _TOKEN.finditer(text):
        token = match[0]
        if token in ("[", "{"):
            depth += 1
            if depth > MAX_NESTING:
                return True
        elif token in ("]", "}"):
            depth -= 1
    return False
