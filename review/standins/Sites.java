/** Settings of the first deployment, as the wire page shows them. */
final class Sites {
    private Sites() {}

    static final String ORDER_ENTRY =
            """
            {"classes":[
             {"name":"order-status","objective":1500.0,"deadline":3700.0,"gain":1.0,"late_share":0.2,"semantics":"free","key_ttl":5000.0},
             {"name":"risk-check","objective":2500.0,"deadline":6000.0,"gain":1.0,"late_share":0.0,"semantics":"free","key_ttl":5000.0},
             {"name":"new-order","objective":2500.0,"deadline":6000.0,"gain":3.0,"late_share":0.2,"semantics":"single_shot","key_ttl":5000.0}],
             "orgs":[{"name":"fraser-securities","quota_per_s":89.0,"share":0.5},
              {"name":"coastline-capital","quota_per_s":62.0,"share":0.35},
              {"name":"okanagan-invest","quota_per_s":27.0,"share":0.15}],
             "family_info":{"cores":6,"callers":3,"memory_kb":9738.0,"run_factor":4.0,"idle":15000.0,
              "kb_per_key":70.45,"fresh_for":0.0,"passes_deadline":false,"hangup_seen":false,
              "just_started":false,"say":"none","said_for":1000.0,"halt":"none","below":"none",
              "readiness":true,"meters":["core_use","on_cores","heap_share","links"]},
             "caps":{"max_retry_after":1000.0,"retry_after":true},
             "clients":{"marks_retry":false},
             "goal":{"whole":0.4,"worst_window":0.3,"worst_class":0.2,"worst_tenant":0.1},
             "rules":{"answer_slack":100.0,"cold_from":0.2,"ramp_time":16000.0,"drain_grace":2500.0,
              "fall":1500.0,"fall_multiple":8.0},
             "servers":12,"step":5.0,"over_share_worth":0.1,"worth_by":"request"}""";
}
