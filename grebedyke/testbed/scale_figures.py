"""What a scale run has counted, by role: rows for a table and JSON, and what is over the limits."""

from statistics import median
from time import thread_time_ns

from grebedyke.consensus import framing

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
    "bytes_in": "nodes of a process learn one after another: who asks before it has the newest board is "
    "told the whole",
    "memory": "a real process has an interpreter and the rest of a node of its own; many hollow nodes share "
    "them",
}


def yardstick():
    """Microseconds that this machine takes just now to pack an ask for a lease and take it apart again, by
    which figures of processor time are to be read.
    """
    ask, mark, times = ["m", 1_000, 100, 100, 2**55, 1], framing.fleet_tag("yardstick"), 1_000
    whole, start = framing.Reassembler(mark), thread_time_ns()
    for number in range(times):
        whole.take(0, framing.pack(mark, number, ask)[0])
    return (thread_time_ns() - start) / times / 1_000


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
            if key not in hollow or key not in real:
                continue
            a, b = hollow[key]["median"], real[key]["median"]
            within = near(a, b)
            row = {"role": role, "count": key, "hollow": a, "real": b, "ratio": a / b if b else None}
            rows.append({**row, "within": within, "why": "" if within else why(key, hollow, real)})
    return rows


def near(a, b):
    return abs(a - b) <= TENTH * max(b, 1e-9)


def why(key, hollow, real):
    """What explains a difference of more than a tenth."""
    if key == "cpu_parts":
        a, b = (row[key]["median"] * 10_000 / row["calls"]["median"] for row in (hollow, real))
        of_each = f"{a:.0f} and {b:.0f} us a call"
        if near(a, b):
            return f"{of_each}: a real node's parts are called more often, see calls"
        return f"{of_each}: a process that wakes for one node finds its caches cold, beside the calls"
    return WHY.get(key, "not explained")


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


HEAD = (
    f"{'role':17} {'':9} {'nodes':>5} {'out/s':>8} {'B out/s':>9} {'in/s':>8} {'B in/s':>9} {'cpu %':>7} "
    f"{'proc %':>7} {'MB':>6} {'RSS MB':>6} {'objects':>8} {'state kB':>8}"
)


def line(row):
    """One role's medians; a dash where there is nothing of it."""

    def of(key, width, digits, scale=1.0):
        return f"{row[key]['median'] / scale:{width}.{digits}f}" if key in row else f"{'-':>{width}}"

    return (
        f"{row['role'][:17]:17} {row['kind']:9} {row['nodes']:5} {of('messages_out', 8, 1)} "
        f"{of('bytes_out', 9, 0)} {of('messages_in', 8, 1)} {of('bytes_in', 9, 0)} {of('cpu_parts', 7, 2)} "
        f"{of('cpu_process', 7, 2)} {of('memory', 6, 1, 1e6)} {of('resident', 6, 1, 1e6)} "
        f"{of('objects', 8, 0)} {of('state', 8, 1, 1e3)}"
    )


def lines(result):
    """The table as people read it."""
    yield HEAD
    for name, window in result["windows"].items():
        yield (
            f"-- {name}: {window['seconds']:.0f} s, loop late by {window['lag_ms']:.0f} ms at most "
            f"and by over 20 ms in {window['late_beats']:.2%} of its beats, "
            f"{window['dropped']} datagrams dropped by full buffers, "
            f"{window['values'] / window['seconds']:.1f} values a second agreed on, "
            f"yardstick {window['yardstick_us']:.1f} us"
        )
        yield from map(line, window["roles"])
    if result.get("simulated"):
        changes = result["simulated"]["boards_a_second"]
        yield f"-- in simulated time, {changes:.1f} changes of the board a second"
        yield from map(line, result["simulated"]["roles"])


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
