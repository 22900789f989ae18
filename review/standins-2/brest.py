"""Settings of a small deployment like brest-archive: the figures of its site file, under the platform's names."""


def settings(routers=3, me=0):
    return {
        "az": 0, "azs": ["brest"], "balancers": routers, "me": me,
        "blend": {"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.2},
        "classes": [
            {"name": "re-pick", "aim-us": 2000000, "deadline-us": 5000000, "effect": "repeatable",
             "key-scope": "all", "repeat-window-us": 5000000, "late-value": 0.1, "stream": False, "worth": 1.0},
            {"name": "publish", "aim-us": 1500000, "deadline-us": 5000000, "effect": "once",
             "key-scope": "all", "repeat-window-us": 5000000, "late-value": 0.3, "stream": False, "worth": 5.0},
        ],
        "client-habits": {"marks-retry": False}, "family": "warm",
        "family-info": {"idle-life-us": 8300000, "idle-memory-cost": 0.05, "if-cold": "miss", "load-span-us": 0,
                        "load-wait-us": 10000000, "loads-anyway": 0.0, "loads-per-request": 0.0,
                        "placement-calls": True, "ram-mb-by-kind": [16384.0], "tells-crowd": False,
                        "warm-notes": True},
        "kinds": ["std"], "layer": 0,
        "limits": {"cancel": True, "connect-timeout-us": 250000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 50000,
                   "keepalive-us": 30000000, "max-open": 20000, "max-retry-after-us": 1000000,
                   "may-duplicate": False, "peers": False, "probes": False, "retry-after": True,
                   "streams-per-conn": 32, "try-limit": 5},
        "membership-mode": "automatic",
        "obligations": {"answer-slack-us": 50000, "ask-every-us": 10000000, "cold-from": 0.16, "cold-us": 17000000,
                        "fall-multiple": 2.5, "stop-sending-within-us": 250000, "tip-after-us": 2000000},
        "stats": {"fields": ["queue", "inflight", "x0", "x1"], "via": "answers"},
        "tenants": [], "tick-us": 4000, "tiers": ["workers"], "value-by": "request", "weight-kind": "nominal",
    }
