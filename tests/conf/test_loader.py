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
def write_settings(tmp_path):
    def write_settings(text, name="settings.toml"):
        path = tmp_path / name
        path.write_text(text)
        return path

    return write_settings


def load_problems(path, role=None):
    with pytest.raises(SettingsError) as raised:
        loader.load_settings(path, role)
    return raised.value.problems


def test_defaults_and_tables(write_settings):
    settings = loader.load_settings(
        write_settings(ENTRY + "[claims]\nclaim_timeout_s = 1\n")
    )
    assert isinstance(settings, schema.EntrySettings)
    assert settings.claims.claim_timeout_s == 1.0
    assert settings.membership == schema.MembershipSettings()
    assert isinstance(loader.load_settings(write_settings(AGENT)), schema.AgentSettings)


def test_every_problem_is_reported_at_once(write_settings):
    """Guards against a check that reports one problem per run."""
    path = write_settings(
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
    problems = {problem.key: problem for problem in load_problems(path)}
    assert set(problems) == {
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
    assert problems["http_adress"].suggestion == "http_address"
    message = str(problems["membership.suspekt_after_s"])
    assert str(path) in message
    assert "did you mean 'membership.suspect_after_s'?" in message
    policy = problems["policy.policy"]
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
def test_violated_relations_are_reported(write_settings, text, key):
    (problem,) = load_problems(write_settings(ENTRY + text))
    assert problem.key == key
    assert problem.kind == loader.SettingsProblemKind.RELATION


@pytest.mark.parametrize("text", ["entry_id = ", "entry_id = 1\nentry_id = 2", "\0"])
def test_invalid_toml_is_one_problem(write_settings, text):
    (problem,) = load_problems(write_settings(text))
    assert problem.kind == loader.SettingsProblemKind.FILE


def test_unreadable_file_is_one_problem(tmp_path):
    for path in (tmp_path / "absent.toml", tmp_path):
        (problem,) = load_problems(path)
        assert problem.kind == loader.SettingsProblemKind.FILE


def test_missing_and_ambiguous_roles_are_rejected(write_settings):
    assert "neither" in load_problems(write_settings("region = 'ub'"))[0].found
    assert "both" in load_problems(write_settings(ENTRY + "agent_id = 'a'"))[0].found


def test_file_of_the_other_role_is_one_problem(write_settings):
    """Guards against a list of unknown keys if a file is given to the wrong command."""
    (problem,) = load_problems(write_settings(AGENT), "entry")
    assert problem.found == "the settings of an agent"
    assert "entry_id" in problem.allowed


def list_setting_paths(struct, prefix=""):
    for field in msgspec.structs.fields(struct):
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            yield from list_setting_paths(field.type, f"{prefix}{field.name}.")
        else:
            yield prefix + field.name


def test_every_setting_has_a_rule():
    """Guards against a setting that accepts any value."""
    structs = loader.SETTINGS_BY_ROLE.values()
    paths = {path for struct in structs for path in list_setting_paths(struct)}
    assert paths == set(rules.SETTING_RULES)


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
