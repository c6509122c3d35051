"""`fulmarstile status`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fulmarstile_cli.admin_client import open_admin_client
from fulmarstile_cli.command import (
    define_admin,
    define_customer,
    define_json,
    refuse_arguments,
    require,
)
from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_cli.output import (
    describe_convergence,
    print_json,
    print_line,
    print_missing,
    print_table,
)
from fulmarstile_wire.admin import ConvergenceView, CustomerView

if TYPE_CHECKING:
    from collections.abc import Sequence

    from absl import flags


class StatusView(msgspec.Struct, frozen=True):
    """A customer's configuration and on how many daemons it is in force."""

    configuration: CustomerView
    convergence: ConvergenceView


class StatusCommand:
    """Shows each section in force and the daemons that lack the version."""

    name = "status"
    usage = "--admin=HOST:PORT[,...] [--customer=NAME] [--json]"
    summary = "Show the version of each customer, its sections, and where it is in force."

    def define_flags(self, values: flags.FlagValues) -> None:
        """Defines the command's flags."""
        define_admin(values)
        define_customer(values)
        define_json(values)

    async def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> ExitCode:
        """Prints the status of one customer, or of all."""
        refuse_arguments(arguments)
        require(values, "admin")
        async with open_admin_client(values.admin) as client:
            customers = [values.customer] if values.customer else await client.fetch_customers()
            views = []
            for customer in customers:
                configuration = await client.fetch_customer(customer)
                convergence = await client.fetch_convergence(customer, configuration.version)
                views.append(StatusView(configuration, convergence))
        if values.json:
            print_json(views)
        else:
            for view in views:
                _print_status(view)
        return ExitCode.OK


def _print_status(view: StatusView) -> None:
    configuration = view.configuration
    print_line(f"customer {configuration.customer}: {describe_convergence(view.convergence)}")
    print_missing(view.convergence)
    rows = [
        (name, section.version, section.team, section.publication_id)
        for name, section in sorted(configuration.sections.items())
    ]
    if rows:
        print_table(("section", "version", "team", "publication"), rows)
