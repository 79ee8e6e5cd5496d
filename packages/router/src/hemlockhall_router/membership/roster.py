"""Known hosts, their liveness, and the choice of hubs and store watchers."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from hemlockhall_router.membership.message import Contact

if TYPE_CHECKING:
    from hemlockhall_router.process.timing import Timing

# With two, one hub may fail and the other one takes over without a delay.
HUBS_PER_DATA_CENTRE = 2
# Seconds for which the list of live hosts is cached: each message needs it.
VIEW_TTL_S = 0.05
# Seconds after the last sign of life of a host, or after it was added, until it is
# dropped.
FORGET_S = 30.0


@dataclass(slots=True)
class Member:
    """A known host; times are monotonic, in seconds.

    ``last_seen_at`` is when this or another host last received a message from it,
    ``added_at`` when it was added here, ``unanswered_since`` the time of the first
    message to it that it has not answered, or None.
    """

    contact: Contact
    last_seen_at: float
    added_at: float
    unanswered_since: float | None = None


class Roster:
    """All known hosts by name, without this one.

    Parameters
    ----------
    own : Contact
        This host.
    timing : Timing
        Provides the time without a message after which a host counts as dead.
    """

    def __init__(self, own: Contact, timing: Timing) -> None:
        self.own = own
        self._timing = timing
        self.members: dict[str, Member] = {}
        self._view: dict[str, list[Member]] = {}
        self._hubs: dict[str, list[Contact]] = {}
        self._view_deadline = float("-inf")

    def update_own(
        self, *, leaving: bool, store_unreachable: bool, demand: int
    ) -> None:
        """Update the state of this host that its contact tells the others."""
        contact = msgspec.structs.replace(
            self.own,
            leaving=leaving,
            store_unreachable=store_unreachable,
            demand=demand,
        )
        if contact == self.own:
            return
        self.own = contact
        self._view_deadline = float("-inf")

    def record_message(self, contact: Contact, now: float) -> bool:
        """Record a message from a host; return whether it is the first of its run."""
        known = self.members.get(contact.name)
        new_run = known is None or known.contact.boot != contact.boot
        member = self._record(contact, now, now)
        if member is None:
            return False
        member.unanswered_since = None
        return new_run

    def record_contact(self, contact: Contact, now: float) -> None:
        """Record a contact that another host passed on."""
        self._record(contact, now - contact.age_ms / 1000, now)

    def _record(
        self, contact: Contact, last_seen_at: float, now: float
    ) -> Member | None:
        if contact.name == self.own.name:
            return None
        member = self.members.get(contact.name)
        if member is None:
            if now - last_seen_at > FORGET_S:
                return None
            member = Member(contact, last_seen_at, now)
            self.members[contact.name] = member
            self._view_deadline = float("-inf")
            return member
        # Of two runs or two addresses of a host, the one seen last is used.
        if last_seen_at > member.last_seen_at:
            if member.contact.boot != contact.boot:
                member.unanswered_since = None
                self._view_deadline = float("-inf")
            member.contact = contact
            member.last_seen_at = last_seen_at
        return member

    def record_request(self, name: str, now: float) -> None:
        """Record a message to a host that it should answer."""
        member = self.members.get(name)
        if member is not None and member.unanswered_since is None:
            member.unanswered_since = now

    def live(self, now: float) -> list[Member]:
        """Return the live hosts, from a view that is at most ``VIEW_TTL_S`` old."""
        return [
            m for members in self._live_by_data_centre(now).values() for m in members
        ]

    def data_centres(self, now: float) -> list[str]:
        """Return the data centres of the live hosts."""
        return list(self._live_by_data_centre(now))

    def hubs(self, data_centre: str, now: float) -> list[Contact]:
        """Return the hubs of a data centre, including this host if it is one.

        A host that does not answer this one is skipped, even if other hosts
        receive messages from it.
        """
        members = self._live_by_data_centre(now).get(data_centre, [])
        if data_centre in self._hubs:
            return self._hubs[data_centre]
        found = [m.contact for m in members if self._answers(m, now)]
        if data_centre == self.own.data_centre:
            found.append(self.own)
        self._hubs[data_centre] = sorted(found, key=_rank)[:HUBS_PER_DATA_CENTRE]
        return self._hubs[data_centre]

    def unanswering(self, now: float) -> list[Contact]:
        """Return the live hosts of this data centre that do not answer this one.

        They are ranked like hubs. Other hosts receive messages from them.
        """
        members = self._live_by_data_centre(now).get(self.own.data_centre, [])
        return sorted(
            (m.contact for m in members if not self._answers(m, now)), key=_rank
        )

    def _answers(self, member: Member, now: float) -> bool:
        since = member.unanswered_since
        return since is None or now - since <= self._timing.host_timeout_s

    def store_watchers(self, count: int, now: float) -> list[str]:
        """Return the names of the store watchers of this data centre.

        A host that cannot reach the store is replaced by the next one; if none
        can reach it, the highest-ranked ones keep trying.
        """
        contacts = [
            m.contact
            for m in self._live_by_data_centre(now).get(self.own.data_centre, [])
        ]
        contacts.append(self.own)
        ordered = sorted(contacts, key=_rank)
        connected = [contact for contact in ordered if not contact.store_unreachable]
        return [contact.name for contact in (connected or ordered)[:count]]

    def is_hub(self, now: float) -> bool:
        """Return whether this host is a hub of its data centre."""
        hubs = self.hubs(self.own.data_centre, now)
        return any(contact.name == self.own.name for contact in hubs)

    def silent(self, now: float) -> list[Member]:
        """Return the hosts that count as dead but are not dropped yet."""
        timeout_s = self._timing.host_timeout_s
        return [m for m in self.members.values() if now - m.last_seen_at >= timeout_s]

    def contacts(self, data_centre: str, now: float) -> list[Contact]:
        """Return the contacts that a host of a data centre should know.

        All live hosts of its own data centre, as it chooses the next hub among
        them, and the hubs of the other data centres.
        """
        found = []
        for name, members in self._live_by_data_centre(now).items():
            hubs = {contact.name for contact in self.hubs(name, now)}
            for member in members:
                if name == data_centre or member.contact.name in hubs:
                    found.append(_with_age(member, now))
        return found

    def _live_by_data_centre(self, now: float) -> dict[str, list[Member]]:
        """Return the live hosts by data centre, cached for ``VIEW_TTL_S``."""
        if now < self._view_deadline:
            return self._view
        self._view_deadline = now + VIEW_TTL_S
        self._view = {}
        self._hubs = {}
        timeout_s = self._timing.host_timeout_s
        for member in self.members.values():
            if now - member.last_seen_at < timeout_s:
                self._view.setdefault(member.contact.data_centre, []).append(member)
        return self._view

    def forget(self, now: float) -> list[Contact]:
        """Drop and return the hosts last seen and added over ``FORGET_S`` ago."""
        dropped = []
        for name, member in list(self.members.items()):
            if now - max(member.last_seen_at, member.added_at) > FORGET_S:
                dropped.append(self.members.pop(name).contact)
        return dropped


def _rank(contact: Contact) -> tuple[bool, int, int, str]:
    # The checksum of the name spreads the hubs over hosts of equal capacity.
    spread = zlib.crc32(contact.name.encode())
    return (contact.leaving, -contact.capacity, spread, contact.name)


def _with_age(member: Member, now: float) -> Contact:
    age_ms = max(0, int((now - member.last_seen_at) * 1000))
    return msgspec.structs.replace(member.contact, age_ms=age_ms)


__all__ = [
    "HUBS_PER_DATA_CENTRE",
    "Member",
    "Roster",
]
