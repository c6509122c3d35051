"""Document model, publications, fold, snapshots and the routing table."""

from fulmarstile_config.errors import ConfigError, KeyFormatError, RefusedError, SnapshotError
from fulmarstile_config.fold import CustomerFold
from fulmarstile_config.fold_counters import FoldCounters
from fulmarstile_config.fold_state import SectionState
from fulmarstile_config.keys import (
    KeyPair,
    decode_public_key,
    derive_public_key,
    encode_key,
    generate_key_pair,
    sign_publication,
)
from fulmarstile_config.limits import FoldLimits
from fulmarstile_config.publication import (
    Publication,
    PublicationVerdict,
    Refusal,
    RefusalCode,
    SectionChange,
)
from fulmarstile_config.records import encode_record, is_snapshot, stream_name
from fulmarstile_config.routing_table import (
    CompiledDocument,
    CompiledRoute,
    RoutingTable,
    compile_document,
)
from fulmarstile_config.validation import validate_sections

__all__ = [
    "CompiledDocument",
    "CompiledRoute",
    "ConfigError",
    "CustomerFold",
    "FoldCounters",
    "FoldLimits",
    "KeyFormatError",
    "KeyPair",
    "Publication",
    "PublicationVerdict",
    "Refusal",
    "RefusalCode",
    "RefusedError",
    "RoutingTable",
    "SectionChange",
    "SectionState",
    "SnapshotError",
    "compile_document",
    "decode_public_key",
    "derive_public_key",
    "encode_key",
    "encode_record",
    "generate_key_pair",
    "is_snapshot",
    "sign_publication",
    "stream_name",
    "validate_sections",
]
