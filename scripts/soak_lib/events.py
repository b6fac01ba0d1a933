"""Events of streams."""

import re

EVENT = re.compile(r"id: (\d+)\ndata: (.*)@(v\d+)\n\n")


def parse_events(text):
    """Returns number, data and software version of the complete events of a stream."""
    return [(int(number), data, version) for number, data, version in EVENT.findall(text)]
