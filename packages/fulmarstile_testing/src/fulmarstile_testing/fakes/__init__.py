"""Small fakes at the interfaces of the decision cores, in virtual time."""
