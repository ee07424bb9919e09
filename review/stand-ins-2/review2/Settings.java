package review2;

/** The settings of the two deployments, with figures of their pages and site files. */
final class Settings {
    private Settings() {}

    /** The order gateways of bc-order-entry. */
    static final String ORDERS = """
            {"caps":{"cpu_us_per_request":0.0,"cpu_us_per_s":60000,"max_retry_after":1000.0,
              "retry_after":true},
             "charges":{"late_fail":0.03,"waste":0.16},
             "classes":[
              {"name":"order-status","objective":1500.0,"deadline":3700.0,"gain":1.0,
               "late_share":0.2,"semantics":"free"},
              {"name":"risk-check","objective":2500.0,"deadline":6000.0,"gain":1.0,
               "late_share":0.0,"semantics":"free"},
              {"name":"new-order","objective":2500.0,"deadline":6000.0,"gain":3.0,
               "late_share":0.2,"semantics":"single_shot"}],
             "clients":{"marks_retry":false},"family":"server",
             "family_info":{"below":"none","callers":3,"cores":6,"deep_checks":false,
              "fresh_for":0.0,"halt":"none","hangup_seen":false,"idle":15000.0,
              "just_started":false,"kb_per_key":70.45,"memory_kb":9738.0,
              "meters":["core_use","on_cores","heap_share","links"],"passes_deadline":false,
              "readiness":true,"run_factor":4.0,"say":"none"},
             "goal":{"whole":0.4,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.3},"me":1,
             "orgs":[{"name":"fraser-securities","quota_per_s":89.0,"share":0.5},
              {"name":"coastline-capital","quota_per_s":62.0,"share":0.35},
              {"name":"okanagan-invest","quota_per_s":27.0,"share":0.15}],
             "over_share_worth":0.1,
             "rules":{"answer_slack":100.0,"cold_from":0.2,"drain_grace":2500.0,"fall":1500.0,
              "fall_multiple":8.0,"ramp_time":16000.0},
             "servers":12,"step":5.0,"worth_by":"request","zone":1,
             "zones":["burnaby","surrey","kamloops"]}""";

    /** The font servers of font-leverans. */
    static final String FONTS = """
            {"caps":{"cpu_us_per_request":0.0,"cpu_us_per_s":60000,"max_retry_after":1000.0,
              "retry_after":true},
             "charges":{"late_fail":0.071,"waste":0.1},
             "classes":[
              {"name":"css","objective":1600.0,"deadline":4700.0,"gain":1.0,"late_share":0.0,
               "semantics":"free"},
              {"name":"woff","objective":2500.0,"deadline":7900.0,"gain":2.0,"late_share":0.0,
               "semantics":"free"},
              {"name":"subset","objective":3800.0,"deadline":13000.0,"gain":2.0,
               "late_share":0.0,"semantics":"free"},
              {"name":"licens","objective":3200.0,"deadline":7900.0,"gain":5.0,
               "late_share":0.2,"semantics":"guarded","key_ttl":23640.0}],
             "clients":{"marks_retry":true},"family":"server",
             "family_info":{"below":"none","callers":3,"cores":6,"deep_checks":true,
              "fresh_for":0.0,"halt":"none","hangup_seen":true,"idle":30000.0,
              "just_started":false,"kb_per_key":40.0,"memory_kb":60000.0,
              "meters":["core_use","on_cores","heap_share","links"],"passes_deadline":true,
              "readiness":false,"run_factor":16.0,"say":"min_rank","said_for":1000.0},
             "goal":{"whole":0.4,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.3},"me":1,
             "orgs":[{"name":"dagspress","quota_per_s":60.0,"share":0.34},
              {"name":"bokhandel","quota_per_s":50.0,"share":0.28},
              {"name":"kommun","quota_per_s":35.0,"share":0.2},
              {"name":"smaforetag","quota_per_s":32.0,"share":0.18}],
             "over_share_worth":0.1,
             "rules":{"answer_slack":80.0,"cold_from":0.28,"drain_grace":2000.0,"fall":1500.0,
              "fall_multiple":8.0,"ramp_time":17000.0},
             "servers":11,"step":2.0,"worth_by":"request","zone":0,
             "zones":["hall-sundbyberg"]}""";
}
