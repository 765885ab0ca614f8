"""The scenario language: parse a script into steps with lark.

A file contains scenarios; each line of a scenario is a step::

    scenario "an entry is killed in the middle of a job"
      submit J1 20 tasks of 300 ms to e1
      wait 200 ms
      kill e1
      submit J1 again to e2
      expect J1 complete or unknown within 8 s
"""

from dataclasses import dataclass, field

from lark import Lark, Transformer

GRAMMAR = r"""
start: _NL* scenario+
scenario: "scenario" STRING _NL step*

?step: (submit | again | wait | process | network | log | target | cancel
     | publish | expect | expect_starts | expect_other) _NL

submit: "submit" NAME INT ("task" | "tasks") "of" duration "to" NAME option*
option: "for" NAME                 -> team
      | "class" NAME               -> task_class
      | "not" "idempotent"         -> not_idempotent
      | "deadline" duration        -> deadline
      | "expires" duration         -> expires
      | "needing" INT "processors" -> processors
again: "submit" NAME "again" "to" NAME
cancel: "cancel" NAME "at" NAME
wait: "wait" duration
process: PROCESS_ACTION NAME
PROCESS_ACTION: "kill" | "pause" | "resume" | "start" | "stop"
network: NETWORK_ACTION NAME*
       | "delay" duration NAME*    -> delay
NETWORK_ACTION: "cut" | "stall" | "heal"
log: "log" "down"                  -> log_down
   | "log" "hangs"                 -> log_hangs
   | "log" "up"                    -> log_up
   | "log" "slow" duration         -> log_slow
   | "log" "loses" INT "answers"   -> log_loses
   | "log" "trim"                  -> log_trim
target: "target" NAME "fails"      -> target_fails
      | "target" NAME "hangs"      -> target_hangs
      | "target" NAME "slow" INT   -> target_slow
      | "target" NAME "recovers"   -> target_recovers
      | "target" NAME "leaves"     -> target_leaves
publish: "publish" NAME NAME INT
expect: "expect" NAME status ("or" status)* "within" duration
status: NAME (":" NAME)?
expect_starts: "expect" "starts" "on" NAME "stop" "within" duration
expect_other: "expect" NAME "exits" "within" duration -> expect_exit
          | "expect" "version" "everywhere" "within" duration -> expect_version
          | "expect" NAME "answers" "within" duration -> expect_answers

duration: NUMBER UNIT
UNIT: "ms" | "s"
NAME: /[A-Za-z][\w-]*/
_NL: /(\r?\n[ \t]*)+/
COMMENT: /#[^\n]*/
%import common.ESCAPED_STRING -> STRING
%import common.INT
%import common.NUMBER
%import common.WS_INLINE
%ignore WS_INLINE
%ignore COMMENT
"""


@dataclass(slots=True)
class Step:
    """One step: the name of an action and its arguments."""

    action: str
    arguments: list
    options: dict = field(default_factory=dict)


@dataclass(slots=True)
class Scenario:
    """A scenario with its title and steps."""

    name: str
    steps: list


class _ScenarioBuilder(Transformer):
    """Transforms the parse tree into scenarios."""

    def start(self, children):
        return children

    def scenario(self, children):
        return Scenario(str(children[0])[1:-1], children[1:])

    def duration(self, children):
        seconds = float(children[0])
        return seconds / 1000.0 if children[1] == "ms" else seconds

    def submit(self, children):
        name, count, run_s, entry, *options = children
        return Step("submit", [str(name), int(count), run_s, str(entry)], dict(options))

    def process(self, children):
        return Step(str(children[0]), [str(children[1])])

    def network(self, children):
        return Step(str(children[0]), [str(name) for name in children[1:]])

    def status(self, children):
        return ":".join(str(child) for child in children)

    def expect(self, children):
        return Step("expect", [str(children[0]), set(children[1:-1]), children[-1]])

    def team(self, children):
        return "team", str(children[0])

    def task_class(self, children):
        return "task_class", str(children[0])

    def not_idempotent(self, children):
        return "idempotent", False

    def deadline(self, children):
        return "deadline_s", children[0]

    def expires(self, children):
        return "expires_s", children[0]

    def processors(self, children):
        return "processors", int(children[0])

    def __default__(self, data, children, meta):
        arguments = [
            str(child) if getattr(child, "type", "") == "NAME" else _plain_value(child)
            for child in children
        ]
        return Step(str(data), arguments)


def _plain_value(value):
    return int(value) if getattr(value, "type", "") == "INT" else value


_parser = Lark(GRAMMAR, parser="lalr")


def parse_scenarios(text):
    """Return the scenarios of a script; raise UnexpectedInput with line and column."""
    return _ScenarioBuilder().transform(_parser.parse(text + "\n"))
