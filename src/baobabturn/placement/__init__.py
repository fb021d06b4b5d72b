"""Decisions on where work may go, without network or clock."""
