"""Settings of a router process, read from a TOML file and validated as a whole.

Invalid settings must not surface later as failures under load. All problems are
reported at once and the process exits with code 2 before it binds a port.
docs/SETTINGS.md lists every field.
"""

from __future__ import annotations

import enum
import ipaddress
import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

from attrs import evolve, field, fields, frozen

from fulmarroad import checks
from fulmarroad.exceptions import ConfigurationError

MIN_SECRET_LENGTH = 16
"""Minimum characters of a token or secret; a shorter one can be found by trying."""

MAX_FILE_BYTES = 1024 * 1024
"""Maximum bytes of a settings or secret file; a larger one is the wrong file."""


class LogLevel(enum.StrEnum):
    """List the log levels; records below the chosen one are dropped."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class PolicyName(enum.StrEnum):
    """List the scheduling policies; all but `fleet` are benchmark baselines."""

    FLEET = "fleet"
    LOCAL = "local"
    FIFO = "fifo"


@frozen
class RouterSettings:
    """Identify this router; the VM list and the tables use the same two names."""

    name: str
    data_centre: str


@frozen
class ListenSettings:
    """Hold the listen addresses of this router; port 0 picks a free port.

    Callers connect to `host` and `port`. Other routers connect to `peer_host`, on
    `peer_port` over TCP and on `gossip_port` over UDP.
    """

    host: str
    port: int
    peer_host: str
    peer_port: int
    gossip_port: int
    admin_host: str = "127.0.0.1"
    admin_port: int = 0


@frozen
class PlatformSettings:
    """Hold the URLs from which the configuration and the VM list are read."""

    configuration: str
    vm_list: str = ""  # empty: the same as `configuration`


@frozen
class AdminSettings:
    """Hold the bearer token of the admin port, or the path of its file."""

    token: str = field(default="", repr=False)
    token_file: str = ""


@frozen
class TlsSettings:
    """Hold the paths of the PEM files for mutual TLS between routers."""

    certificate: str = ""
    key: str = ""
    authority: str = ""

    @property
    def enabled(self) -> bool:
        """Return whether all three files are configured."""
        return bool(self.certificate and self.key and self.authority)


@frozen
class ClusterSettings:
    """Hold the secret that signs membership packets, or the path of its file."""

    secret: str = field(default="", repr=False)
    secret_file: str = ""


@frozen
class LimitsSettings:
    """Limit the load of one router; `max_requests` includes waiting requests."""

    max_requests: int = 1024
    max_body_bytes: int = 8 * 1024 * 1024
    drain_timeout_s: float = 900.0


@frozen
class MetricsSettings:
    """Hold the statsd address; an empty `host` switches metrics off."""

    host: str = ""
    port: int = 8125
    prefix: str = "fulmarroad"


@frozen
class LogSettings:
    """Hold the log level."""

    level: LogLevel = LogLevel.INFO


@frozen
class KeysSettings:
    """Limit the records of calls that must not be repeated.

    `first_fleet` states that no router of the fleet has served calls before, so this
    router votes on keys without copying records from others first.
    """

    retention_s: float = 3600.0
    max_per_workspace: int = 2048
    max_total: int = 16384
    first_fleet: bool = False


@frozen
class BenchSettings:
    """Hold switches that only experiments use."""

    policy: PolicyName = PolicyName.FLEET
    allow_cut: bool = False


@frozen
class Settings:
    """Hold all settings of a router process."""

    router: RouterSettings
    listen: ListenSettings
    platform: PlatformSettings
    admin: AdminSettings
    tls: TlsSettings = TlsSettings()
    cluster: ClusterSettings = ClusterSettings()
    limits: LimitsSettings = LimitsSettings()
    metrics: MetricsSettings = MetricsSettings()
    log: LogSettings = LogSettings()
    keys: KeysSettings = KeysSettings()
    bench: BenchSettings = BenchSettings()

    @property
    def admin_uses_tls(self) -> bool:
        """Return whether the admin port uses HTTPS, which it must off loopback."""
        return self.tls.enabled and not _is_loopback(self.listen.admin_host)


def _url(value: Any) -> str:
    fault = f"must be as http://10.0.0.2:9000, with a port; is {checks.shown(value)}"
    try:
        parts = urlsplit(checks.text(1024)(value))
        valid = parts.scheme in ("http", "https") and parts.hostname and parts.port
    except ValueError:
        valid = False
    if not valid or parts.query or parts.fragment or "@" in parts.netloc:
        raise ValueError(fault)
    return value.rstrip("/")


def _peer_host(value: Any) -> str:
    host = checks.ip(value)
    if ipaddress.ip_address(host).is_unspecified:
        raise ValueError(f"must be an address that other routers reach; is {host}")
    return host


def _secret(value: Any) -> str:
    # Error messages end up in logs, so they leave out the value.
    if not isinstance(value, str) or len(value) < MIN_SECRET_LENGTH:
        raise ValueError(f"must be text of at least {MIN_SECRET_LENGTH} characters")
    if len(value) > 1024 or not value.isascii() or not value.isprintable():
        raise ValueError("must be at most 1024 printable ASCII characters")
    return value


_port = checks.whole(0, 65535)
_file_path = checks.text(4096)
_seconds = checks.number(0.1, 604_800.0)
_count = checks.whole(1, 10_000_000)

_SECTIONS: dict[str, tuple[type, dict[str, checks.Check]]] = {
    "router": (RouterSettings, {"name": checks.name, "data_centre": checks.name}),
    "listen": (
        ListenSettings,
        {
            "host": checks.ip,
            "port": _port,
            "admin_host": checks.ip,
            "admin_port": _port,
            "peer_host": _peer_host,
            "peer_port": _port,
            "gossip_port": _port,
        },
    ),
    "platform": (PlatformSettings, {"configuration": _url, "vm_list": _url}),
    "admin": (AdminSettings, {"token": _secret, "token_file": _file_path}),
    "tls": (
        TlsSettings,
        {"certificate": _file_path, "key": _file_path, "authority": _file_path},
    ),
    "cluster": (ClusterSettings, {"secret": _secret, "secret_file": _file_path}),
    "limits": (
        LimitsSettings,
        {
            "max_requests": _count,
            "max_body_bytes": checks.whole(0, 2**30),
            "drain_timeout_s": _seconds,
        },
    ),
    "metrics": (
        MetricsSettings,
        {"host": checks.ip, "port": checks.whole(1, 65535), "prefix": checks.name},
    ),
    "log": (LogSettings, {"level": checks.choice(LogLevel)}),
    "keys": (
        KeysSettings,
        {
            "retention_s": _seconds,
            "max_per_workspace": _count,
            "max_total": _count,
            "first_fleet": checks.flag,
        },
    ),
    "bench": (
        BenchSettings,
        {"policy": checks.choice(PolicyName), "allow_cut": checks.flag},
    ),
}
_REQUIRED = ("router", "listen", "platform", "admin")


def load_settings(path: str | Path) -> Settings:
    """Load settings from a file, including the secrets in the files it names.

    Relative paths are resolved against the directory of the settings file. Raise
    `ConfigurationError` that lists all problems.
    """
    try:
        text = _read_file(Path(path))
    except ValueError as error:
        raise ConfigurationError(f"The settings {path} {error}.") from error
    settings = parse_settings(text)
    return _FileResolver(Path(path).parent).resolve(settings)


def parse_settings(text: str) -> Settings:
    """Parse settings from TOML text, without reading the files that it names.

    Raise `ConfigurationError` that lists all problems.
    """
    try:
        document = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(
            f"The settings are not valid TOML: {error}."
        ) from error
    problems: list[str] = []
    sections = _read_sections(document, problems)
    problems += _cross_check(sections)
    _raise_if_any(problems)
    settings = Settings(**sections)
    if settings.platform.vm_list:
        return settings
    source = settings.platform.configuration
    return evolve(settings, platform=evolve(settings.platform, vm_list=source))


def _raise_if_any(problems: list[str]) -> None:
    if problems:
        raise ConfigurationError(
            "The settings are not valid.",
            problems=tuple(problems),
            hint="docs/SETTINGS.md lists every field with its range.",
        )


def _read_sections(document: Mapping[str, Any], problems: list[str]) -> dict[str, Any]:
    for name in document:
        if name not in _SECTIONS:
            known = ", ".join(f"[{section}]" for section in _SECTIONS)
            problems.append(f"{name}: is no section; the sections are {known}")
    sections: dict[str, Any] = {}
    for name, (cls, section_checks) in _SECTIONS.items():
        if name not in document and name not in _REQUIRED:
            continue
        row = document.get(name, {})
        if not isinstance(row, dict):
            problems.append(f"{name}: must be written as [{name}]")
            continue
        section = checks.read_row(
            cls, row, section_checks, _problem_reporter(name, problems)
        )
        if section is not None:
            sections[name] = section
    return sections


def _problem_reporter(section: str, problems: list[str]) -> checks.Report:
    return lambda key, fault: problems.append(f"{section}.{key}: {fault}")


def _cross_check(sections: Mapping[str, Any]) -> list[str]:
    problems = [*_check_secret_sources(sections), *_check_tls_files(sections)]
    listen = sections.get("listen")
    if listen is None:
        return problems
    tls = sections.get("tls", TlsSettings())
    cluster = sections.get("cluster", ClusterSettings())
    problems += _check_non_loopback(listen, tls, cluster)
    problems += _check_distinct_ports(listen)
    return problems


def _check_secret_sources(sections: Mapping[str, Any]) -> list[str]:
    problems = []
    admin = sections.get("admin")
    if admin is not None and bool(admin.token) == bool(admin.token_file):
        problems.append("admin: must have either token or token_file")
    cluster = sections.get("cluster")
    if cluster is not None and bool(cluster.secret) == bool(cluster.secret_file):
        problems.append("cluster: must have either secret or secret_file")
    return problems


def _check_tls_files(sections: Mapping[str, Any]) -> list[str]:
    tls = sections.get("tls")
    if tls is None or tls.enabled:
        return []
    missing = [
        name for name in ("certificate", "key", "authority") if not getattr(tls, name)
    ]
    return [f"tls.{name}: is missing; set all three files or none" for name in missing]


def _check_non_loopback(
    listen: ListenSettings, tls: TlsSettings, cluster: ClusterSettings
) -> list[str]:
    problems = []
    peers_off_loopback = not _is_loopback(listen.peer_host)
    if peers_off_loopback and not tls.enabled:
        problems.append(
            f"listen.peer_host: {listen.peer_host} is not loopback, so peers need "
            "mutual TLS: set certificate, key and authority in [tls]"
        )
    if peers_off_loopback and not (cluster.secret or cluster.secret_file):
        problems.append(
            f"listen.peer_host: {listen.peer_host} is not loopback, so membership "
            "packets must be signed: set secret_file in [cluster]"
        )
    if not _is_loopback(listen.admin_host) and not tls.enabled:
        problems.append(
            f"listen.admin_host: {listen.admin_host} is not loopback, so the admin "
            "token would cross the network in plain text: set the files in [tls]"
        )
    return problems


def _is_loopback(host: str) -> bool:
    return ipaddress.ip_address(host).is_loopback


def _check_distinct_ports(listen: ListenSettings) -> list[str]:
    # The gossip port is UDP, so it may have the same number as a TCP port.
    field_by_port: dict[int, str] = {}
    problems = []
    for name in ("port", "admin_port", "peer_port"):
        port = getattr(listen, name)
        other = field_by_port.setdefault(port, name)
        if port and other != name:
            problems.append(f"listen.{name}: {port} is also listen.{other}")
    return problems


def _read_file(path: Path) -> str:
    """Return a file's text; raise `ValueError` with the reason if that fails."""
    try:
        if os.path.getsize(path) > MAX_FILE_BYTES:
            raise ValueError("is larger than 1 MB, so it is probably the wrong file")
        return path.read_text()
    except UnicodeDecodeError as error:
        raise ValueError("is not valid text") from error
    except OSError as error:
        raise ValueError(f"can't be read: {error.strerror}") from error


class _FileResolver:
    """Resolve the paths in settings and read the secret files."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._problems: list[str] = []

    def resolve(self, settings: Settings) -> Settings:
        """Return the settings with the secrets filled in and resolved paths."""
        admin, cluster = settings.admin, settings.cluster
        if admin.token_file:
            admin = evolve(
                admin, token=self._secret("admin.token_file", admin.token_file)
            )
        if cluster.secret_file:
            secret = self._secret("cluster.secret_file", cluster.secret_file)
            cluster = evolve(cluster, secret=secret)
        tls = self._tls(settings.tls)
        _raise_if_any(self._problems)
        return evolve(settings, admin=admin, cluster=cluster, tls=tls)

    def _secret(self, key: str, name: str) -> str:
        try:
            return _secret(_read_file(self._directory / name).strip())
        except ValueError as error:
            self._problems.append(f"{key}: {name} {error}")
            return ""

    def _tls(self, tls: TlsSettings) -> TlsSettings:
        if not tls.enabled:
            return tls
        paths: dict[str, str] = {}
        for attribute in fields(TlsSettings):
            path = self._directory / getattr(tls, attribute.name)
            paths[attribute.name] = str(path)
            if not path.is_file():
                self._problems.append(f"tls.{attribute.name}: {path} is not a file")
        return TlsSettings(**paths)
