from turmericknot.dispatch import commands, events
from turmericknot.wire import messages

JOB_ID = b"j" * 16


def test_queued_task_starts_when_a_slot_frees(driver, starts, sent):
    driver.announce(slots=2)
    driver.connect(1)
    assert starts(driver.assign(1, [0, 1, 2])) == [0, 1]
    out = driver.finish(0)
    assert starts(out) == [2]
    assert [r.index for r in sent(out, messages.Results)[0].results] == [0]


def test_repeated_assign_starts_nothing_twice(driver, starts, sent):
    """Guards against starting a task twice when its assignment is sent again."""
    driver.announce()
    driver.connect(1)
    driver.assign(1, [0])
    assert starts(driver.assign(1, [0])) == []
    driver.finish(0)
    out = driver.assign(1, [0])
    assert starts(out) == []
    assert sent(out, messages.Results)[0].results[0].output == b"out"


def test_fence_rejects_the_former_owner_and_transfers_its_jobs(driver, starts, sent):
    """Guards against starts for an owner that was paused during a takeover."""
    driver.announce(slots=1)
    driver.connect(1)
    driver.connect(2, "e2", "e2#1")
    driver.assign(1, [0, 1])
    inventory = sent(driver.fence(2, "e1#1", "e2#1"), messages.Inventory, 2)[0]
    assert inventory.jobs[0].running == [0]
    out = driver.assign(1, [3])
    assert starts(out) == []
    assert sent(out, messages.Rejected, 1)[0].indexes == [3]
    out = driver.finish(0)
    assert starts(out) == [], "a queued task of the fenced owner started"
    assert sent(out, messages.Results, 2), "the new owner does not get the result"


def test_fence_of_one_job_leaves_the_others(driver, starts):
    driver.announce()
    driver.connect(1)
    driver.connect(2, "e2", "e2#1")
    driver.fence(2, "e1#1", "e2#1", [JOB_ID])
    assert starts(driver.assign(1, [0])) == []
    assert starts(driver.assign(1, [0], job=b"k" * 16)) == [0]


def test_late_fence_of_a_fenced_entry_does_not_take_jobs_back(driver, sent):
    """Guards against a paused new owner undoing a later takeover."""
    driver.announce()
    for stream, name in ((1, "e1"), (2, "e2"), (3, "e3")):
        driver.connect(stream, name, f"{name}#1")
    driver.assign(1, [0])
    driver.fence(3, "e2#1", "e3#1", [JOB_ID])
    driver.fence(3, "e1#1", "e3#1", [JOB_ID])
    late = sent(driver.fence(2, "e1#1", "e2#1", [JOB_ID]), messages.Inventory, 2)[0]
    assert late.jobs == []
    assert sent(driver.finish(0), messages.Results, 3)


def test_new_stream_supersedes_the_old_one(driver, starts, sent):
    """Guards against starting tasks of an old stream that the entry has requeued."""
    driver.announce(slots=1)
    driver.connect(1)
    driver.assign(1, [0, 1])
    out = driver.connect(2)
    assert commands.CloseStream(1, "superseded") in out
    assert sent(out, messages.Inventory, 2)[0].jobs[0].running == [0]
    assert starts(driver.finish(0)) == []
    assert starts(driver.assign(1, [5])) == []


def test_draining_agent_returns_queued_work_and_finishes_running(driver, starts, sent):
    """Guards against new tasks on a leaving target and against aborted requests."""
    driver.announce(slots=1)
    driver.connect(1)
    driver.assign(1, [0, 1])
    out = driver(events.TargetLeaving())
    assert sent(out, messages.Returned)[0].indexes == [1]
    assert sent(out, messages.Window)[-1].slots == 0
    assert not any(isinstance(c, commands.Drained) for c in out)
    assert starts(driver.assign(1, [2])) == []
    out = driver.finish(0)
    assert sent(out, messages.Results)
    assert any(isinstance(c, commands.Drained) for c in out)


def test_target_that_returns_takes_work_again(driver):
    """Guards against a worker that stays unused after its target was upgraded."""
    driver.announce()
    driver.connect(1)
    driver(events.TargetLeaving())
    assert driver.announce() == [], "a late announcement undid the leaving"
    assert driver.state.draining
    driver.now += 5.0
    assert commands.CloseStream(1, "worker changed") in driver.announce()
    assert not driver.state.draining


def test_lapsed_lease_is_unknown_and_keeps_the_id(driver, starts, sent):
    """Guards against a second start after a lease expired during a pause."""
    driver.announce()
    driver.connect(1)
    driver.assign(1, [0])
    driver.now += 30.0
    driver.announce()
    out = driver(events.Tick())
    assert sent(out, messages.Results)[0].results[0].status == 2
    assert driver.finish(0) == []
    assert starts(driver.assign(1, [0])) == []


def test_recall_returns_what_did_not_start(driver, sent):
    driver.announce(slots=1)
    driver.connect(1)
    driver.assign(1, [0, 1])
    out = driver(events.EntryMessage(1, messages.Recall(7, [JOB_ID], True)))
    assert sent(out, messages.Returned)[0].indexes == [1]
    assert commands.StopTask(JOB_ID, 0) in out
    assert sent(out, messages.RecallDone) == [messages.RecallDone(7)]


def test_start_that_did_not_reach_the_worker_is_returned(driver, starts, sent):
    driver.announce()
    driver.connect(1)
    driver.assign(1, [0])
    out = driver.finish(0, started=False)
    assert sent(out, messages.Returned)[0].indexes == [0]
    assert starts(driver.assign(1, [0])) == [0]


def test_windows_follow_waiting_work(driver, sent):
    """Guards against idle slots while tasks wait at another entry."""
    driver.announce(slots=8)
    driver.connect(1)
    driver.connect(2, "e2", "e2#1")
    windows = {link.entry_id: link.holder.window for link in _links(driver)}
    assert sum(windows.values()) == 8
    out = driver(events.EntryMessage(2, messages.Demand(20, 1.0)))
    assert sent(out, messages.Window, 2)[-1].slots == 8
    assert sent(out, messages.Window, 1)[-1].slots == 0
    out = driver(events.EntryMessage(1, messages.Demand(20, 1.0)))
    assert sent(out, messages.Window, 1)[-1].slots == 4


def _links(driver):
    return driver.state.links.values()
