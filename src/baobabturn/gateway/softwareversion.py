"""The version of the software that an endpoint runs.

What two versions of an engine write doesn't fit together, so a generation continues
only at the version that began it.
"""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class SoftwareVersion:
    """The software version that an endpoint's entry names.

    An endpoint whose entry names none has a version of its own, by its name and
    incarnation, which equals no other.  This is neither the version of a model's
    weights nor that of the operator's configuration.
    """

    name: str = ""
    endpoint: str = ""
    incarnation: int = 0

    @property
    def key(self) -> str:
        """Return a text that is the same for equal versions only.

        Example::

            >>> SoftwareVersion(name="v1.2").key
            'v:v1.2'
            >>> SoftwareVersion(endpoint="e3", incarnation=17).key
            'e:17:e3'
        """
        if self.name:
            return f"v:{self.name}"
        return f"e:{self.incarnation}:{self.endpoint}"
