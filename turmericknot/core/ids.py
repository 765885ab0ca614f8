"""Identifiers of jobs, owners and log records."""

import hashlib
import zlib

JOB_ID_BYTES = 16
INCARNATION_BYTES = 8
RECORD_ID_BYTES = 12


def compute_job_id(team, key, expires_at):
    """Return the 16-byte id of a submission.

    The expiry is part of the identity: a key sent again with another expiry is
    another submission.
    """
    digest = hashlib.blake2b(digest_size=JOB_ID_BYTES)
    for part in (team, key, repr(float(expires_at))):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return digest.digest()


def create_incarnation_id(name, rng):
    """Return the id of one run of a process: its name and a random suffix."""
    return f"{name}#{rng.randbytes(INCARNATION_BYTES).hex()}"


def create_record_id(rng):
    """Return the id by which the writer of a log record finds it again."""
    return rng.randbytes(RECORD_ID_BYTES)


def shard_of_job(job, shard_count):
    """Return the shard of a job id given as text."""
    return zlib.crc32(job.encode()) % shard_count
