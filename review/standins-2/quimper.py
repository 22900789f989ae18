"""Settings of a small deployment like quimper-centre: the figures of its site file, under the platform's names."""


def settings(routers=3, me=0):
    return {
        "az": 0, "azs": ["east-hall", "west-hall", "annex-hall"], "balancers": routers, "me": me,
        "blend": {"whole": 0.4, "worst-class": 0.35, "worst-tenant": 0.1, "worst-window": 0.15},
        "classes": [
            {"name": "noise-filter", "aim-us": 750000, "deadline-us": 2500000, "effect": "repeatable",
             "key-scope": "all", "repeat-window-us": 5000000, "late-value": 0.1, "stream": False, "worth": 1.0},
            {"name": "phase-pick", "aim-us": 400000, "deadline-us": 3000000, "effect": "by_key",
             "key-scope": "zone", "repeat-window-us": 2000000, "late-value": 0.1, "stream": False, "worth": 5.0},
            {"name": "volunteer-notice", "aim-us": 600000, "deadline-us": 3000000, "effect": "once",
             "key-scope": "all", "repeat-window-us": 5000000, "late-value": 0.3, "stream": False, "worth": 2.0},
        ],
        "client-habits": {"marks-retry": True}, "family": "warm",
        "family-info": {"idle-life-us": 8600000, "idle-memory-cost": 0.05, "if-cold": "load", "load-span-us": 0,
                        "load-wait-us": 10000000, "loads-anyway": 0.0, "loads-per-request": 0.0,
                        "placement-calls": True, "ram-mb-by-kind": [9216.0], "tells-crowd": True, "warm-notes": True},
        "kinds": ["std"], "layer": 0,
        "limits": {"cancel": True, "connect-timeout-us": 250000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 400000,
                   "keepalive-us": 15000000, "max-open": 20000, "max-retry-after-us": 2000000,
                   "may-duplicate": False, "peers": False, "probes": True, "retry-after": True,
                   "streams-per-conn": 100, "try-limit": 5},
        "membership-mode": "automatic",
        "obligations": {"answer-slack-us": 50000, "ask-every-us": 10000000, "cold-from": 0.21, "cold-us": 18000000,
                        "fall-multiple": 2.0, "stop-sending-within-us": 2000000, "tip-after-us": 3000000},
        "stats": {"fields": ["inflight", "queue", "x1", "x0"], "via": "answers"},
        "tenants": [], "tick-us": 4000, "tiers": ["routine-fleet"], "value-by": "work", "weight-kind": "nominal",
    }
