"""Records of the log stream ``claims`` and the claim table built from them.

The table depends only on the records and their order, so all entries that have
read to the same offset agree on the owner of every job.
"""

from dataclasses import dataclass, field

import msgspec

CLAIMS_STREAM = "claims"
# Claims stay in the table this long after their key expires, so that a key that has
# just expired can be distinguished from one that was never claimed.
EXPIRED_CLAIM_GRACE_S = 30.0


class Record(msgspec.Struct, array_like=True, frozen=True):
    """Base class of the records in the stream."""


class Claim(Record, tag=1):
    """Claim jobs, given as (job id, expiry of the key), for an owner."""

    record_id: bytes
    owner: str
    jobs: list[tuple[bytes, float]]


class Fence(Record, tag=2):
    """Take over jobs from an owner; an empty list means all of its jobs."""

    record_id: bytes
    owner: str
    new_owner: str
    jobs: list[bytes] = []


class Presence(Record, tag=3):
    """Announce the address of an entry."""

    record_id: bytes
    entry_id: str
    incarnation: str
    link_address: str
    failure_domain: str
    region: str


class Roster(Record, tag=4):
    """List agents that may be given claimed jobs from this record on."""

    record_id: bytes
    entry: str
    agents: list[str]


class Cancel(Record, tag=5):
    """Mark jobs of an owner as cancelled, for entries that later take them over."""

    record_id: bytes
    owner: str
    jobs: list[bytes]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Claim | Fence | Presence | Roster | Cancel)


def encode_record(record):
    """Return the bytes of a record."""
    return _encoder.encode(record)


def decode_record(data):
    """Return the record, or None when this version cannot decode it."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None


@dataclass(slots=True)
class Ownership:
    """The owner of a job and its former owners, oldest first."""

    owner: str
    claimed_at: float  # log time of the first claim
    expires_at: float
    former_owners: list[str] = field(default_factory=list)
    cancelled: bool = False


@dataclass(slots=True)
class ClaimTable:
    """Owners of jobs, fenced owners and the roster of agents, as read so far."""

    # Records of an owner fenced for all jobs are ignored for this long: roster_ttl_s,
    # the span of the log that an entry must have read before it starts tasks of a
    # job that it took over.
    fence_duration_s: float
    jobs: dict[bytes, Ownership] = field(default_factory=dict)
    jobs_by_owner: dict[str, set[bytes]] = field(default_factory=dict)
    # Owners fenced for all jobs, with the log time of the fence.
    fully_fenced: dict[str, float] = field(default_factory=dict)
    roster: dict[str, float] = field(default_factory=dict)  # agent -> log time
    next_offset: int = 0
    # Log time from which on all records have been read.
    complete_from: float = float("-inf")
    trimmed: bool = False
    log_time: float = 0.0


def advance_offset(table, offset, time):
    """Advance past the record at the offset; return False if it was read before."""
    if offset < table.next_offset:
        return False
    table.next_offset = offset + 1
    table.log_time = max(table.log_time, time)
    if table.trimmed:
        table.trimmed = False
        table.complete_from = time
    return True


def skip_trimmed(table, first_offset):
    """Skip records below the offset, which the log dropped before they were read."""
    if first_offset > table.next_offset:
        table.next_offset = first_offset
        table.complete_from = float("inf")
        table.trimmed = True


def apply_claim(table, claim, time):
    """Apply a claim, where the first claim of a job wins; return the jobs it names."""
    ignored = _is_fenced(table, claim.owner, time)
    for job, expires_at in claim.jobs:
        if not ignored and job not in table.jobs:
            table.jobs[job] = Ownership(claim.owner, time, expires_at)
            table.jobs_by_owner.setdefault(claim.owner, set()).add(job)
    return [job for job, _ in claim.jobs]


def apply_fence(table, fence, time):
    """Transfer the jobs that the fenced owner still owns and return them."""
    if fence.new_owner == fence.owner or _is_fenced(table, fence.new_owner, time):
        return []
    owned = table.jobs_by_owner.get(fence.owner, set())
    moved = [job for job in fence.jobs if job in owned]
    if not fence.jobs:
        moved = sorted(owned)
        table.fully_fenced.setdefault(fence.owner, time)
    for job in moved:
        _transfer_job(table, job, fence.new_owner)
    return moved


def _is_fenced(table, owner, time):
    """Return True when records of the owner are ignored because of a fence.

    The period is measured in log time, so that entries that began to read at
    different offsets agree. A fenced owner reads its fence before any later record
    of its own, so it acts on none of them.
    """
    fenced_at = table.fully_fenced.get(owner)
    return fenced_at is not None and time - fenced_at <= table.fence_duration_s


def _transfer_job(table, job, owner):
    ownership = table.jobs[job]
    table.jobs_by_owner[ownership.owner].discard(job)
    table.jobs_by_owner.setdefault(owner, set()).add(job)
    ownership.former_owners.append(ownership.owner)
    ownership.owner = owner


def apply_cancel(table, cancel):
    """Mark the jobs that the author of the record still owns; return them."""
    owned = table.jobs_by_owner.get(cancel.owner, set())
    jobs = [job for job in cancel.jobs if job in owned]
    for job in jobs:
        table.jobs[job].cancelled = True
    return jobs


def apply_roster(table, roster, time):
    """Add agents to the roster or refresh their time."""
    for agent in roster.agents:
        table.roster[agent] = max(time, table.roster.get(agent, time))


def eligible_agents(table, job, roster_ttl_s):
    """Return the agents on which former owners of the job may have started tasks.

    Called when the fence is read, so the roster reflects all records before it.
    Returns None when records that may name such an agent were dropped unread.
    """
    oldest = table.jobs[job].claimed_at - roster_ttl_s
    if table.complete_from > oldest:
        return None
    return {agent for agent, time in table.roster.items() if time >= oldest}


def drop_expired_claims(table, wall, keep_s):
    """Drop expired claims, and roster and fence entries older than ``keep_s``."""
    expired = [
        job
        for job, ownership in table.jobs.items()
        if wall > ownership.expires_at + EXPIRED_CLAIM_GRACE_S
    ]
    for job in expired:
        owned = table.jobs_by_owner[table.jobs.pop(job).owner]
        owned.discard(job)
    for owner in [owner for owner, jobs in table.jobs_by_owner.items() if not jobs]:
        del table.jobs_by_owner[owner]
    oldest = table.log_time - keep_s
    for agent in [agent for agent, time in table.roster.items() if time < oldest]:
        del table.roster[agent]
    for owner in [owner for owner, time in table.fully_fenced.items() if time < oldest]:
        del table.fully_fenced[owner]
