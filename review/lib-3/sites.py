"""Settings like those of small deployments, in the platform's words."""

KINDS = {"read": "prompt-side", "write": "answer-side", "both": "mixed"}


def settings(classes, *, kinds=("read", "write"), pin_ms=500.0, drain_ms=2000.0, probes=True, discovery="automatic",
             resume=False, gateways=1, conn_idle_ms=30000.0, attempts=5):
    return {
        "balancers": gateways, "me": 0, "discovery": discovery, "family": "twostage", "quantum": 4.0, "stage": 0,
        "clients": {"marks-retry": False}, "layers": ["model-fleet"], "zone": 0, "zones": ["a"],
        "kinds": [KINDS[kind] for kind in kinds], "over-share-worth": 0.1, "tenants": [], "weights": "nominal",
        "worth-by": "work",
        "services": [dict(aim=2500.0, worth=2.0, stream=True, group="all", window=5000.0, **{"late-worth": 0.1}) | one
                     for one in classes],
        "domain": {"stage-of-kind": list(kinds), "tokens-by-kind": [200000] * len(kinds), "pin-limit": pin_ms,
                   "local-read": False, "may-reserve": False, "resume": resume, "move-fee": 0.03,
                   "token-aim": [80.0] * len(classes), "aim-us-per-1000-prompt-tokens": [40000.0] * len(classes)},
        "policy-limits": {"cancel": True, "conn-idle": conn_idle_ms, "dial-timeout": 250.0, "max-attempts": attempts,
                          "max-open": 20000, "max-retry-after": 500.0, "max-streams": 100, "may-tell": False,
                          "probes": probes, "retry-after": True, "second-copies": False},
        "prices": {"probe": 0.003, "waste": 0.16, "handshake": 0.0, "discovery": 0.0},
        "rules": {"ask-within": 10000.0, "cold": 13000.0, "cold-from": 0.31, "drain-grace": drain_ms, "fall": 3000.0,
                  "fall-multiple": 4.0, "grace-to-answer": 16.0},
        "telemetry": {"how": "answers", "names": ["outstanding", "x0"]},
    }


def config(listen, discovery, known, settings_, ops=None, name="n1"):
    told = {"name": name, "listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery}",
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512}, "known": known,
            "settings": settings_}
    if ops:
        told["ops"] = f"127.0.0.1:{ops}"
    return told
