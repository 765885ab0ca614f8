"""Identifiers of jobs, process incarnations and log records."""

import hashlib
import zlib

JOB_ID_BYTES = 16
INCARNATION_SUFFIX_BYTES = 8
RECORD_ID_BYTES = 12


def compute_job_id(team, key, expires_at):
    """Return the 16-byte job id of a submission.

    The expiry is part of the identity: the same key with a different expiry is a
    different submission.
    """
    digest = hashlib.blake2b(digest_size=JOB_ID_BYTES)
    for part in (team, key, repr(float(expires_at))):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return digest.digest()


def create_incarnation_id(name, rng):
    """Return a process incarnation id: the process name and a random suffix."""
    return f"{name}#{rng.randbytes(INCARNATION_SUFFIX_BYTES).hex()}"


def create_record_id(rng):
    """Return a random id that lets a writer recognize its own log record."""
    return rng.randbytes(RECORD_ID_BYTES)


def shard_of_job(job_id, shard_count):
    """Return the shard of ``job_id``, a string."""
    return zlib.crc32(job_id.encode()) % shard_count
