"""Choice between members by the expected end of a call."""

from cactusloft_placement._choice import WorkChooser

__all__ = ['WorkChooser']
