"""Commands of the tool; each module adds its parsers with ``add_parsers``."""
