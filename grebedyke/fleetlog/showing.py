"""Rows as a table, as CSV and as a plot."""

import csv


def table(rows, columns):
    """Lines of text; columns in which nothing ever happened are left out.

    >>> rows = [(0, {"taken": 2.6, "full": 0}), (1, {"taken": 10, "full": 0})]
    >>> print("\\n".join(table(rows, ("taken", "full"))))
      at taken
       0     3
       1    10
    """
    used = [name for name in columns if any(row[name] for _, row in rows)]
    cells = [["at", *used]] + [[f"{at:g}", *(f"{row[name]:.0f}" for name in used)] for at, row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(cells[0]))]
    widths[0] = max(widths[0], 4)
    return [" ".join(cell.rjust(width) for cell, width in zip(row, widths)) for row in cells]


def write_csv(file, rows, columns):
    out = csv.writer(file, lineterminator="\n")
    out.writerow(["at", *columns])
    out.writerows([f"{at:g}", *(f"{row[name]:.3f}" for name in columns)] for at, row in rows)


def plot(path, rows):
    """Three panels over time; the library is an extra (`plots`) and is loaded here only."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    panels = (
        ("taken", "succeeded", "throttled", "errored"),
        ("forwards", "again", "probes", "connects", "lists"),
        ("full", "reset", "timeout", "unconnected", "out"),
    )
    figure, axes = pyplot.subplots(len(panels), sharex=True, figsize=(10, 9))
    for axis, names in zip(axes, panels):
        for name in names:
            axis.plot([at for at, _ in rows], [row[name] for _, row in rows], label=name)
        axis.legend(loc="upper right", fontsize=8)
        axis.grid(alpha=0.3)
    axes[-1].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
