"""Bodies of the requests to the operators' API."""

import msgspec

from figtray.api import edits as edits_lib
from figtray.configuration import resources
from figtray import errors


class PutBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a PUT request."""

    spec: dict


class Edit(msgspec.Struct, forbid_unknown_fields=True):
    """Edit of one resource in a change of several resources.

    `version` is the expected version, 0 for a new resource. A `spec` of null
    deletes the resource.
    """

    kind: resources.Kind
    name: str
    version: int
    spec: dict | None

    def decode(self):
        """Return the edits.Put or edits.Delete.

        Raises:
            ValidationFailed: the version is negative.
        """
        if self.version < 0:
            raise errors.ValidationFailed(
                field='version', value=self.version, allowed='0 or more'
            )
        if self.spec is None:
            return edits_lib.Delete(self.kind, self.name, self.version)
        return edits_lib.Put(self.kind, self.name, self.spec, self.version)


class ChangesBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request that changes several resources atomically."""

    resources: list[Edit]
    dry_run: bool = False


class KeyBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request that creates a key."""

    team: str
