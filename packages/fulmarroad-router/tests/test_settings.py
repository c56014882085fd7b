"""Tests of the router settings."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from attrs import fields
from hypothesis import given, settings, strategies

from fulmarroad.exceptions import ConfigurationError
from fulmarroad_router import settings as module
from fulmarroad_router.settings import PolicyName, load_settings, parse_settings

TEXT = """
[router]
name = "r1"
data_centre = "north"

[listen]
host = "0.0.0.0"
port = 8080
admin_port = 8081
peer_host = "127.0.0.1"
peer_port = 8082
gossip_port = 8082

[platform]
configuration = "http://127.0.0.1:9000/"

[admin]
token = "0123456789abcdef"
"""
TLS = '[tls]\ncertificate = "c.pem"\nkey = "k.pem"\nauthority = "a.pem"\n'
CLUSTER = '[cluster]\nsecret = "0123456789abcdef"\n'


def problems(text: str) -> tuple[str, ...]:
    with pytest.raises(ConfigurationError) as caught:
        parse_settings(text)
    assert caught.value.exit_code == 2
    return caught.value.problems


class TestParsing:
    def test_fills_in_defaults(self):
        parsed = parse_settings(TEXT)
        assert parsed.listen.admin_host == "127.0.0.1"
        assert parsed.platform.vm_list == "http://127.0.0.1:9000"
        assert parsed.bench.policy is PolicyName.FLEET

    def test_repr_hides_secrets(self):
        assert "0123456789abcdef" not in repr(parse_settings(TEXT + CLUSTER))

    @pytest.mark.parametrize(
        ("old", "new", "expected"),
        [
            ('name = "r1"', "", "router.name: is missing"),
            ("[router]", "[ruoter]", "ruoter: is no section"),
            ("port = 8080", "prot = 8080", "listen.prot: is not a known field"),
            ("port = 8080", "port = 80800", "listen.port: must be from 0 to 65535"),
            ("port = 8080", "port = 8081", "listen.admin_port: 8081 is also"),
            ('"0.0.0.0"', '"localhost"', "listen.host: must be an IP number"),
            ('"http:', '"ftp:', "platform.configuration: must be as http"),
            (":9000/", ":x/", "platform.configuration: must be as http"),
            ("[admin]", "[admin]\ntoken_file = 'a'", "admin: must have either token"),
            ('"0123456789abcdef"', '"short"', "admin.token: must be text of at least"),
            ("[admin]", "[bench]\npolicy = 'best'\n[admin]", "bench.policy: must be"),
            ("[admin]", "[tls]\nkey = 'k'\n[admin]", "tls.certificate: is missing"),
            (
                '"127.0.0.1"',
                '"0.0.0.0"',
                "listen.peer_host: must be an address that other routers reach",
            ),
        ],
    )
    def test_problem_names_the_field(self, old, new, expected):
        assert any(expected in problem for problem in problems(TEXT.replace(old, new)))

    def test_lists_all_problems_at_once(self):
        text = TEXT.replace("port = 8080", "port = -1").replace('"r1"', '""')
        assert len(problems(text + "[log]\nlevel = 3\n")) == 3

    def test_error_does_not_show_secrets(self):
        found = problems(TEXT.replace("0123456789abcdef", "hush"))
        assert "hush" not in str(found)


class TestNonLoopback:
    """Guard against a router that listens on a real network without certificates or
    signed packets. Any host there could then impersonate a router, take leases or read
    the admin token without being noticed.
    """

    PEERS_OFF_LOOPBACK = TEXT.replace('"127.0.0.1"', '"10.0.0.5"')

    def test_peers_require_tls_and_signed_packets(self):
        found = problems(self.PEERS_OFF_LOOPBACK)
        assert len(found) == 2
        assert "mutual TLS" in found[0]
        assert "signed" in found[1]
        assert parse_settings(self.PEERS_OFF_LOOPBACK + TLS + CLUSTER).tls.enabled

    def test_admin_port_requires_tls(self):
        outside = TEXT.replace("[platform]", 'admin_host = "10.0.0.5"\n[platform]')
        assert "admin token would cross" in problems(outside)[0]
        assert parse_settings(outside + TLS).admin_uses_tls
        assert not parse_settings(TEXT + TLS).admin_uses_tls


class TestFiles:
    def test_reads_secret_files_relative_to_the_settings(self, tmp_path):
        (tmp_path / "token").write_text("a token of 16 or more\n")
        text = TEXT.replace('token = "0123456789abcdef"', 'token_file = "token"')
        (tmp_path / "r.toml").write_text(text)
        assert load_settings(tmp_path / "r.toml").admin.token == "a token of 16 or more"

    def test_names_every_missing_file(self, tmp_path):
        text = TEXT.replace('token = "0123456789abcdef"', 'token_file = "token"')
        (tmp_path / "r.toml").write_text(text + TLS)
        with pytest.raises(ConfigurationError) as caught:
            load_settings(tmp_path / "r.toml")
        assert len(caught.value.problems) == 4
        assert "admin.token_file: token can't be read" in caught.value.problems[0]

    def test_reports_settings_file_that_cannot_be_read(self, tmp_path):
        with pytest.raises(ConfigurationError, match="can't be read"):
            load_settings(tmp_path / "none.toml")


class TestMalformedText:
    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(strategies.text(max_size=80), strategies.integers(0, len(TEXT)))
    def test_corrupted_text_is_parsed_or_rejected_with_configuration_error(
        self, replacement, at
    ):
        damaged = TEXT[:at] + replacement + TEXT[at + len(replacement) :]
        assert self.outcome(damaged)

    def outcome(self, text):
        """Return the settings or the error text; any other exception fails the test."""
        try:
            return parse_settings(text)
        except ConfigurationError as error:
            return error.format_message()

    @pytest.mark.parametrize(
        "text", ["[" * 5000, "a=" + "[" * 5000, "x = 1" + "0" * 5000]
    )
    def test_deeply_nested_or_huge_text_is_rejected(self, text):
        with pytest.raises(ConfigurationError):
            parse_settings(text)


class TestSettingsPage:
    def test_lists_every_field(self):
        page = Path(__file__).parents[3] / "docs" / "SETTINGS.md"
        rows = re.findall(r"^\| `(\w+)\.(\w+)` \|", page.read_text(), re.MULTILINE)
        expected = [
            (section, key)
            for section, (_, row_checks) in module._SECTIONS.items()
            for key in row_checks
        ]
        assert sorted(rows) == sorted(expected)
        for cls, row_checks in module._SECTIONS.values():
            assert {attribute.name for attribute in fields(cls)} == set(row_checks)
