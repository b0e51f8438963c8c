//! A session's read after a write whose connection is reset right behind CommandComplete.

use crate::bench::*;

/// A small deployment: one group of three, sessions remembered by the gateway, servers that answer reads from what they
/// have. Names and times are in the manner of the weavers' site.
const SETTINGS: &str = r#"{"balancers":1,"me":0,"family":"replicas","round":5000000,
"categories":[
 {"name":"own-order-view","aim":750000000,"hard_limit":2500000000,"effect":"pure","worth":2.0,"late_worth":0.2,"stream":false,"window":5000000000,"dedup_scope":"all"},
 {"name":"order-place","aim":750000000,"hard_limit":2000000000,"effect":"side_effect","worth":6.0,"late_worth":0.5,"stream":false,"window":5000000000,"dedup_scope":"all"}],
"clients":{"marks_retry":false},
"domain":{"answers_stamped":true,"class_bound":[0,0],"guards":"silent","needs_by_class":["causal","mutate"],"report_x0":"position in seconds after zero","report_x1":"1 from a primary","role_listed":"trailing","synchronous":false,"write_marks":"kept","zero":0},
"guarantees":{"ask_within":10000000000,"cold":18000000000,"cold_from":0.15,"drain_grace":250000000,"fall_multiple":2.5,"grace_to_answer":20000000,"overload_for":1000000000},
"kinds":["general-3"],
"limits":{"cancelling":true,"conn_idle":15000000000,"dial_timeout":250000000,"max_attempts":6,"max_open":20000,"peers":false,"probes":true,"retry_after":true,"max_retry_after":1000000000,"second_copies":true,"streams_per_conn":1},
"localities":["changhua","taichung","douliu"],"my_zone":"changhua","realms":[],"registry_mode":"pushed",
"telemetry":{"fields":["x0","x1","util","queue"],"how":"pull"},"weight_kind":"nominal","worth_by":"request"}"#;

/// How far the replicas are behind: they apply the log more slowly for a while.
const LAG_MS: u64 = 3_000;
/// The read follows the write's answer after this, as in the site's figures (120 to 770 ms).
const GAP_MS: u64 = 400;
const SESSIONS: usize = 8;

fn write(key: &str, value: &str, id: &str) -> String {
    format!(
        "INSERT INTO records (k, v) VALUES ('{key}', '\\x{value}') RETURNING v /* id={id},c=order-place,d=2000,cluster=1 */"
    )
}

fn read(key: &str, id: &str) -> String {
    format!("SELECT v FROM records WHERE k = '{key}' /* id={id},c=own-order-view,d=2500,cluster=1 */")
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let said = |error: std::io::Error| error.to_string();
    let store = Store::start(Shape { groups: 1, members: 3, lag: LAG_MS, work: 5 }, record).map_err(said)?;
    let hosts: Vec<String> = (0..3)
        .map(|n| {
            host(&format!("s{n}"), store.addresses[n], ["changhua", "changhua", "taichung"][n], 1, n == 0)
        })
        .collect();
    let discovery = Discovery::start(&hosts).map_err(said)?;
    let limits = r#"{"cores":1.0,"memory_mb":128,"sockets":1024}"#;
    let gateway = Gateway::start("n0", discovery.address, limits, SETTINGS)?;
    record.line(&format!("the gateway serves; replicas are {LAG_MS} ms behind; disruption: {trouble}"));
    let mut client = Client::open(gateway.address).map_err(said)?;
    // The gateway gets to know its servers.
    for n in 0..10 {
        let reply = client.ask(&read("warm", &format!("w{n}")), 2_500);
        record.line(&format!("client: warming read w{n}: {reply:?}"));
        sleep(150);
    }
    let (mut judged, mut stale) = (0, 0);
    for n in 0..SESSIONS {
        let (key, value) = (format!("mill-{n}"), format!("{:04x}", 0xa000 + n));
        let (write_id, read_id) = (format!("w-{n}"), format!("r-{n}"));
        if trouble {
            store.reset_after(&write_id);
        }
        let reply = client.ask(&write(&key, &value, &write_id), 2_000);
        record.line(&format!("client: write {key} = {value} (id={write_id}): {reply:?}"));
        if !matches!(reply, Some(Reply::Served(_))) {
            record.line("client: the write was not acknowledged, so that the read need not see it");
            continue;
        }
        sleep(GAP_MS);
        let reply = client.ask(&read(&key, &read_id), 2_500);
        record.line(&format!("client: the session's read of {key} (id={read_id}): {reply:?}"));
        if let Some(Reply::Served(found)) = reply {
            judged += 1;
            if found != value {
                stale += 1;
                record.line(&format!(
                    "STALE: the read was answered with {found}, older than the acknowledged write"
                ));
            }
        }
    }
    record.line(&format!("{judged} reads answered after an acknowledged write, {stale} of them stale"));
    if judged == 0 && !trouble {
        return Err("no read was answered".into());
    }
    Ok(stale == 0)
}
