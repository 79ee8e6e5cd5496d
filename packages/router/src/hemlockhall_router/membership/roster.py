"""The hosts that this one knows, and which of them are hubs."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from hemlockhall_router.membership.message import Contact

if TYPE_CHECKING:
    from hemlockhall_router.process.timing import Timing

# Hubs of a data centre: one may fail without anybody waiting for the next.
HUBS_PER_DATA_CENTRE = 2
# Seconds for which a look at who lives is good: each message needs one.
VIEW_TTL_S = 0.05
# Seconds after which a host that nobody hears is no longer tried.
FORGET_S = 30.0


@dataclass(slots=True)
class Member:
    """A host, as known here; times are monotonic.

    ``heard_at`` is when it was known to live, by whomever; ``asked_at`` the time of
    the first message to it that it has not answered, or None.
    """

    contact: Contact
    last_seen_at: float
    added_at: float
    unanswered_since: float | None = None


class Roster:
    """All hosts by name; this one is none of them.

    Parameters
    ----------
    own : Contact
        This host.
    timing : Timing
        From when on a silent host counts as dead.
    """

    def __init__(self, own: Contact, timing: Timing) -> None:
        self.own = own
        self._timing = timing
        self.members: dict[str, Member] = {}
        self._view: dict[str, list[Member]] = {}
        self._hubs: dict[str, list[Contact]] = {}
        self._view_deadline = float("-inf")

    def update_own(self, *, leaving: bool, store_unreachable: bool) -> None:
        """Note what changed about this host; another one takes its part then."""
        if (leaving, store_unreachable) == (
            self.own.leaving,
            self.own.store_unreachable,
        ):
            return
        self.own = msgspec.structs.replace(
            self.own, leaving=leaving, store_unreachable=store_unreachable
        )
        self._view_deadline = float("-inf")

    def record_message(self, contact: Contact, now: float) -> bool:
        """Note a message from a host; return whether this run of it is new."""
        known = self.members.get(contact.name)
        new_run = known is None or known.contact.boot != contact.boot
        member = self._record(contact, now, now)
        if member is None:
            return False
        member.unanswered_since = None
        return new_run

    def record_contact(self, contact: Contact, now: float) -> None:
        """Note what another host says of one."""
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
        # Of two runs of a host, or two addresses, the one heard last counts.
        if last_seen_at > member.last_seen_at:
            if member.contact.boot != contact.boot:
                member.unanswered_since = None
                self._view_deadline = float("-inf")
            member.contact = contact
            member.last_seen_at = last_seen_at
        return member

    def record_request(self, name: str, now: float) -> None:
        """Note a message to a host that should be answered."""
        member = self.members.get(name)
        if member is not None and member.unanswered_since is None:
            member.unanswered_since = now

    def live(self, now: float) -> list[Member]:
        """Return the hosts that were known to live a moment ago."""
        return [
            m for members in self._live_by_data_centre(now).values() for m in members
        ]

    def data_centres(self, now: float) -> list[str]:
        """Return the data centres of the live hosts."""
        return list(self._live_by_data_centre(now))

    def hubs(self, data_centre: str, now: float) -> list[Contact]:
        """Return the hubs of a data centre, this host among them if it is one.

        A host that does not answer this one is no hub to it, whoever else
        hears it.
        """
        members = self._live_by_data_centre(now).get(data_centre, [])
        if data_centre in self._hubs:
            return self._hubs[data_centre]
        found = []
        for member in members:
            unanswered_since = member.unanswered_since
            if (
                unanswered_since is None
                or now - unanswered_since <= self._timing.host_timeout_s
            ):
                found.append(member.contact)
        if data_centre == self.own.data_centre:
            found.append(self.own)
        self._hubs[data_centre] = sorted(found, key=_rank)[:HUBS_PER_DATA_CENTRE]
        return self._hubs[data_centre]

    def store_watchers(self, count: int, now: float) -> list[str]:
        """Return which hosts of this data centre follow the store, by name.

        One that the store turns away hands over to the next; if it turns all
        away, the first ones go on trying.
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
        """Return the hosts that are not heard, but may be back."""
        timeout_s = self._timing.host_timeout_s
        return [m for m in self.members.values() if now - m.last_seen_at >= timeout_s]

    def contacts(self, data_centre: str, now: float) -> list[Contact]:
        """Return whom a host of a data centre should know.

        All live hosts of its own, as it chooses the next hub among them, and
        the hubs of the others.
        """
        found = []
        for name, members in self._live_by_data_centre(now).items():
            hubs = {contact.name for contact in self.hubs(name, now)}
            for member in members:
                if name == data_centre or member.contact.name in hubs:
                    found.append(_with_age(member, now))
        return found

    def _live_by_data_centre(self, now: float) -> dict[str, list[Member]]:
        """Return the live hosts by data centre, as of a moment ago."""
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
        """Drop the hosts that were not heard for long, and return them."""
        gone = []
        for name, member in list(self.members.items()):
            if now - max(member.last_seen_at, member.added_at) > FORGET_S:
                gone.append(self.members.pop(name).contact)
        return gone


def _rank(contact: Contact) -> tuple[bool, int, int, str]:
    # The name's checksum spreads hubs over hosts of equal power.
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
