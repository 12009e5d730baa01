"""The plots of `benchmarks.fleet`: each role's bytes, CPU and state over the number of nodes."""

from pathlib import Path

import click

from benchmarks.fleet_cases import SCENES
from benchmarks.fleet_tables import ALLOWED

PLOTS = (
    ("bytes out", ALLOWED["bytes"], "bytes out a second"),
    ("CPU", ALLOWED["CPU"], "CPU of the parts, of a core"),
    ("state", ALLOWED["resident"], "state, bytes"),
)


def draw(growths, folder):
    """Writes the plots of what `slopes` returned into a folder.

    Raises:
        click.UsageError: The library is missing.
    """
    try:
        import matplotlib
    except ImportError:
        raise click.UsageError("plots need matplotlib: pip install grebedyke[plots]") from None
    # Text as text, and no date: a plot of the same figures is the same file.
    matplotlib.use("svg")
    matplotlib.rcParams |= {"svg.fonttype": "none", "svg.hashsalt": "grebedyke"}
    from matplotlib import pyplot

    for name, limit, label in PLOTS:
        figure, axes = pyplot.subplots(figsize=(8, 4.5))
        axes.set_prop_cycle(color=pyplot.get_cmap("tab20").colors)
        for (role, against), quantities in growths.items():
            growth = quantities.get(name)
            if against == "nodes" and growth and growth.slope and not role.startswith(SCENES):
                axes.loglog(growth.sizes, growth.values, "o-", label=role, markersize=3, linewidth=1)
        axes.axhline(limit, color="black", linestyle="--", linewidth=1)
        axes.set(xlabel="nodes", ylabel=label)
        axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1, 0.5))
        figure.tight_layout()
        figure.savefig(Path(folder, f"{name.replace(' ', '-')}.svg"), metadata={"Date": None})
        pyplot.close(figure)
