"""The operators of a scale run: submit plans one after another and work on the machines that are free."""

import asyncio
import json

# How often an operator's call is made at most, and the delay after an uncertain answer, in seconds.
MAX_CALL_TRIES = 100
CALL_RETRY_DELAY = 0.2
# Interval between queries of the status, and time that operators work on a machine, in seconds.
STATUS_POLL_INTERVAL = 0.2
WORK_TIME = 0.05
MAX_MACHINES_OUT = 4


class ScaleOperators:
    """Operators that call one of the nodes.

    Attributes:
        plan_count: Number of plans submitted.
    """

    def __init__(self, run):
        self.plan_count = 0
        self._run = run

    def called_node(self):
        """Returns the node that the operators call.

        This is the last node that is not down. It has no other role, whose cost would include the calls.
        """
        nodes = range(self._run.settings.nodes)
        return next(node for node in reversed(nodes) if node not in self._run.down_nodes)

    async def call_once(self, method, path, body=None):
        """Makes a call once and returns the status and text of the answer."""
        node = self.called_node()
        content = json.dumps(body) if body else ""
        child = self._run.child_by_node[node]
        answer = await child.command("call", node=node, method=method, path=path, body=content)
        return answer["status"], answer["text"]

    async def call(self, path, body=None):
        """Makes a call and repeats it, which is safe, until the answer is certain."""
        for _ in range(MAX_CALL_TRIES):
            status, text = await self.call_once("POST", path, body)
            if status not in (0, 400, 503):
                return status, text
            await asyncio.sleep(CALL_RETRY_DELAY)
        self._run.checker.report("calls are answered", f"{path}: {status} {text}")
        return status, text

    async def carry_out_plans(self):
        """Carries out plans one after another until cancelled."""
        while True:
            self.plan_count += 1
            plan = {
                "machines": [f"s-{index}" for index in range(self._run.settings.executors)],
                "most": MAX_MACHINES_OUT,
                "workMs": 600_000,
                "leastShare": 0.5,
                "id": f"plan-{self.plan_count}",
            }
            status, text = await self.call("/v1/maintenance/plan", plan)
            self._run.checker.plan_answered(status, text)
            await self._carry_out_plan(plan["id"])

    async def _carry_out_plan(self, plan_id):
        """Works on each free machine until the plan has ended."""
        handled_work = set()
        while True:
            status, text = await self.call_once("GET", "/v1/maintenance")
            state = json.loads(text) if status == 200 else None
            if state and any(row["plan"] == plan_id for row in state["past"]):
                return
            for row in state["machines"] if state and state["plan"] == plan_id else ():
                work = (row["name"], row["number"])
                if row["state"] == "free" and work not in handled_work:
                    handled_work.add(work)
                    await asyncio.sleep(WORK_TIME)
                    await self.call("/v1/maintenance/back/%s/%s" % work)
            await asyncio.sleep(STATUS_POLL_INTERVAL)
