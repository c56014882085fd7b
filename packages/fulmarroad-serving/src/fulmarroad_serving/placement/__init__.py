"""Where prompt parts belong, and where a call goes that their engines can't begin."""

from fulmarroad_serving.placement._weights import NO_CLASSES as NO_CLASSES
from fulmarroad_serving.placement._weights import ClassSnapshot as ClassSnapshot
from fulmarroad_serving.placement._weights import PartId as PartId
from fulmarroad_serving.placement._weights import SpeedClasses as SpeedClasses
from fulmarroad_serving.placement._weights import first_servers as first_servers
from fulmarroad_serving.placement._weights import hash_weight as hash_weight
from fulmarroad_serving.placement._weights import home_order as home_order
