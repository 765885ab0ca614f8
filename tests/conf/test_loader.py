import msgspec
import pytest

from turmericknot.conf import loader, rules, schema
from turmericknot.core.exceptions import SettingsError

ENTRY = """
entry_id = "entry-1"
failure_domain = "ub-1"
region = "ub"
"""
AGENT = ENTRY.replace("entry", "agent")


@pytest.fixture
def write(tmp_path):
    def write(text, name="settings.toml"):
        path = tmp_path / name
        path.write_text(text)
        return path

    return write


def problems_of(path, role=None):
    with pytest.raises(SettingsError) as caught:
        loader.load_settings(path, role)
    return caught.value.problems


def test_defaults_and_tables(write):
    settings = loader.load_settings(write(ENTRY + "[claims]\nclaim_timeout_s = 1\n"))
    assert isinstance(settings, schema.EntrySettings)
    assert settings.claims.claim_timeout_s == 1.0
    assert settings.membership == schema.MembershipSettings()
    assert isinstance(loader.load_settings(write(AGENT)), schema.AgentSettings)


def test_every_problem_is_reported_at_once(write):
    """Guards against an operator who must run the check once per mistake."""
    path = write(
        """
entry_id = "entry 1"
failure_domain = "ub-1"
http_adress = "127.0.0.1:80"
link_address = "127.0.0.1:99999"
max_body_bytes = "lots"
seed_entries = ["127.0.0.1:1", "nowhere"]
claims = 3
[membership]
heartbeat_interval_s = nan
suspekt_after_s = 2
[policy]
policy = "magic"
"""
    )
    found = {problem.key: problem for problem in problems_of(path)}
    assert set(found) == {
        "entry_id",
        "region",
        "http_adress",
        "link_address",
        "max_body_bytes",
        "seed_entries",
        "claims",
        "membership.heartbeat_interval_s",
        "membership.suspekt_after_s",
        "policy.policy",
    }
    assert found["http_adress"].suggestion == "http_address"
    suspect = str(found["membership.suspekt_after_s"])
    assert str(path) in suspect
    assert "did you mean 'membership.suspect_after_s'?" in suspect
    policy = found["policy.policy"]
    assert (policy.found, "windows or random" in policy.allowed) == ("'magic'", True)


@pytest.mark.parametrize(
    "text, key",
    [
        (
            "[claims]\nmax_key_lifetime_s = 4\nmax_clock_skew_s = 2",
            "claims.max_key_lifetime_s",
        ),
        ("[claims]\nclaim_window_min_s = 0.1", "claims.claim_window_min_s"),
        ("[claims]\nclaim_timeout_s = 0.05", "claims.claim_window_max_s"),
        ("[claims]\nroster_ttl_s = 61", "claims.roster_ttl_s"),
        ("[membership]\nsuspect_after_s = 1", "membership.suspect_after_s"),
    ],
)
def test_relations_between_settings(write, text, key):
    (problem,) = problems_of(write(ENTRY + text))
    assert problem.key == key
    assert problem.kind == loader.ProblemKind.RELATION


@pytest.mark.parametrize("text", ["entry_id = ", "entry_id = 1\nentry_id = 2", "\0"])
def test_broken_toml_is_one_problem(write, text):
    (problem,) = problems_of(write(text))
    assert problem.kind == loader.ProblemKind.FILE


def test_file_that_is_absent_or_a_directory(tmp_path):
    for path in (tmp_path / "absent.toml", tmp_path):
        (problem,) = problems_of(path)
        assert problem.kind == loader.ProblemKind.FILE


def test_role_must_be_told(write):
    assert "neither" in problems_of(write("region = 'ub'"))[0].found
    assert "both" in problems_of(write(ENTRY + "agent_id = 'a'"))[0].found


def test_file_of_the_other_role_is_one_problem(write):
    """Guards against a list of unknown keys when only the command was wrong."""
    (problem,) = problems_of(write(AGENT), "entry")
    assert problem.found == "the settings of an agent"
    assert "entry_id" in problem.allowed


def leaf_paths(struct, prefix=""):
    for field in msgspec.structs.fields(struct):
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            yield from leaf_paths(field.type, f"{prefix}{field.name}.")
        else:
            yield prefix + field.name


def test_every_setting_has_a_rule():
    """Guards against a setting that accepts any value."""
    structs = loader.ROLES.values()
    paths = {path for struct in structs for path in leaf_paths(struct)}
    assert paths == set(rules.RULES)


@pytest.mark.parametrize(
    "address, expected",
    [
        ("127.0.0.1:80", True),
        ("[::1]:80", True),
        ("::1:80", False),
        ("host:", False),
        (":80", False),
        ("[]:80", False),
        ("host:0", False),
        ("host:65536", False),
        ("a host:80", False),
        ("host:٣", False),
    ],
)
def test_addresses(address, expected):
    assert rules.is_address(address) is expected
