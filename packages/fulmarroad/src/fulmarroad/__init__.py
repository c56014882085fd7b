"""Coordination parts for a fleet of routers that shares capacity fairly."""

from fulmarroad.audit import AuditRecord as AuditRecord
from fulmarroad.audit import AuditTrail as AuditTrail
from fulmarroad.exceptions import ConfigurationError as ConfigurationError
from fulmarroad.exceptions import FulmarroadError as FulmarroadError
from fulmarroad.exceptions import MessageError as MessageError
from fulmarroad.exceptions import TransportError as TransportError
from fulmarroad.tables import Pool as Pool
from fulmarroad.tables import Route as Route
from fulmarroad.tables import Tables as Tables
from fulmarroad.tables import Workspace as Workspace
from fulmarroad.types import Epoch as Epoch
from fulmarroad.types import ShardId as ShardId
from fulmarroad.types import Unit as Unit
