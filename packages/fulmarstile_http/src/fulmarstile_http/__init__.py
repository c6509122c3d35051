"""HTTP/1.1 connections that carry calls between services."""
