"""Builders for the parts of a router that depend mainly on its settings."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from pathlib import Path

from fulmarroad.exceptions import ConfigurationError
from fulmarroad.keys import (
    AskMember,
    KeyClocks,
    KeyGroups,
    KeyIdentity,
    KeyLimits,
    KeyStore,
)
from fulmarroad.metrics import Metrics, NoMetrics, StatsdMetrics
from fulmarroad.transport import TlsFiles
from fulmarroad_router.settings import Settings


def build_key_groups(
    settings: Settings,
    incarnation: int,
    ask: AskMember,
    vms: Callable[[], Mapping[str, tuple[str, ...]]],
    clock: Callable[[], float],
) -> KeyGroups:
    """Build the key groups that deduplicate keyed calls, with this router's store."""
    router, keys = settings.router, settings.keys
    store = KeyStore(
        router.name,
        router.data_centre,
        KeyLimits(keys.retention_s, keys.max_per_workspace, keys.max_total),
        now=clock(),
        first_fleet=keys.first_fleet,
    )
    return KeyGroups(
        KeyIdentity(router.name, incarnation, router.data_centre),
        store,
        ask,
        vms,
        KeyClocks(clock, lambda: time.time_ns() // 1_000_000),
    )


def build_metrics(settings: Settings) -> Metrics:
    """Build the metrics client that the settings select."""
    row = settings.metrics
    if not row.host:
        return NoMetrics()
    return StatsdMetrics(row.host, row.port, row.prefix)


def load_tls_files(settings: Settings) -> TlsFiles | None:
    """Read the TLS files; return None if TLS is off.

    Raise `ConfigurationError` if a file can't be read.
    """
    row = settings.tls
    if not row.enabled:
        return None
    try:
        return TlsFiles(
            Path(row.certificate).read_bytes(),
            Path(row.key).read_bytes(),
            Path(row.authority).read_bytes(),
        )
    except OSError as error:
        raise ConfigurationError(
            f"A TLS file can't be read: {error}.",
            hint="Check [tls] in the settings.",
        ) from error
