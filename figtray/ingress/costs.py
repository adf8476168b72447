"""Memory that a request takes beyond its bytes on the wire."""

# A body is gathered, and read as a whole.
BODY_COPIES = 2
# A line of a header, as a field of the parsed header.
HEADER_LINE_BYTES = 120
# A step of a job in the form of the messages and in that of the model.
OBJECT_BYTES = 420
# An element of a list, or a field of an object.
ELEMENT_BYTES = 40


def header_bytes(lines):
    """Return the memory of the parsed lines of a header."""
    return HEADER_LINE_BYTES * lines


def body_bytes(length):
    """Return the memory of a body of a length, before it is parsed."""
    return BODY_COPIES * length


def parsed_bytes(body):
    """Return the most memory that the parsed form of a JSON body takes.

    Args:
        body: the bytes.
    """
    return OBJECT_BYTES * body.count(b'{') + ELEMENT_BYTES * body.count(b',')
