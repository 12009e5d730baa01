"""Writes rows as a text table, as CSV and as a plot."""

import csv

TIME_COLUMN = "at"
TIME_WIDTH = 4

PLOT_PANELS = (
    ("taken", "succeeded", "throttled", "errored"),
    ("forwards", "again", "probes", "connects", "lists"),
    ("full", "reset", "timeout", "unconnected", "out"),
)


def table_lines(rows, columns):
    r"""Returns the lines of a text table, without the columns that are zero in all rows.

    >>> from grebedyke.fleetlog.totals import Row
    >>> rows = [Row(0, {"taken": 2.6, "full": 0}), Row(1, {"taken": 10, "full": 0})]
    >>> print("\n".join(table_lines(rows, ("taken", "full"))))
      at taken
       0     3
       1    10
    """
    used = [name for name in columns if any(row.values[name] for row in rows)]
    cells = [[TIME_COLUMN, *used]]
    cells += [[f"{row.time:g}", *(f"{row.values[name]:.0f}" for name in used)] for row in rows]
    widths = [max(len(line[column]) for line in cells) for column in range(len(cells[0]))]
    widths[0] = max(widths[0], TIME_WIDTH)
    return [" ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True)) for line in cells]


def write_csv(file, rows, columns):
    """Writes all columns as CSV to an open file."""
    writer = csv.writer(file, lineterminator="\n")
    writer.writerow([TIME_COLUMN, *columns])
    writer.writerows([f"{row.time:g}", *(f"{row.values[name]:.3f}" for name in columns)] for row in rows)


def plot(path, rows):
    """Writes a PNG that shows the columns of `PLOT_PANELS` over time.

    Raises:
        ModuleNotFoundError: matplotlib is missing; it is an optional dependency, imported only here.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(PLOT_PANELS), sharex=True, figsize=(10, 9))
    times = [row.time for row in rows]
    for axis, names in zip(axes, PLOT_PANELS, strict=True):
        for name in names:
            axis.plot(times, [row.values[name] for row in rows], label=name)
        axis.legend(loc="upper right", fontsize=8)
        axis.grid(alpha=0.3)
    axes[-1].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
