"""The document: pydantic models for validation, data classes for use."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hemlockhall_core.process.setting import Address
from hemlockhall_core.version.error import DocumentError, Fault
from hemlockhall_core.version.text import find_line, parse

Positive = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(gt=0)]


class Entry(BaseModel):
    """Base of the entries of the document; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", strict=True)


class ModelEntry(Entry):
    """A model; ``deadline_s`` applies to requests without a deadline.

    ``version`` is validated, but :func:`build` does not use it.
    """

    version: str
    layers: Count
    deadline_s: Positive = 30.0
    max_tokens: Count = 512


class AdapterEntry(Entry):
    """An adapter of a model; callers request it by name like a model."""

    model: str


class PriorityEntry(Entry):
    """A priority; a lower rank is served first."""

    rank: Annotated[int, Field(ge=0)]


class CustomerEntry(Entry):
    """A customer, identified by the SHA-256 of its API key, and its limits."""

    key_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    priority: str
    rate_per_s: Positive
    concurrency: Count


class EndpointEntry(Entry):
    """An endpoint: an engine with a half-open layer range, or a plain service.

    ``address`` is the link address of its side process. ``speed`` divides the cost
    of a request there, so it is relative to other endpoints. ``kind`` does not affect
    the choice of endpoints.
    """

    address: Address
    data_centre: str
    kind: str = "plain"
    speed: Positive = 1.0
    model: str | None = None
    layers: Annotated[list[int], Field(min_length=2, max_length=2)] | None = None
    service: str | None = None


class CallRule(Entry):
    """A permitted call of a service; a ``path`` that ends in ``*`` is a prefix."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path: Annotated[str, Field(pattern=r"^/")]
    idempotent: bool


class ServiceEntry(Entry):
    """A plain service and its permitted calls."""

    deadline_s: Positive = 10.0
    calls: Annotated[list[CallRule], Field(min_length=1)]


class DocumentModel(Entry):
    """The document."""

    models: dict[str, ModelEntry] = {}
    adapters: dict[str, AdapterEntry] = {}
    priorities: dict[str, PriorityEntry] = {}
    customers: dict[str, CustomerEntry] = {}
    endpoints: dict[str, EndpointEntry] = {}
    services: dict[str, ServiceEntry] = {}


SECTIONS = tuple(DocumentModel.model_fields)
# Sections that a side process keeps.
SIDE_SECTIONS = ("endpoints", "services")


@dataclass(frozen=True)
class Model:
    """A model or an adapter; ``base`` is the model that serves it."""

    name: str
    base: str
    adapter: str
    layers: int
    default_timeout_s: float
    max_tokens: int


@dataclass(frozen=True)
class Customer:
    """A customer; its limits apply to all entry hosts together."""

    name: str
    rank: int
    rate_per_s: float
    concurrency: int


@dataclass(frozen=True)
class Endpoint:
    """An endpoint: an engine with a model and layers, or a plain service.

    The layers are half-open: ``first_layer`` is included, ``end_layer`` is not.
    """

    name: str
    address: str
    data_centre: str
    kind: str
    speed: float
    model: str
    first_layer: int
    end_layer: int
    service: str


@dataclass(frozen=True)
class Rule:
    """A permitted call of a service, and whether it may be repeated."""

    method: str
    path: str
    idempotent: bool

    def matches(self, method: str, path: str) -> bool:
        """Return whether the rule applies to a call."""
        if method != self.method:
            return False
        if self.path.endswith("*"):
            return path.startswith(self.path[:-1])
        return path == self.path


@dataclass(frozen=True)
class Service:
    """A plain service and its rules."""

    name: str
    default_timeout_s: float
    rules: tuple[Rule, ...]

    def find_rule(self, method: str, path: str) -> Rule | None:
        """Return the first rule that applies to a call, or None."""
        for rule in self.rules:
            if rule.matches(method, path):
                return rule
        return None


@dataclass(frozen=True)
class Document:
    """A version of the document; customers are keyed by ``key_sha256``."""

    version: int
    models: dict[str, Model] = field(default_factory=dict)
    customers: dict[str, Customer] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)


def validate(text: str) -> DocumentModel:
    """Validate a document; raise :class:`DocumentError` with all errors."""
    raw = parse(text)
    faults: list[Fault] = []
    try:
        model = DocumentModel.model_validate(raw)
    except ValidationError as exc:
        for error in exc.errors():
            location = tuple(error["loc"])
            name = ".".join(str(part) for part in location)
            message = f"{error['msg']}; got {_truncate(error['input'])}"
            faults.append(Fault(name, find_line(text, location), message))
        raise DocumentError(faults) from exc
    faults = _cross_check(model, text)
    if faults:
        raise DocumentError(faults)
    return model


def _truncate(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _cross_check(model: DocumentModel, text: str) -> list[Fault]:
    faults: list[Fault] = []

    def add_fault(message: str, *location: str) -> None:
        faults.append(Fault(".".join(location), find_line(text, location), message))

    for name, adapter in model.adapters.items():
        if adapter.model not in model.models:
            add_fault(f"no model {adapter.model!r}; add it", "adapters", name, "model")
        if name in model.models:
            add_fault("a model has the same name; rename one", "adapters", name)
    keys: dict[str, str] = {}
    for name, customer in model.customers.items():
        if customer.priority not in model.priorities:
            message = f"no priority {customer.priority!r}; add it"
            add_fault(message, "customers", name, "priority")
        other = keys.setdefault(customer.key_sha256, name)
        if other != name:
            message = f"same key as customer {other!r}; give each its own"
            add_fault(message, "customers", name, "key_sha256")
    addresses: dict[str, str] = {}
    for name, endpoint in model.endpoints.items():
        other = addresses.setdefault(endpoint.address, name)
        if other != name:
            message = f"same address as endpoint {other!r}; give each its own"
            add_fault(message, "endpoints", name, "address")
        message = _endpoint_fault(endpoint, model)
        if message:
            add_fault(message, "endpoints", name)
    return faults


def _endpoint_fault(endpoint: EndpointEntry, model: DocumentModel) -> str:
    if (endpoint.model is None) == (endpoint.service is None):
        return "needs either model and layers, or service"
    if endpoint.service is not None:
        if endpoint.service not in model.services:
            return f"no service {endpoint.service!r}; add it"
        return ""
    if endpoint.model not in model.models:
        return f"no model {endpoint.model!r}; add it"
    if endpoint.layers is None:
        return "needs layers, such as [0, 8]"
    first, last = endpoint.layers
    count = model.models[endpoint.model].layers
    if not 0 <= first < last <= count:
        return f"layers {endpoint.layers} are not a range within 0 to {count}"
    return ""


def build(text: str, version: int) -> Document:
    """Build a document from a validated text.

    References between sections are not checked again: ``validate`` did so at
    submission, and a side process has only some of the sections.
    """
    model = DocumentModel.model_validate(parse(text))
    document = Document(version)
    for name, entry in model.models.items():
        document.models[name] = _model(name, "", name, entry)
    for name, adapter in model.adapters.items():
        base = model.models.get(adapter.model)
        if base is not None:
            document.models[name] = _model(name, name, adapter.model, base)
    for name, customer in model.customers.items():
        document.customers[customer.key_sha256] = Customer(
            name,
            model.priorities[customer.priority].rank,
            customer.rate_per_s,
            customer.concurrency,
        )
    for name, endpoint in model.endpoints.items():
        first, last = endpoint.layers or (0, 0)
        document.endpoints[name] = Endpoint(
            name,
            endpoint.address,
            endpoint.data_centre,
            endpoint.kind,
            endpoint.speed,
            endpoint.model or "",
            first,
            last,
            endpoint.service or "",
        )
    for name, service in model.services.items():
        rules = [Rule(c.method, c.path, c.idempotent) for c in service.calls]
        document.services[name] = Service(name, service.deadline_s, tuple(rules))
    return document


def _model(name: str, adapter: str, base: str, entry: ModelEntry) -> Model:
    return Model(name, base, adapter, entry.layers, entry.deadline_s, entry.max_tokens)


__all__ = [
    "SECTIONS",
    "SIDE_SECTIONS",
    "Customer",
    "Document",
    "Endpoint",
    "Model",
    "Rule",
    "Service",
    "build",
    "validate",
]
