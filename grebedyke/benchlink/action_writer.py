"""Translates the dispatcher's actions into the simulator's protocol and its field names."""

from base64 import b64encode

from grebedyke.model import actions
from grebedyke.units import TICKS_PER_MILLISECOND
from grebedyke.wire import peer_codec


def write_action(node, action):
    """Returns an action of dispatcher `node` as a JSON object of the simulator's protocol."""
    return _WRITERS[type(action)](node, action)


def _forward(node, action):
    fields = {
        "tid": action.request_id,
        "executor": action.endpoint_id,
        "allowForMs": action.timeout / TICKS_PER_MILLISECOND,
    }
    return {"relay": {"node": node, **fields}}


def _probe(node, action):
    return {"healthCheck": {"node": node, "executor": action.endpoint_id}}


def _send_peer_message(node, action):
    contents = b64encode(peer_codec.encode(action.message)).decode()
    return {"publish": {"node": node, "peer": action.node, "contents": contents}}


def _wake_at(node, action):
    return {"defer": {"node": node, "instantMs": action.at / TICKS_PER_MILLISECOND, "cookie": 1}}


def _cancel(node, action):
    return {"dropAttempt": {"node": node, "tid": action.request_id, "attempt": action.attempt_index}}


def _throttle(node, action):
    return {
        "shed": {
            "node": node,
            "tid": action.request_id,
            "backoffMs": action.retry_after / TICKS_PER_MILLISECOND,
        }
    }


def _fail(node, action):
    return {"giveUp": {"node": node, "tid": action.request_id}}


def _poll_endpoint_list(node, action):
    return {"follow": {"node": node, "enable": True}}


def _log_message(node, action):
    return {"trace": {"node": node, "noteText": action.text}}


_WRITERS = {
    actions.Forward: _forward,
    actions.Probe: _probe,
    actions.SendPeerMessage: _send_peer_message,
    actions.WakeAt: _wake_at,
    actions.Cancel: _cancel,
    actions.Throttle: _throttle,
    actions.Fail: _fail,
    actions.PollEndpointList: _poll_endpoint_list,
    actions.LogMessage: _log_message,
}
