import pytest

from .site import Agent, Entry, Site


@pytest.fixture
def create_site():
    def create(entries=1, agents=2, cpu=4000, domains=1):
        return Site(
            [Entry(f"entry-{number}", number) for number in range(entries)],
            [
                Agent(f"agent-{number}", cpu, f"z{number % domains}")
                for number in range(agents)
            ],
        )

    return create


@pytest.fixture
def site(create_site):
    return create_site()
