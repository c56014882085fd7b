"""Tests of the `fulmarroadctl` commands with files and a fake admin port."""

from __future__ import annotations

import json
import re
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import pytest
from attrs import asdict

from fulmarroad.tables import parse_texts
from fulmarroad_ctl._fleet_status import differing_fields, fleet_status_lines
from fulmarroad_ctl.cli import OVERVIEW, main
from fulmarroad_ctl.commands import Commands

TOKEN = "0123456789012345"
SETTINGS = f"""
[router]
name = "n1"
data_centre = "north"
[listen]
host = "127.0.0.1"
port = 8080
admin_port = {{port}}
peer_host = "127.0.0.1"
peer_port = 8082
gossip_port = 8082
[platform]
configuration = "http://127.0.0.1:9000"
[admin]
token = "{TOKEN}"
"""
ROUTES = """
[[workspace]]
name = "atlas"
key_sha256 = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
[[route]]
name = "1e3"
path = "/v1/chat/completions"
pool = "drafting"
"""
POOLS = """
[[data_centre]]
name = "north"
[[pool]]
name = "drafting"
[[pool.server]]
name = "d1"
address = "10.0.0.1:8000"
data_centre = "north"
"""
STATUS = {
    "router": "n1",
    "data_centre": "north",
    "state": "open",
    "table_version": 7,
    "in_flight": 3,
    "waiting": 1,
    "running": 2,
    "data_centres": {"north": "in"},
    "members": [{"router": "n2", "state": "alive", "data_centre": "north"}],
    "follows": [{"shard": "drafting/north/0", "scheduler": "n2", "welcomed": True}],
    "schedulers": [
        {
            "shard": "drafting/north/0",
            "servers": [
                {
                    "server": "d1",
                    "warmth": "cold",
                    "limit": 4,
                    "running": 1,
                    "usable": 1,
                }
            ],
        }
    ],
}
EXPLAIN = {
    "route": "1e3",
    "workspace": "atlas",
    "allowed": True,
    "pool": "drafting",
    "chosen_shard": "drafting/north/0",
    "scheduler": "n2",
    "reason": "own data centre first",
    "estimated_wait_s": 0.25,
    "shards": [],
    "out_of_service": ["d9"],
}
RECORDS = [
    {
        "sequence": number,
        "at": 0.0,
        "subject": "data_centre",
        "name": "north",
        "before": "in",
        "after": "out",
        "cause": "tables 8",
        "version": 8,
    }
    for number in (1, 2)
]


def router_tables():
    document = asdict(parse_texts(7, ROUTES.encode(), POOLS.encode()))
    for row in document["workspaces"].values():
        row["keys"] = len(row.pop("key_sha256"))
    return document


class FakeAdmin(BaseHTTPRequestHandler):
    """Respond like a router's admin port."""

    def do_GET(self):
        self.server.asked.append(self.path)
        if self.headers["authorization"] != f"Bearer {TOKEN}":
            return self.answer(401, {"error": "Show the admin token."})
        url = urlsplit(self.path)
        query = {key: values[-1] for key, values in parse_qs(url.query).items()}
        if url.path == "/explain" and query["route"] not in ("1e3", "chat"):
            return self.answer(404, {"error": "The tables have no such route."})
        if url.path == "/audit":
            after = int(query["after"])
            newer = [row for row in RECORDS if row["sequence"] > after]
            return self.answer(200, {"records": newer})
        return self.answer(200, self.server.documents[url.path])

    do_POST = do_GET

    def answer(self, status, document):
        body = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        self.send_response(status)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        pass


@pytest.fixture
def admin():
    server = ThreadingHTTPServer(("127.0.0.1", 0), FakeAdmin)
    server.asked = []
    server.documents = {
        "/status": STATUS,
        "/explain": dict(EXPLAIN),
        "/tables": router_tables(),
        "/drain": {"draining": True},
    }
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.fixture
def files(tmp_path, admin):
    settings = SETTINGS.format(port=admin.server_port)
    (tmp_path / "router.toml").write_text(settings)
    (tmp_path / "routes.toml").write_text(ROUTES)
    (tmp_path / "pools.toml").write_text(POOLS)
    return tmp_path


@pytest.fixture
def run(capsys, files, monkeypatch):
    """Run a command in the directory of `files`; return exit code, stdout, stderr."""
    monkeypatch.chdir(files)

    def run(*arguments):
        code = 0
        try:
            main(arguments)
        except SystemExit as ended:
            code = ended.code
        out, err = capsys.readouterr()
        return code, out, err

    return run


TABLES = ("--routes", "routes.toml", "--pools", "pools.toml")
ROUTER = ("--settings", "router.toml")


class TestCheck:
    def test_reports_valid_settings_and_tables(self, run):
        code, out, _ = run("check", *ROUTER, *TABLES)
        assert code == 0
        assert "settings are valid" in out
        assert "1 workspaces, 1 routes, 1 data centres, 1 pools, 1 backend" in out

    def test_lists_every_problem_with_its_file(self, run, files):
        bad = ROUTES.replace('"drafting"', '"x"') + "repeatable = 3\ntimeout = 1\n"
        (files / "routes.toml").write_text(bad)
        code, _, err = run("check", *TABLES)
        assert code == 2
        assert "routes (part routes.toml): route '1e3': repeatable" in err
        assert "route '1e3': timeout: is not a known field" in err

    def test_prints_problems_as_json(self, run, files):
        (files / "pools.toml").write_text(POOLS.replace("north", "no/rth"))
        code, out, _ = run("check", *TABLES, "--json")
        assert code == 2
        assert len(json.loads(out)["problems"]) == 2

    def test_warns_of_conflicts_between_settings_and_tables(self, run, files):
        (files / "routes.toml").write_text(ROUTES + "timeout_s = 3600\n")
        code, out, _ = run("check", *ROUTER, *TABLES)
        assert code == 0
        assert "warning: limits.drain_timeout_s: a route may take 3600 s" in out

    def test_joins_several_files_of_a_table(self, run, files):
        (files / "more").write_text('[[workspace]]\nname = "rif"\n')
        code, out, _ = run(
            "check", "--routes=routes.toml,more", "--pools=pools.toml", "--json"
        )
        assert code == 0
        assert json.loads(out)["counts"]["workspaces"] == 2

    @pytest.mark.parametrize(
        ("arguments", "expected"),
        [
            ((), "Nothing to check is named"),
            (("--routes", "routes.toml"), "No file of the pools table"),
            (("--routes", "none", "--pools", "pools.toml"), "none can't be read"),
            (("--settings", "none"), "none can't be read"),
        ],
    )
    def test_names_the_missing_argument_or_file(self, run, arguments, expected):
        code, _, err = run("check", *arguments)
        assert code == 2
        assert expected in err


class TestStatus:
    def test_shows_members_schedulers_and_servers(self, run):
        code, out, _ = run("status", *ROUTER)
        assert code == 0
        assert "router n1 in north: open, tables version 7" in out
        assert re.search(r"drafting/north/0 +d1 +cold +1 +1 +4", out)

    def test_prints_the_document_as_json(self, run):
        assert json.loads(run("status", *ROUTER, "--json")[1]) == STATUS


class TestExplain:
    def test_shows_where_a_call_would_be_routed(self, run, admin):
        code, out, _ = run("explain", "1e3", "--workspace", "atlas", *ROUTER)
        assert code == 0
        assert "goes to shard drafting/north/0, scheduled by n2" in out
        assert "out of service: d9" in out
        assert admin.asked == ["/explain?route=1e3&workspace=atlas"]

    def test_refused_call_exits_with_1(self, run, admin):
        admin.documents["/explain"]["chosen_shard"] = None
        code, out, _ = run("explain", "1e3", *ROUTER)
        assert code == 1
        assert "would be refused, not run" in out

    def test_unknown_route_exits_with_3(self, run):
        code, _, err = run("explain", "none", *ROUTER)
        assert code == 3
        assert "404: The tables have no such route" in err


class TestAudit:
    def test_shows_stored_records(self, run):
        code, out, _ = run("audit", *ROUTER, "--follow=false", "--after", "1")
        assert code == 0
        assert out == (
            "2 1970-01-01T00:00:00Z data_centre north: in -> out (tables 8)\n"
        )

    def test_follows_from_the_last_record_until_the_router_stops(self, run, admin):
        """Guard against a command that keeps waiting after the router has shut down.
        The operator would conclude that nothing changes. It must exit with an error.
        """
        answer = FakeAdmin.answer

        def answer_once(handler, status, document):
            if len(admin.asked) > 1:
                return handler.close_connection
            return answer(handler, status, document)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(FakeAdmin, "answer", answer_once)
            code, out, _ = run("audit", *ROUTER, "--json")
        assert code == 3
        *records, error = [json.loads(line) for line in out.splitlines()]
        assert [record["sequence"] for record in records] == [1, 2]
        assert admin.asked[1] == "/audit?after=2&wait_s=20"
        assert "gave no answer" in error["error"]


class TestDiff:
    def test_same_tables_as_the_router_show_no_change(self, run):
        code, out, _ = run("diff", *TABLES, *ROUTER)
        assert (code, out) == (0, "nothing would change\n")

    def test_shows_changed_rows_and_servers_taken_out(self, run, files):
        (files / "pools.toml").write_text(
            POOLS.replace('name = "north"', 'name = "north"\nstate = "out"', 1)
        )
        (files / "routes.toml").write_text(
            ROUTES.replace("key_sha", "weight=2\nkey_sha")
        )
        code, out, _ = run("diff", *TABLES, *ROUTER)
        assert code == 1
        assert out.splitlines() == [
            "data_centre north: state: in -> out",
            "workspace atlas: weight: 1 -> 2",
            "1 backend servers in north would take no more work",
        ]

    def test_compares_files_without_a_router(self, run, files):
        (files / "new.toml").write_text(ROUTES.replace("aaaaaaaaa", "bbbbbbbbb"))
        against = ("--against_routes", "routes.toml", "--against_pools", "pools.toml")
        code, out, _ = run(
            "diff", "--routes", "new.toml", "--pools", "pools.toml", *against
        )
        assert code == 1
        assert out == "workspace atlas: key_sha256: aaaaaaaa -> bbbbbbbb\n"


class TestDrain:
    def test_requests_the_shutdown(self, run, admin):
        code, out, _ = run("drain", *ROUTER)
        assert code == 0
        assert "graceful shutdown begun" in out
        assert admin.asked == ["/drain"]


class TestConnection:
    def test_wrong_token_error_has_a_hint(self, run, files):
        wrong = SETTINGS.replace(TOKEN, "another-token-than-that")
        port = re.search(r"admin_port = (\d+)", (files / "router.toml").read_text())[1]
        (files / "router.toml").write_text(wrong.format(port=port))
        code, _, err = run("status", *ROUTER)
        assert code == 3
        assert "answered 401" in err
        assert "--token_file" in err

    def test_takes_address_and_token_from_the_environment(
        self, run, admin, monkeypatch
    ):
        url = f"http://127.0.0.1:{admin.server_port}"
        monkeypatch.setenv("FULMARROAD_ADMIN", url)
        monkeypatch.setenv("FULMARROAD_ADMIN_TOKEN", TOKEN)
        assert run("status")[0] == 0

    def test_router_that_is_not_running_exits_with_3(self, run, files):
        (files / "token").write_text(TOKEN)
        code, out, _ = run(
            "status", "--admin=http://127.0.0.1:1", "--token_file=token", "--json"
        )
        assert code == 3
        assert "gave no answer" in json.loads(out)["error"]

    def test_answer_of_another_port_is_an_error(self, run, admin):
        admin.documents["/status"] = b"<html>"
        code, _, err = run("status", *ROUTER)
        assert code == 3
        assert "callers' port" in err

    def test_missing_router_is_an_error(self, run):
        code, _, err = run("status")
        assert code == 2
        assert "No router is named" in err


class TestBeliefs:
    def answer(self, version, servers=("s-1",)):
        return {
            "router": "a",
            "state": "open",
            "version": version,
            "store_revision": 9,
            "store_age_s": 0.2,
            "peers": {"b": {}},
            "servers": {name: {"cold": True} for name in servers},
        }

    def test_matching_routers_are_shown_without_a_warning(self):
        answers = {"h:1": self.answer(7), "h:2": self.answer(7)}
        lines = list(fleet_status_lines(answers))
        assert len(lines) == 3
        assert "1, 1 cold, 0 leaving" in lines[1]

    def test_router_with_old_tables_is_reported(self):
        """Guard against an unnoticed router with old tables. It missed a version and
        serves its callers with the old tables, which the other routers don't show.
        """
        answers = {"h:1": self.answer(7), "h:2": self.answer(6, ("s-2",))}
        assert differing_fields(answers) == ["version", "servers"]
        assert "warning: the routers differ in their version" in fleet_status_lines(
            answers
        )

    def test_large_fleet_lists_only_outliers(self):
        """Guard against outliers hidden in a long list. One of two hundred routers has
        old tables and another has reached its processor limit; operators would overlook
        both among two hundred lines.
        """
        answers = {f"h:{n}": self.answer(7) for n in range(200)}
        answers["h:42"] = self.answer(6) | {"router": "behind"}
        answers["h:77"] = self.answer(7) | {"router": "busy", "loop_late_s": 0.08}
        answers["h:99"] = {"error": "gave no answer"}
        lines = list(fleet_status_lines(answers))
        assert lines[0] == "warning: the routers differ in their version"
        assert lines[1] == "197 of 200 routers believe the same"
        assert [line.split()[0] for line in lines[3:]] == ["behind", "busy", "h:99"]

    def test_large_matching_fleet_prints_one_line(self):
        answers = {f"h:{n}": self.answer(7) for n in range(200)}
        assert list(fleet_status_lines(answers)) == [
            "200 of 200 routers believe the same"
        ]

    def test_unreachable_router_exits_with_3(self, run):
        code, out, _ = run("beliefs", "--routers", "127.0.0.1:1")
        assert code == 3
        assert "no answer" in out


class TestPages:
    def commands(self):
        """Yield the commands in the code blocks of the operators' pages."""
        docs = Path(__file__).parents[3] / "docs"
        for name in ("CTL.md", "OPERATING.md"):
            page = (docs / name).read_text().replace("\\\n", " ")
            for block in re.findall(r"```\n(.*?)```", page, re.DOTALL):
                yield from block.split("\n")

    def test_every_documented_command_runs(self, run, files):
        (files / "routes.toml").write_text(ROUTES.replace("1e3", "chat"))
        for name, text in (("new", ROUTES), ("old", ROUTES), ("a", ROUTES)):
            (files / f"{name}.toml").write_text(text)
        (files / "b.toml").write_text('[[workspace]]\nname = "rif"\n')
        lines = [line.split() for line in self.commands() if line.strip()]
        assert len(lines) >= 12
        for line in lines:
            arguments = [*line[1:], *(["--follow=false"] if "audit" in line else [])]
            code, _, err = run(*arguments)
            assert line[0] == "fulmarroadctl"
            assert code in (0, 1), (line, err)


class TestHelp:
    def test_overview_names_every_command(self, run):
        code, out, _ = run("--help")
        assert code == 0
        for command in vars(Commands):
            if not command.startswith("_"):
                assert f"\n  {command} " in OVERVIEW
        assert out == OVERVIEW

    @pytest.mark.parametrize(
        "arguments", [("statu",), ("explain",), ("status", "--x=1")]
    )
    def test_invalid_command_line_exits_with_2(self, run, arguments):
        assert run(*arguments)[0] == 2

    def test_page_names_every_command_and_exit_code(self):
        page = (Path(__file__).parents[3] / "docs" / "CTL.md").read_text()
        for command in vars(Commands):
            if not command.startswith("_"):
                assert f"## {command}" in page
        codes = re.findall(r"^\| (\d) \|", page, re.MULTILINE)
        assert codes == ["0", "1", "2", "3"]
