"""The plots of `benchmarks.fleet`: bytes, CPU and state of each role over the number of nodes."""

from pathlib import Path

import click

from benchmarks.fleet_cases import SCENES
from benchmarks.fleet_tables import CONTROL_BUDGET

PLOTS = (
    ("bytes out", CONTROL_BUDGET["bytes"], "bytes out per second"),
    ("CPU", CONTROL_BUDGET["CPU"], "CPU of the components, cores"),
    ("state", CONTROL_BUDGET["resident"], "state, bytes"),
)


def draw_plots(growths, folder):
    """Writes the plots of the growths returned by `fit_growths` into a folder.

    Raises:
        click.UsageError: matplotlib is not installed.
    """
    try:
        import matplotlib
    except ImportError:
        raise click.UsageError("plots need matplotlib: pip install grebedyke[plots]") from None
    # Text is not converted to paths and no date is written, so that equal figures give equal files.
    matplotlib.use("svg")
    matplotlib.rcParams |= {"svg.fonttype": "none", "svg.hashsalt": "grebedyke"}
    from matplotlib import pyplot

    for name, budget, label in PLOTS:
        figure, axes = pyplot.subplots(figsize=(8, 4.5))
        axes.set_prop_cycle(color=pyplot.get_cmap("tab20").colors)
        for (role, against), quantities in growths.items():
            growth = quantities.get(name)
            if against == "nodes" and growth and growth.fit and not role.startswith(SCENES):
                axes.loglog(growth.sizes, growth.values, "o-", label=role, markersize=3, linewidth=1)
        axes.axhline(budget, color="black", linestyle="--", linewidth=1)
        axes.set(xlabel="nodes", ylabel=label)
        axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1, 0.5))
        figure.tight_layout()
        figure.savefig(Path(folder, f"{name.replace(' ', '-')}.svg"), metadata={"Date": None})
        pyplot.close(figure)
