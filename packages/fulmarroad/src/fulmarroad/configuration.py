"""Polling of the configuration service and of the VM list."""

from fulmarroad._config_polling import Backoff, Poller
from fulmarroad._config_source import (
    ConfigurationSource,
    HttpConfigurationSource,
    SourceReply,
)
from fulmarroad._config_task import ConfigurationWatcher
from fulmarroad._vm_listing import VmListing, VmState, parse_vm_list

__all__ = [
    "Backoff",
    "ConfigurationSource",
    "ConfigurationWatcher",
    "HttpConfigurationSource",
    "Poller",
    "SourceReply",
    "VmListing",
    "VmState",
    "parse_vm_list",
]
