"""The subcommands of ``turmericknot config``; each returns a CommandResult."""

import functools
import getpass
import random
import time
from dataclasses import dataclass

import tomli_w

from turmericknot.clients.log_client import create_log_client
from turmericknot.configtree.files import (
    find_edit,
    load_base,
    load_directory,
    write_base,
    write_subtrees,
)
from turmericknot.configtree.publish import (
    IN_FORCE_TIMEOUT_S,
    PUBLISH_TIMEOUT_S,
    PublishStatus,
    StreamReader,
    create_change,
    publish as publish_record,
    wait_until_in_force,
)
from turmericknot.configtree.records import Change, Restore, touched_subtrees
from turmericknot.configtree.schema import suggest_spelling
from turmericknot.configtree.tree import (
    Verdict,
    conflicting_subtrees,
    get_subtree,
    subtrees_by_name,
)
from turmericknot.core.exceptions import TurmericknotError
from turmericknot.core.ids import create_record_id

# Result codes; configuration.py maps them to the exit codes of the command.
OK = 0
FAILED = 1  # nothing was published, or the command ended with an error
CONFLICT = 2
UNKNOWN = 3  # the change may still take effect
NOT_IN_FORCE = 4  # published, but some processes did not report it in time


@dataclass(slots=True)
class CommandResult:
    """Output for the operator and the result code."""

    text: str
    code: int = OK


def _catch_errors(command):
    """Decorate a command to return a CommandResult for a TurmericknotError."""

    @functools.wraps(command)  # configuration.py calls ``__wrapped__``
    def run(*args, **kwargs):
        try:
            return command(*args, **kwargs)
        except TurmericknotError as error:
            return CommandResult(f"error: {error}", FAILED)

    return run


@_catch_errors
def check(directory):
    """Check the files of a directory without the log service."""
    tree, problems = load_directory(directory)
    lines = [str(problem) for problem in problems]
    if _select_errors(problems):
        return CommandResult("\n".join(lines), FAILED)
    lines.append(f"{len(tree['teams'])} teams, no errors")
    return CommandResult("\n".join(lines))


@_catch_errors
def diff(directory, log_url):
    """Show what publishing the directory would change."""
    _, edit, _ = _prepare_edit(directory, log_url)
    lines = [str(difference) for difference in edit.differences]
    lines += [
        f"  {name} was changed by others, not in this directory" for name in edit.stale
    ]
    return CommandResult("\n".join(lines) or "no difference")


@_catch_errors
def publish(
    directory,
    log_url,
    author="",
    comment="",
    wait=False,
    entries="",
    restore=False,
    timeout_s=PUBLISH_TIMEOUT_S,
    wait_timeout_s=IN_FORCE_TIMEOUT_S,
):
    """Publish the edited files; with ``wait``, wait until they are in force.

    ``entries`` lists the entries to query, http://ip:port separated by commas.
    ``restore`` publishes the whole directory when the log has lost its content.
    """
    urls = _split_urls(entries)
    if wait and not urls:
        return CommandResult("error: --wait needs --entries", FAILED)
    problems = load_directory(directory)[1]
    if _select_errors(problems):
        return CommandResult("\n".join(str(p) for p in problems), FAILED)
    reader, edit, files = _prepare_edit(directory, log_url, log_content_lost=restore)
    author = author or getpass.getuser()
    if restore:
        record = Restore(_random_record_id(), author, files, comment)
    elif not edit.differences:
        _update_files(directory, reader)
        return CommandResult(f"nothing to publish; in force: {_version_text(reader)}")
    else:
        record = create_change(edit, _random_record_id(), author, comment)
        if conflicting_subtrees(reader.state.merged, record):
            return _conflict_result(reader, edit, [])
    result = publish_record(reader, record, timeout_s)
    if result.status is PublishStatus.CONFLICT:
        return _conflict_result(reader, edit, result.concurrent_changes)
    if result.status is not PublishStatus.ACCEPTED:
        code = UNKNOWN if result.status is PublishStatus.UNKNOWN else FAILED
        return CommandResult(f"{result.status}: {result.reason}", code)
    _update_files(directory, reader)
    text = f"published version {result.version}"
    return (
        _wait_result(urls, result.version, wait_timeout_s, text)
        if wait
        else _success(text)
    )


@_catch_errors
def show(log_url, at=None, team=None):
    """Show the configuration in force, or that of version ``at``, as TOML."""
    reader = StreamReader(create_log_client(log_url))
    reader.read(limit=at)
    _require_complete(reader)
    merge = reader.state.merged
    if at is not None and reader.state.next_offset < at:
        return CommandResult(f"error: there is no version {at} yet", FAILED)
    tree = merge.tree
    if team is not None:
        tree = get_subtree(tree, f"teams.{team}")
        if tree is None:
            hint = suggest_spelling(team, merge.tree.get("teams", {}))
            return CommandResult(f"error: no team {team!r} ({hint})", FAILED)
    return CommandResult(f"# version {merge.version}\n{tomli_w.dumps(tree)}")


@_catch_errors
def history(log_url, count=20):
    """Show the newest records of the configuration stream with their verdicts."""
    reader = StreamReader(create_log_client(log_url))
    reader.read()
    newest_outcomes = list(reader.state.history)[-count:]
    return CommandResult(
        "\n".join(_history_line(o) for o in newest_outcomes) or "no records"
    )


def _prepare_edit(directory, log_url, log_content_lost=False):
    """Return a reader at the end of the stream, the Edit and the tree in the files.

    ``log_content_lost`` tells whether the log is expected to hold no configuration.
    """
    files, _ = load_directory(directory)
    reader = StreamReader(create_log_client(log_url))
    reader.read()
    if log_content_lost == reader.state.is_complete:
        if log_content_lost:
            raise TurmericknotError(
                "the log holds a configuration; publish without --restore"
            )
        _require_complete(reader)
    edit = find_edit(files, load_base(directory), reader.state.merged)
    return reader, edit, files


def _require_complete(reader):
    if not reader.state.is_complete:
        raise TurmericknotError(
            "the log holds no snapshot from which to read this version; "
            "if no process has a configuration, use publish --restore"
        )


def _update_files(directory, reader):
    """Update files that others have changed and write the base version.

    All edits in the files have been published before, so that a file that differs
    from the tree in force is older.
    """
    tree = reader.state.merged.tree
    files, _ = load_directory(directory)
    names = subtrees_by_name(tree).keys() | subtrees_by_name(files).keys()
    differing = [n for n in names if get_subtree(files, n) != get_subtree(tree, n)]
    write_subtrees(directory, tree, sorted(differing))
    write_base(directory, reader.state.merged)


def _conflict_result(reader, edit, theirs):
    lines = [f"conflict: changed by others after version {edit.base}"]
    names = set(edit.edited)
    for outcome in reader.state.history:
        newer = outcome.verdict is Verdict.ACCEPTED and outcome.version > edit.base
        if newer and names & set(touched_subtrees(outcome.record)):
            lines.append(f"  {_history_line(outcome)}")
    lines += [f"  theirs {difference}" for difference in theirs]
    lines += [f"  yours  {difference}" for difference in edit.differences]
    return CommandResult("\n".join(lines), CONFLICT)


def _history_line(outcome):
    at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(outcome.time))
    record = outcome.record
    line = f"{outcome.offset + 1} {at} {outcome.verdict}"
    if record is not None:
        line += f" by {record.author or '-'}"
    if isinstance(record, Change):
        line += f" base {record.base}: {' '.join((*record.sets, *record.deletes))}"
        line += f" ({record.comment})" if record.comment else ""
    return f"{line} [{outcome.reason}]" if outcome.reason else line


def _wait_result(urls, version, timeout_s, text):
    lagging_entries = wait_until_in_force(urls, version, timeout_s)
    if not lagging_entries:
        return _success(f"{text}, in force at {len(urls)} entries and their agents")
    lines = [f"{text}, not yet in force:"]
    lines += [f"  {url}: {reason}" for url, reason in lagging_entries.items()]
    return CommandResult("\n".join(lines), NOT_IN_FORCE)


def _success(text):
    return CommandResult(text)


def _version_text(reader):
    return f"version {reader.state.merged.version}"


def _select_errors(problems):
    return [problem for problem in problems if not problem.warning]


def _split_urls(entries):
    if isinstance(entries, str):
        entries = entries.split(",")
    return [url.strip().rstrip("/") for url in entries if url.strip()]


def _random_record_id():
    return create_record_id(random.SystemRandom())
