"""Settings of a router process, read from TOML and checked whole.

A router that started on half-read settings would fail later, under load and in a way
that nobody expects; so every fault is listed at once and the process ends with exit
code 2 before it binds a port. docs/SETTINGS.md lists every field.
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

SHORTEST_SECRET = 16
"""Characters of a token or secret; a shorter one can be found by trying."""

LARGEST_FILE = 1024 * 1024
"""Bytes of the settings or a secret; a larger file is some other file."""


class LogLevel(enum.StrEnum):
    """Name the least level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class PolicyName(enum.StrEnum):
    """Name the scheduling policy; all but `fleet` are baselines of the bench."""

    FLEET = "fleet"
    LOCAL = "local"
    FIFO = "fifo"


@frozen
class RouterSettings:
    """Say who this router is; both names as in the VM list and the tables."""

    name: str
    data_centre: str


@frozen
class ListenSettings:
    """Say where this router listens; a port of 0 picks a free one.

    `host` and `port` are for callers, `peer_host` for the other routers: `peer_port`
    over TCP, `gossip_port` over UDP.
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
    """Say where configuration and VM list are read."""

    configuration: str
    vm_list: str = ""  # empty: the same as `configuration`


@frozen
class AdminSettings:
    """Hold the operators' bearer token, or the file that has it."""

    token: str = field(default="", repr=False)
    token_file: str = ""


@frozen
class TlsSettings:
    """Name the PEM files of mutual TLS between routers."""

    certificate: str = ""
    key: str = ""
    authority: str = ""

    @property
    def enabled(self) -> bool:
        """Tell whether the files are named."""
        return bool(self.certificate and self.key and self.authority)


@frozen
class ClusterSettings:
    """Hold the secret that signs membership packets, or the file that has it."""

    secret: str = field(default="", repr=False)
    secret_file: str = ""


@frozen
class LimitsSettings:
    """Bound what one router takes on; `max_requests` counts waiting ones too."""

    max_requests: int = 1024
    max_body_bytes: int = 8 * 1024 * 1024
    drain_timeout_s: float = 900.0


@frozen
class MetricsSettings:
    """Say where statsd metrics go; nowhere if `host` is empty."""

    host: str = ""
    port: int = 8125
    prefix: str = "fulmarroad"


@frozen
class LogSettings:
    """Say what is logged."""

    level: LogLevel = LogLevel.INFO


@frozen
class KeysSettings:
    """Bound the records of calls that may not be repeated.

    `first_fleet` says that no router of the fleet ever served before, so that this one
    votes on keys without having copied any records.
    """

    retention_s: float = 3600.0
    max_per_workspace: int = 2048
    max_total: int = 16384
    first_fleet: bool = False


@frozen
class BenchSettings:
    """Switch on what only experiments use."""

    policy: PolicyName = PolicyName.FLEET
    allow_cut: bool = False


@frozen
class Settings:
    """Hold every setting of a router process."""

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
        """Tell whether the admin port speaks HTTPS, as it does off loopback."""
        return self.tls.enabled and not _is_loopback(self.listen.admin_host)


def _url(value: Any) -> str:
    fault = f"must be as http://10.0.0.2:9000, with a port; is {checks.shown(value)}"
    try:
        parts = urlsplit(checks.text(1024)(value))
        sound = parts.scheme in ("http", "https") and parts.hostname and parts.port
    except ValueError:
        sound = False
    if not sound or parts.query or parts.fragment or "@" in parts.netloc:
        raise ValueError(fault)
    return value.rstrip("/")


def _peer_host(value: Any) -> str:
    host = checks.ip(value)
    if ipaddress.ip_address(host).is_unspecified:
        raise ValueError(f"must be an address that other routers reach; is {host}")
    return host


def _secret(value: Any) -> str:
    # The value isn't shown, as error messages end up in logs.
    if not isinstance(value, str) or len(value) < SHORTEST_SECRET:
        raise ValueError(f"must be text of at least {SHORTEST_SECRET} characters")
    if len(value) > 1024 or not value.isascii() or not value.isprintable():
        raise ValueError("must be at most 1024 printable ASCII characters")
    return value


_port = checks.whole(0, 65535)
_file = checks.text(4096)
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
    "admin": (AdminSettings, {"token": _secret, "token_file": _file}),
    "tls": (TlsSettings, {"certificate": _file, "key": _file, "authority": _file}),
    "cluster": (ClusterSettings, {"secret": _secret, "secret_file": _file}),
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
    """Return the settings of a file, with secrets read from the files it names.

    Names of files are relative to the settings' directory. Raise `ConfigurationError`
    with every problem.
    """
    try:
        text = _read_file(Path(path))
    except ValueError as error:
        raise ConfigurationError(f"The settings {path} {error}.") from error
    settings = parse_settings(text)
    return _Files(Path(path).parent).resolve(settings)


def parse_settings(text: str) -> Settings:
    """Return the settings of a TOML text; files that it names aren't read.

    Raise `ConfigurationError` with every problem.
    """
    try:
        document = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"The settings are no TOML: {error}.") from error
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
            problems.append(f"{name}: is no section; known are {known}")
    sections: dict[str, Any] = {}
    for name, (cls, section_checks) in _SECTIONS.items():
        if name not in document and name not in _REQUIRED:
            continue
        row = document.get(name, {})
        if not isinstance(row, dict):
            problems.append(f"{name}: must be written as [{name}]")
            continue
        section = checks.read_row(cls, row, section_checks, _report(name, problems))
        if section is not None:
            sections[name] = section
    return sections


def _report(section: str, problems: list[str]) -> checks.Report:
    return lambda key, fault: problems.append(f"{section}.{key}: {fault}")


def _cross_check(sections: Mapping[str, Any]) -> list[str]:
    problems = [*_one_secret(sections), *_whole_tls(sections)]
    listen = sections.get("listen")
    if listen is None:
        return problems
    tls = sections.get("tls", TlsSettings())
    cluster = sections.get("cluster", ClusterSettings())
    problems += _off_loopback(listen, tls, cluster)
    problems += _same_ports(listen)
    return problems


def _one_secret(sections: Mapping[str, Any]) -> list[str]:
    problems = []
    admin = sections.get("admin")
    if admin is not None and bool(admin.token) == bool(admin.token_file):
        problems.append("admin: must have either token or token_file")
    cluster = sections.get("cluster")
    if cluster is not None and bool(cluster.secret) == bool(cluster.secret_file):
        problems.append("cluster: must have either secret or secret_file")
    return problems


def _whole_tls(sections: Mapping[str, Any]) -> list[str]:
    tls = sections.get("tls")
    if tls is None or tls.enabled:
        return []
    lacking = [
        name for name in ("certificate", "key", "authority") if not getattr(tls, name)
    ]
    return [f"tls.{name}: is missing; name all three files or none" for name in lacking]


def _off_loopback(
    listen: ListenSettings, tls: TlsSettings, cluster: ClusterSettings
) -> list[str]:
    problems = []
    peers_outside = not _is_loopback(listen.peer_host)
    if peers_outside and not tls.enabled:
        problems.append(
            f"listen.peer_host: {listen.peer_host} is not loopback, so peers need "
            "mutual TLS: name certificate, key and authority in [tls]"
        )
    if peers_outside and not (cluster.secret or cluster.secret_file):
        problems.append(
            f"listen.peer_host: {listen.peer_host} is not loopback, so membership "
            "packets must be signed: give secret_file in [cluster]"
        )
    if not _is_loopback(listen.admin_host) and not tls.enabled:
        problems.append(
            f"listen.admin_host: {listen.admin_host} is not loopback, so the admin "
            "token would cross the network in the clear: name the files in [tls]"
        )
    return problems


def _is_loopback(host: str) -> bool:
    return ipaddress.ip_address(host).is_loopback


def _same_ports(listen: ListenSettings) -> list[str]:
    # The gossip port is UDP, so it may have the number of a TCP port.
    taken: dict[int, str] = {}
    problems = []
    for name in ("port", "admin_port", "peer_port"):
        port = getattr(listen, name)
        other = taken.setdefault(port, name)
        if port and other != name:
            problems.append(f"listen.{name}: {port} is also listen.{other}")
    return problems


def _read_file(path: Path) -> str:
    """Return a file's text, or raise `ValueError` that says what to do."""
    try:
        if os.path.getsize(path) > LARGEST_FILE:
            raise ValueError("is larger than 1 MB, so it is another file")
        return path.read_text()
    except UnicodeDecodeError as error:
        raise ValueError("is no text") from error
    except OSError as error:
        raise ValueError(f"can't be read: {error.strerror}") from error


class _Files:
    """Find the files that settings name, and read the secrets."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._problems: list[str] = []

    def resolve(self, settings: Settings) -> Settings:
        """Return the settings with secrets in place and whole file names."""
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
                self._problems.append(f"tls.{attribute.name}: {path} is no file")
        return TlsSettings(**paths)
