//! The settings of a small deployment, in the form of the simulator's first message.

/// Those of `weavers-orders`, without sessions: three command groups. `me` is the number of the gateway.
pub fn weavers(me: usize, gateways: usize) -> String {
    let zones = ["changhua", "taichung", "douliu"];
    format!(
        r#"{{"balancers":{gateways},"me":{me},"my_zone":"{}","localities":["changhua","taichung","douliu"],
        "tier":0,"layers":["order-fleet"],"kinds":["general-3"],"family":"replicas","round":5000000,
        "realms":[],"worth_by":"request","over_share_worth":0.1,"weight_kind":"nominal","registry_mode":"pushed",
        "categories":[
        {{"name":"order-board","aim":600000000,"hard_limit":2000000000,"effect":"pure","dedup_scope":"all","window":5000000000,"worth":1.0,"late_worth":0.0,"stream":false}},
        {{"name":"yarn-stock","aim":400000000,"hard_limit":1000000000,"effect":"pure","dedup_scope":"all","window":5000000000,"worth":1.0,"late_worth":0.0,"stream":false}},
        {{"name":"order-place","aim":750000000,"hard_limit":2000000000,"effect":"side_effect","dedup_scope":"cell","window":5000000000,"worth":6.0,"late_worth":0.5,"stream":false}}],
        "domain":{{"answers_stamped":true,"class_bound":[3000000000,0,0],"guards":"await","needs_by_class":["lag_bound","eventual","mutate"],"patience":20000000,"role_listed":"trailing","synchronous":false,"write_marks":"brought","zero":0}},
        "limits":{{"cancelling":true,"probes":true,"peers":false,"second_copies":true,"retry_after":true,"max_attempts":6,"max_open":20000,"max_retry_after":500000000,"conn_idle":15000000000,"dial_timeout":250000000,"streams_per_conn":1,"cpu_us_per_s":80000}},
        "guarantees":{{"ask_within":10000000000,"cold":18000000000,"cold_from":0.15,"drain_grace":250000000,"fall_multiple":2.5,"grace_to_answer":20000000,"overload_for":1000000000}},
        "telemetry":{{"fields":["x0","x1","cpu_share","pending"],"how":"pull"}},
        "clients":{{"marks_retry":false}}}}"#,
        zones[me % zones.len()]
    )
}

/// Those of `firma-milano` with three command groups, one of them (`controllo`) as `loom-slot-check` of `weavers-orders`,
/// and servers that do not check how far they are.
pub fn firma_silent(me: usize, gateways: usize) -> String {
    format!(
        r#"{{"balancers":{gateways},"me":{me},"my_zone":"lambrate","localities":["lambrate","rogoredo","sesto"],
        "tier":0,"layers":["nodi"],"kinds":["std-5c"],"family":"replicas","round":5000000,
        "realms":[],"worth_by":"request","over_share_worth":0.1,"weight_kind":"nominal","registry_mode":"pushed",
        "categories":[
        {{"name":"report-audit","aim":6000000000,"hard_limit":12000000000,"effect":"pure","dedup_scope":"all","window":5000000000,"worth":4.0,"late_worth":0.0,"stream":false}},
        {{"name":"controllo","aim":500000000,"hard_limit":2000000000,"effect":"pure","dedup_scope":"all","window":5000000000,"worth":3.0,"late_worth":0.0,"stream":false}},
        {{"name":"stato-busta","aim":500000000,"hard_limit":2000000000,"effect":"pure","dedup_scope":"all","window":5000000000,"worth":1.0,"late_worth":0.2,"stream":false}},
        {{"name":"firma","aim":500000000,"hard_limit":5000000000,"effect":"side_effect","dedup_scope":"cell","window":5000000000,"worth":4.0,"late_worth":0.5,"stream":false}}],
        "domain":{{"answers_stamped":false,"class_bound":[0,0,800000000,0],"guards":"silent","needs_by_class":["eventual","strong","lag_bound","mutate"],"patience":20000000,"role_listed":"trailing","synchronous":false,"write_marks":"brought","zero":0}},
        "limits":{{"cancelling":false,"probes":true,"peers":false,"second_copies":false,"retry_after":true,"max_attempts":8,"max_open":20000,"max_retry_after":500000000,"conn_idle":15000000000,"dial_timeout":250000000,"streams_per_conn":1,"cpu_us_per_s":80000}},
        "guarantees":{{"ask_within":10000000000,"cold":15000000000,"cold_from":0.18,"drain_grace":1000000000,"fall_multiple":3.0,"grace_to_answer":20000000,"overload_for":2000000000}},
        "telemetry":{{"fields":["x0","x1","pending"],"how":"pull"}},
        "clients":{{"marks_retry":false}}}}"#
    )
}
