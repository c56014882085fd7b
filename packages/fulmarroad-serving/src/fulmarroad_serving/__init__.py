"""Route calls to backend servers that register themselves, as one router of a fleet.

The decision logic does no I/O and can be embedded; `contracts` defines the interfaces
that a platform adapter implements.
"""

from fulmarroad_serving._attempts import CallProgress as CallProgress
from fulmarroad_serving._attempts import SendOutcome as SendOutcome
from fulmarroad_serving._baselines import DEFAULT_PLACEMENT as DEFAULT_PLACEMENT
from fulmarroad_serving._baselines import PLACEMENTS as PLACEMENTS
from fulmarroad_serving._baselines import ChooseEngine as ChooseEngine
from fulmarroad_serving._baselines import placement_named as placement_named
from fulmarroad_serving._catalog import CallerLimits as CallerLimits
from fulmarroad_serving._catalog import CallKind as CallKind
from fulmarroad_serving._catalog import Catalog as Catalog
from fulmarroad_serving._catalog import CatalogIndex as CatalogIndex
from fulmarroad_serving._catalog import EngineProfile as EngineProfile
from fulmarroad_serving._catalog import KeyHolder as KeyHolder
from fulmarroad_serving._catalog import ServedRoute as ServedRoute
from fulmarroad_serving._catalog import Service as Service
from fulmarroad_serving._catalog import Target as Target
from fulmarroad_serving._catalog import digest_key as digest_key
from fulmarroad_serving._demands import Demand as Demand
from fulmarroad_serving._demands import FleetBounds as FleetBounds
from fulmarroad_serving._demands import Placement as Placement
from fulmarroad_serving._demands import Refusal as Refusal
from fulmarroad_serving._demands import Ticket as Ticket
from fulmarroad_serving._dispatch import Dispatcher as Dispatcher
from fulmarroad_serving._features import FeatureMode as FeatureMode
from fulmarroad_serving._features import Features as Features
from fulmarroad_serving._features import FeatureSettings as FeatureSettings
from fulmarroad_serving._features import parse_features as parse_features
from fulmarroad_serving._positions import Position as Position
from fulmarroad_serving._positions import era_of as era_of
from fulmarroad_serving._positions import position as position
from fulmarroad_serving._positions import revision_of as revision_of
from fulmarroad_serving._registry import Instance as Instance
from fulmarroad_serving._registry import Registry as Registry
from fulmarroad_serving._replica import ReplicaItem as ReplicaItem
from fulmarroad_serving._replica import StateReplica as StateReplica
