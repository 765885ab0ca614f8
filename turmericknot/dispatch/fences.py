"""Fences that an agent enforces by rejecting starts of former owners."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class FencedOwner:
    """Fences against one former owner."""

    all_jobs_fenced_by: str = ""  # entry that took over every job
    jobs: dict[bytes, str] = field(default_factory=dict)  # job -> new owner
    expires_at: float = 0.0  # monotonic


@dataclass(slots=True)
class FenceTable:
    """All fences that an agent has received."""

    lifetime_s: float
    _owners: dict[str, FencedOwner] = field(default_factory=dict)

    def add(self, owner, fenced_by, jobs, now):
        """Add a fence; an empty ``jobs`` list means every job of the owner."""
        fenced = self._owners.setdefault(owner, FencedOwner())
        fenced.expires_at = now + self.lifetime_s
        if not jobs:
            fenced.all_jobs_fenced_by = fenced_by
        for job in jobs:
            fenced.jobs[job] = fenced_by

    def fenced_by(self, owner, job):
        """Return the entry that took the job over from the owner, or ''."""
        fenced = self._owners.get(owner)
        if fenced is None:
            return ""
        return fenced.jobs.get(job) or fenced.all_jobs_fenced_by

    def expire(self, now):
        """Drop expired fences; every key that they concern has expired by then."""
        for owner in [o for o, f in self._owners.items() if f.expires_at < now]:
            del self._owners[owner]


def create_fence_table(lifetime_s):
    """Return an empty table whose fences expire after ``lifetime_s``."""
    return FenceTable(lifetime_s)
