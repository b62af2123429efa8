"""Configuration documents: JSON encoding, succession and lineage.

A document lists the ids of the changes that it is built on (its lineage). A
writer finds out from it whether its own change is part of a newer document.
"""

import json
import uuid

from bronzehold.core import data
from bronzehold.core import json_text
from bronzehold.core import structure
from bronzehold.core import validation

EMPTY = data.Document(revision=0, change_id="", author="", services=())
MAX_LINEAGE_IDS = 64


def new_change_id() -> str:
    """Returns a unique id for a change of the configuration."""
    return uuid.uuid4().hex


def successor(
    old: data.Document, *, author: str, services: tuple[data.Service, ...]
) -> data.Document:
    """Returns the next revision of a document.

    Args:
        old: The document to replace.
        author: The name of the writer.
        services: All services of the new document.
    """
    lineage = (*old.lineage, old.change_id)[-MAX_LINEAGE_IDS:]
    return data.Document(
        revision=old.revision + 1,
        change_id=new_change_id(),
        author=author,
        services=services,
        lineage=tuple(item for item in lineage if item),
    )


def contains(document: data.Document, change_id: str) -> bool:
    """Returns whether a document includes the change with the given id."""
    return change_id == document.change_id or change_id in document.lineage


def encode(document: data.Document) -> bytes:
    """Encodes a document as JSON."""
    plain = structure.unstructure(document)
    return json.dumps(plain, separators=(",", ":")).encode()


def decode(text: bytes, source: str) -> data.Document:
    """Decodes a document; an empty text gives the empty document.

    Args:
        text: The JSON text.
        source: The origin of the text, for the reported problems.

    Raises:
        validation.ProblemsError: The text is not a valid document.
    """
    if not text:
        return EMPTY
    try:
        value = json_text.parse(text)
    except ValueError as exc:
        problem = validation.Problem(
            source=source, location="$", message=str(exc)
        )
        raise validation.ProblemsError((problem,)) from exc
    return structure.structure(value, data.Document, source)
