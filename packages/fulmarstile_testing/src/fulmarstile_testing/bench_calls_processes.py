"""Processes of the bench of calls."""

from __future__ import annotations

import os
import subprocess
import sys
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

_STOP_TIMEOUT_S: Final = 3.0
_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class BenchProcess:
    """A running process that serves HTTP."""

    address: str
    pid: int

    def read_cpu_s(self) -> float:
        """Returns the processor time used so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(") ")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


@contextmanager
def start_module(module: str, *arguments: str) -> Iterator[BenchProcess]:
    """Runs a module of this package as a process until the context ends.

    Args:
        module: Name of the module; it prints `ready host:port` once it serves.
        arguments: Flags.

    Yields:
        The process.
    """
    command = [sys.executable, "-m", f"fulmarstile_testing.{module}", *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        line = process.stdout.readline().split()
        if line[:1] != ["ready"]:
            raise RuntimeError(f"{module} did not start: {line}")
        yield BenchProcess(line[1], process.pid)
    finally:
        process.terminate()
        try:
            process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        process.stdout.close()
