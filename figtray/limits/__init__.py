"""Upper limits of teams: allotments of the entries and their recount."""
