"""Comparison of resource files with the configuration in force."""

from figtray.cli import documents as documents_lib

_COLUMNS = ('', 'kind', 'name', 'field', 'current', 'new')


def read_current(client, kinds):
    """Return the resources in force of some kinds.

    Args:
        client: the Client.
        kinds: resources.Kinds.

    Returns:
        Mapping of (Kind, name) to resources as the API returns them.
    """
    return {
        (kind, item['name']): item
        for kind in kinds
        for item in client.list(kind)
    }


def compute(client, documents):
    """Return the documents.Differences of Documents from what is in force."""
    current = read_current(client, {item.kind for item in documents})
    return documents_lib.compare(documents, current)


def to_data(differences):
    """Return documents.Differences as plain data."""
    return [
        {
            'kind': difference.document.kind.value,
            'name': difference.document.name,
            'version': difference.version,
            'fields': difference.fields,
        }
        for difference in differences
    ]


def show(session, differences):
    """Print documents.Differences."""
    session.show(to_data(differences), _COLUMNS, rows(differences))


def show_table(session, differences):
    """Print documents.Differences as a table, if there are any."""
    if differences:
        session.show(None, _COLUMNS, rows(differences))


def rows(differences):
    """Return a row for each differing field of documents.Differences."""
    return [
        (
            '~' if difference.version else '+',
            difference.document.kind.value,
            difference.document.name,
            field,
            old,
            new,
        )
        for difference in differences
        for field, (old, new) in difference.fields.items()
    ]
