"""Command line for operators of a fulmarroad fleet."""
