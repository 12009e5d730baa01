"""What a scale run has counted, by role: rows for a table and JSON, and what is over the limits."""

from statistics import median

# What operators grant a node's control: percent of a core, bytes in memory, bytes a second in and out.
CPU, MEMORY, BYTES = 1.1, 64_000_000, 3_000
# A hollow node stands for a real one where it differs by that at most.
TENTH = 0.1
COUNTED = (
    "messages_out",
    "bytes_out",
    "messages_in",
    "bytes_in",
    "cpu_parts",
    "cpu_process",
    "calls",
    "memory",
    "resident",
    "objects",
    "state",
)
# `asked`: the node that the operators call, which proposes what they want.
ROLES = "holder", "driver", "voter", "other", "asked", "down"
# Why a figure may differ, where it is of such a kind.
WHY = {
    "cpu_process": "a real process has its own loop, beat, watch of the list and log beside its parts; many "
    "hollow nodes share one loop",
    "calls": "a real node asks its parts also in turns that are none of theirs: its list, its clock",
    "memory": "a real process has an interpreter and the rest of a node of its own; many hollow nodes share "
    "them",
}


def rows_of(nodes):
    """One row for each role and kind of node: median, least and most of each count."""
    rows = []
    for role in sorted(
        {node["role"] for node in nodes}, key=lambda role: (ROLES.index(role.split()[0]), role)
    ):
        for real in (False, True):
            some = [node for node in nodes if node["role"] == role and node["real"] == real]
            if not some:
                continue
            row = {"role": role, "kind": "real" if real else "hollow", "nodes": len(some)}
            for key in COUNTED:
                if found := [node[key] for node in some if key in node]:
                    row[key] = {"median": median(found), "least": min(found), "most": max(found)}
            rows.append(row)
    return rows


def compared(nodes):
    """Each count of a role's hollow nodes beside the real ones': medians, their ratio, and what it means."""
    rows = []
    by = {(row["role"], row["kind"]): row for row in rows_of(nodes)}
    for role in ROLES:
        hollow, real = by.get((role, "hollow")), by.get((role, "real"))
        if not hollow or not real:
            continue
        for key in COUNTED:
            if key in hollow and key in real:
                a, b = hollow[key]["median"], real[key]["median"]
                ratio = a / b if b else 1.0 if not a else float("inf")
                within = abs(ratio - 1) <= TENTH
                rows.append(
                    {
                        "role": role,
                        "count": key,
                        "hollow": a,
                        "real": b,
                        "ratio": ratio,
                        "within": within,
                        "why": "" if within else WHY.get(key, "not explained"),
                    }
                )
    return rows


def over_limits(windows):
    """A line's worth for each role that is over a limit of the table: by its worst node."""
    found = []
    for name, window in windows.items():
        for row in rows_of(window["nodes"]) if window["seconds"] >= 1 else ():
            both = [
                a["bytes_out"] + a["bytes_in"]
                for a in window["nodes"]
                if a["role"] == row["role"] and a["real"] == (row["kind"] == "real")
            ]
            memory = row.get("resident", row["memory"])["most"]
            for what, n, limit in (
                ("cpu", row["cpu_parts"]["most"], CPU),
                ("bytes", max(both), BYTES),
                ("memory", memory, MEMORY),
            ):
                if n > limit:
                    found.append(
                        {
                            "window": name,
                            "role": row["role"],
                            "kind": row["kind"],
                            "what": what,
                            "figure": n,
                            "limit": limit,
                            "factor": n / limit,
                        }
                    )
    return found


def lines(result):
    """The table as people read it."""
    yield (
        f"{'role':8} {'':6} {'nodes':>5} {'out/s':>8} {'B out/s':>9} {'in/s':>8} {'B in/s':>9} {'cpu %':>7} "
        f"{'proc %':>7} {'MB':>6} {'RSS MB':>6} {'objects':>8} {'state kB':>8}"
    )
    for name, window in result["windows"].items():
        yield (
            f"-- {name}: {window['seconds']:.0f} s, loop late by {window['lag_ms']:.0f} ms at most "
            f"and by over 20 ms in {window['late_beats']:.2%} of its beats, "
            f"{window['dropped']} datagrams dropped by full buffers"
        )
        for row in window["roles"]:

            def of(key, scale=1.0, row=row):
                return row[key]["median"] / scale if key in row else float("nan")

            yield (
                f"{row['role'][:8]:8} {row['kind']:6} {row['nodes']:5} {of('messages_out'):8.1f} "
                f"{of('bytes_out'):9.0f} {of('messages_in'):8.1f} {of('bytes_in'):9.0f} "
                f"{of('cpu_parts'):7.2f} {of('cpu_process'):7.2f} {of('memory', 1e6):6.1f} "
                f"{of('resident', 1e6):6.1f} {of('objects'):8.0f} {of('state', 1e3):8.1f}"
            )


def verdict(result):
    """Lines that say what is wrong, limits and invariants apart; none where all is well."""
    units = {"cpu": "% of a core", "bytes": " bytes a second in and out", "memory": " bytes of memory"}
    for row in result["over"]:
        yield (
            f"over the limit: {row['role']} ({row['kind']}) {row['window']}: {row['figure']:.4g}"
            f"{units[row['what']]} of {row['limit']:g}, {row['factor']:.1f} times"
        )
    for at, clause, words in result["broken"]:
        yield f"broken: {clause} ({at:.1f} s): {words}"
    if result["void"]:
        yield result["void"]
