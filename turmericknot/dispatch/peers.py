"""Other entries: their presence, links and messages about jobs."""

import msgspec

from turmericknot.dispatch import (
    answers,
    appends,
    cancellation,
    liveness,
    ownership,
    submissions,
)
from turmericknot.dispatch.commands import DialEntry
from turmericknot.dispatch.entry_state import Peer, Phase, emit, send
from turmericknot.dispatch.tasks import Answer, JobStatus, Reason
from turmericknot.wire import messages
from turmericknot.wire.messages import EntryAddress, JobLocation

_answer_decoder = msgspec.msgpack.Decoder(Answer)

# Phases in which this entry runs the job or can get the answer from its owner.
KNOWN_PHASES = (
    Phase.RUNNING,
    Phase.CANCELLING,
    Phase.INVENTORY,
    Phase.FENCING,
    Phase.FOLLOWING,
    Phase.ENDED,
)


def presence_read(state, presence):
    """Register an entry and dial it if its id is greater than this one's."""
    if presence.incarnation == state.incarnation:
        return
    address = EntryAddress(
        presence.entry_id,
        presence.incarnation,
        presence.link_address,
        presence.failure_domain,
        presence.region,
    )
    peer = _get_or_create_peer(state, address)
    if presence.entry_id == state.address.entry_id:
        # This process has the entry id now, so the earlier one has terminated.
        _mark_terminated(state, peer)
        return
    _mark_earlier_terminated(state, address)
    if peer.stream is None and state.address.entry_id < presence.entry_id:
        emit(state, DialEntry(presence.entry_id, presence.link_address))


def _mark_earlier_terminated(state, address):
    """Mark an incarnation as terminated if another wrote a later presence record."""
    previous = state.newest_presence.get(address.entry_id)
    state.newest_presence[address.entry_id] = address.incarnation
    if previous not in (None, address.incarnation) and previous in state.peers:
        peer = state.peers[previous]
        if peer.stream is None:
            _mark_terminated(state, peer)


def _get_or_create_peer(state, address):
    peer = state.peers.get(address.incarnation)
    if peer is None:
        peer = Peer(address)
        state.peers[address.incarnation] = peer
    peer.last_seen_at = max(peer.last_seen_at, state.wall)
    return peer


def peer_connected(state, event):
    """Handle a newly opened link to a peer."""
    address = event.hello.address
    peer = _get_or_create_peer(state, address)
    if peer.stream is not None:
        _disconnect_peer(state, peer)
    peer.stream = event.stream
    peer.terminated = False
    peer.terminated_at = float("inf")
    state.peer_streams[event.stream] = peer
    liveness.peer_connected(state, event.stream, address)
    _mark_older_terminated(state, address)
    ownership.peer_connected(state, peer)


def _mark_older_terminated(state, address):
    """Mark older incarnations of an entry as terminated: a newer one connected."""
    for peer in list(state.peers.values()):
        older = peer.address.incarnation != address.incarnation
        if older and peer.address.entry_id == address.entry_id:
            if peer.stream is not None:
                _disconnect_peer(state, peer)
            _mark_terminated(state, peer)


def _mark_terminated(state, peer):
    """Mark a peer as terminated: the process of this incarnation has ended."""
    peer.terminated = True
    if peer.terminated_at > state.now:
        # After this read of the log, all of its claims are in the table.
        peer.terminated_at = state.now
        appends.request_read(state)
    ownership.peer_terminated(state, peer)


def peer_disconnected(state, event):
    """Handle the loss of a link to a peer."""
    peer = state.peer_streams.get(event.stream)
    if peer is not None:
        _disconnect_peer(state, peer)
        ownership.peer_disconnected(state, peer)


def _disconnect_peer(state, peer):
    del state.peer_streams[peer.stream]
    liveness.peer_disconnected(state, peer.stream)
    state.policy.peer_lost(state.scheduler, peer.address.entry_id, state.now)
    peer.stream = None
    peer.last_seen_at = state.wall


def peer_unreachable(state, event):
    """Handle a failed attempt to dial an entry."""
    for peer in list(state.peers.values()):
        if peer.address.entry_id != event.entry_id or peer.stream is not None:
            continue
        if event.refused:
            _mark_terminated(state, peer)


def await_job_received(state, stream, message):
    """Answer a peer once the job has ended."""
    job = _find_job(state, stream, message)
    if job is None:
        return
    if job.spec is not None and message.digest not in (b"", job.spec.digest):
        answer = Answer(job.id, JobStatus.FAILED, Reason.KEY_CONFLICT)
        answers.answer_peer(state, stream, message.request, job.id, answer)
        return
    _answer_when_ended(state, stream, message, job)


def _find_job(state, stream, message):
    """Return the job; if it is unknown, answer NOT_FOUND and return None."""
    job = state.jobs.get(message.job)
    if job is None:
        answer = Answer(message.job, JobStatus.UNKNOWN, Reason.NOT_FOUND)
        answers.answer_peer(state, stream, message.request, message.job, answer)
    return job


def _answer_when_ended(state, stream, message, job):
    if job.phase is Phase.ENDED:
        answers.answer_peer(state, stream, message.request, job.id, job.answer)
    else:
        job.peer_requests.append((stream, message.request))
        submissions.renew_refusal(state, job)


def cancel_job_received(state, stream, message):
    """Cancel a job on behalf of another entry."""
    job = _find_job(state, stream, message)
    if job is not None:
        _answer_when_ended(state, stream, message, job)
        cancellation.cancel_job(state, job)


def job_answer_received(state, stream, message):
    """Handle the answer of the entry that owns a job."""
    ownership.owner_answered(state, message, _answer_decoder.decode(message.answer))


def locate_job_received(state, stream, message):
    """Answer whether this entry runs the job or knows its owner."""
    job = state.jobs.get(message.job)
    known = job is not None and job.phase in KNOWN_PHASES
    send(state, stream, JobLocation(message.request, message.job, known))


def digest_received(state, stream, message):
    """Pass a peer's load digest to the scheduling policy."""
    peer = state.peer_streams[stream]
    state.policy.peer_digest(state.scheduler, peer.address.entry_id, message, state.now)


MESSAGE_HANDLERS = {
    messages.AwaitJob: await_job_received,
    messages.JobAnswer: job_answer_received,
    messages.LocateJob: locate_job_received,
    messages.JobLocation: submissions.location_received,
    messages.CancelJob: cancel_job_received,
    messages.TeamDigest: digest_received,
    messages.AgentStates: liveness.agents_reported,
    messages.Heartbeat: liveness.ignore_heartbeat,
}


def peer_message_received(state, event):
    """Handle a message on the open link of a peer."""
    handler = MESSAGE_HANDLERS.get(type(event.message))
    if event.stream not in state.peer_streams:
        return
    liveness.record_peer_activity(state, event.stream)
    if handler is not None:
        handler(state, event.stream, event.message)


def send_digest(state):
    """Send every peer the load of the teams whose load has changed."""
    report = state.policy.due_digest(state.scheduler, state.now)
    if report is not None:
        for stream in state.peer_streams:
            send(state, stream, report)


def forget_old_incarnations(state):
    """Forget incarnations too old to have run a job whose key is still valid.

    Done only while the log is readable, because otherwise presence records of live
    peers are missed.
    """
    claims = state.settings.claims
    readable = state.now - state.claims_current_as_of < claims.presence_refresh_s
    oldest = state.wall - claims.max_key_lifetime_s - 2 * claims.max_clock_skew_s
    for peer in list(state.peers.values()):
        if peer.stream is not None:
            peer.last_seen_at = state.wall
        elif readable and peer.last_seen_at < oldest:
            del state.peers[peer.address.incarnation]
