"""HTTP/1.1 connections that calls are carried on."""
