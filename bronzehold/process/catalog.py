"""The services of this proxy and the configuration document they come from."""

import collections.abc
import dataclasses
import threading

from bronzehold.core import data
from bronzehold.core import events
from bronzehold.core import validation
from bronzehold.process import service as service_lib
from bronzehold.version import config


class Catalog:
    """Applies configuration documents; older revisions are ignored.

    Attributes:
        document: The document in force.
        encoded: Its encoded form, as it is sent to peers.
    """

    def __init__(self, *, env: service_lib.Environment):
        self._env = env
        self._lock = threading.Lock()
        self._services: dict[str, service_lib.ServiceRuntime] = {}
        self._leaving: frozenset[str] = frozenset()
        self.document: data.Document = config.EMPTY
        self.encoded = b""

    @property
    def revision(self) -> int:
        """The revision of the document in force."""
        return self.document.revision

    def adopt(self, encoded: bytes, source: str) -> None:
        """Applies a document if it is newer than the one in force.

        A document that is invalid is recorded in the timeline and ignored.

        Args:
            encoded: The encoded document.
            source: Origin of the document, for the timeline.
        """
        if not encoded:
            return
        try:
            document = config.decode(encoded, source)
        except validation.ProblemsError as exc:
            self._env.timeline.add(
                events.ConfigRefused(source=source, problems=str(exc))
            )
            return
        with self._lock:
            if document.revision <= self.document.revision:
                return
            self._apply(document)
            self.document = document
            self.encoded = encoded
        self._env.timeline.add(
            events.ConfigAdopted(revision=document.revision, source=source)
        )

    def mark_leaving(self, names: frozenset[str]) -> None:
        """Sets the endpoints that the platform lists as leaving."""
        with self._lock:
            if names != self._leaving:
                self._leaving = names
                self._apply(self.document)

    def _apply(self, document: data.Document) -> None:
        services = {
            service.name: mark_endpoints_leaving(service, self._leaving)
            for service in document.services
        }
        for name in set(self._services) - set(services):
            self._services.pop(name).close()
        for name, service in services.items():
            if name in self._services:
                self._services[name].replace(service)
            else:
                self._services[name] = service_lib.ServiceRuntime(
                    env=self._env, service=service
                )

    def find(self, name: str) -> service_lib.ServiceRuntime | None:
        """Returns the service of a name, None if there is none."""
        return self._services.get(name)

    def all(self) -> collections.abc.Collection[service_lib.ServiceRuntime]:
        """Returns all services."""
        return list(self._services.values())

    def resize(self) -> None:
        """Applies this proxy's current share of the limits to every pool."""
        for served in self.all():
            served.resize()

    def close(self) -> None:
        """Closes every service."""
        with self._lock:
            for served in self._services.values():
                served.close()


def mark_endpoints_leaving(
    service: data.Service, names: frozenset[str]
) -> data.Service:
    """Returns a copy of a service with the named endpoints marked leaving."""
    if not any(ep.name in names for ep in service.endpoints):
        return service
    endpoints = tuple(
        dataclasses.replace(ep, leaving=ep.leaving or ep.name in names)
        for ep in service.endpoints
    )
    return dataclasses.replace(service, endpoints=endpoints)
