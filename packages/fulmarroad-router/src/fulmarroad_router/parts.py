"""Build the parts of a router that follow from its settings alone."""

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
    """Return the guard of keyed calls, with this router's own records."""
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
    """Return the metrics that the settings ask for."""
    row = settings.metrics
    if not row.host:
        return NoMetrics()
    return StatsdMetrics(row.host, row.port, row.prefix)


def load_tls_files(settings: Settings) -> TlsFiles | None:
    """Return the texts of the TLS files; raise `ConfigurationError`."""
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
