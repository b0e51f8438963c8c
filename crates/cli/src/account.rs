//! `tansyjunction account`: reports from gateways' logs what happened to the commands, and why some were not answered
//! in time. Single commands can be followed through all gateways by their id.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use clap::Args;
use serde_json::Value as Json;

use crate::line::print;

#[derive(Args)]
pub struct Line {
    /// Log files of gateways, or folders of them, written with `format = json`, `level.commands = debug`,
    /// `lines_a_second = 0`.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// Show every step of the command with this id.
    #[arg(long)]
    id: Option<String>,
    /// Seconds per row of the timeline.
    #[arg(long, default_value_t = 5)]
    row: u64,
    /// Number of most frequent member states for abandoned commands.
    #[arg(long, default_value_t = 12)]
    most: usize,
}

/// A dispatch of a command: time, target and end.
#[derive(Default)]
struct LoggedDispatch {
    at: u64,
    server: String,
    primary: bool,
    cold: bool,
    ended: Option<(u64, String)>,
}

/// A command as logged by one gateway. Times are microseconds of that gateway's clock.
#[derive(Default)]
struct LoggedCommand {
    id: String,
    group: String,
    at: u64,
    target: u64,
    sent: Vec<LoggedDispatch>,
    over: Option<(u64, String, String)>,
}

/// The cause under which a command is reported; empty if it was answered in time.
fn cause(course: &LoggedCommand) -> String {
    let Some((over, what, lacks)) = &course.over else { return "cut off: its gateway ended".into() };
    let late = over.saturating_sub(course.at) > course.target;
    let endings: Vec<&str> = course.sent.iter().filter_map(|s| Some(s.ended.as_ref()?.1.as_str())).collect();
    match what.as_str() {
        "answered" if !late => String::new(),
        "answered" => late_cause(course, &endings),
        "left" if course.sent.iter().any(|sent| sent.ended.is_none()) => {
            "client left while a server had the command".into()
        }
        "left" => "client left while the command was held".into(),
        // A command that used up its client's time at a server was not held for lack of capacity.
        "throttled" if endings.contains(&"TimedOut") => "throttled: timed out at a server".into(),
        // Only commands for the primary find members that lack the role.
        "throttled" => throttling_cause(lacks, lacks.contains("Role")),
        _ => format!("failed after {}", endings.last().unwrap_or(&"nothing")),
    }
}

fn late_cause(course: &LoggedCommand, endings: &[&str]) -> String {
    let Some(last) = course.sent.last() else { return "late".into() };
    let tried = endings.iter().rev().nth(1).filter(|_| course.sent.len() > 1);
    match tried {
        Some(ending) => format!("late: tried again after {ending}"),
        None if last.at.saturating_sub(course.at) > course.target / 2 => "late: held too long".into(),
        None if last.primary && last.cold => "late: a cold primary was slow".into(),
        None if last.primary => "late: a primary was slow".into(),
        None if last.cold => "late: a cold replica was slow".into(),
        None => "late: a replica was slow".into(),
    }
}

/// Why a command was throttled, by what each member lacked: the primary for commands that need it, else the member
/// closest to qualifying.
fn throttling_cause(lacks: &str, needs_primary: bool) -> String {
    let words: Vec<&str> = lacks.split(' ').collect();
    if needs_primary {
        let primary = words.iter().find_map(|word| word.strip_prefix("primary:"));
        return match primary.map(|word| (word.starts_with("cold:"), word.trim_start_matches("cold:"))) {
            Some((true, word)) => format!("throttled: cold primary lacked {word}"),
            Some((false, word)) => format!("throttled: primary lacked {word}"),
            None => "throttled: no primary known".into(),
        };
    }
    let has = |part: &str| words.iter().any(|word| word.ends_with(part));
    let warm = |part: &str| words.contains(&part);
    let nearest = match () {
        () if has("Nothing") => "a member qualified again",
        () if warm("Room") => "warm replicas at their limit",
        () if has("cold:Room") => "cold members at their limit",
        () if has("Warmth") && has("Freshness") => {
            "cold replicas at their slow-start limit, others too far behind"
        }
        () if has("Warmth") => "cold members at their slow-start limit",
        () if has("primary:Room") => "primary at its limit, no replica qualified",
        () if has("Freshness") => "replicas too far behind",
        () => "members down or silent",
    };
    format!("throttled: {nearest}")
}

/// Reads the steps of a log and combines them by command; other lines are skipped.
fn read(
    path: &Path,
    mut take: impl FnMut(LoggedCommand),
    mut opened: impl FnMut(bool),
) -> Result<(), String> {
    let file = std::fs::File::open(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut open: BTreeMap<u64, LoggedCommand> = BTreeMap::new();
    for line in BufReader::new(file).lines().map_while(Result::ok) {
        let Some(start) = line.find('{') else { continue };
        let Ok(json) = serde_json::from_str::<Json>(&line[start..]) else { continue };
        if json["step"] == "opened" {
            opened(json["probe"] == true);
        }
        let (Some(step), Some(command)) = (json["step"].as_str(), json["command"].as_u64()) else { continue };
        let at = json["at"].as_u64().unwrap_or(0);
        let text = |key: &str| json[key].as_str().unwrap_or_default().to_string();
        if step == "taken" {
            let target = json["target_us"].as_u64().unwrap_or(0);
            let new = LoggedCommand {
                id: text("id"),
                group: text("group"),
                at,
                target,
                ..LoggedCommand::default()
            };
            // A number that is reused belongs to a restarted gateway.
            if let Some(cut) = open.insert(command, new) {
                take(cut);
            }
            continue;
        }
        let Some(course) = open.get_mut(&command) else { continue };
        match step {
            "sent" => {
                let flag = |key: &str| json[key].as_bool().unwrap_or(false);
                let (primary, cold) = (flag("primary"), flag("cold"));
                course.sent.push(LoggedDispatch { at, server: text("server"), primary, cold, ended: None });
            }
            "ended" => {
                let place = json["dispatch"].as_u64().unwrap_or(0) as usize;
                if let Some(sent) = course.sent.get_mut(place) {
                    sent.ended = Some((at, text("ending")));
                }
            }
            "over" if course.over.is_none() => course.over = Some((at, text("what"), text("lacks"))),
            _ => {}
        }
        if course.over.is_some()
            && course.sent.iter().all(|sent| sent.ended.is_some())
            && let Some(course) = open.remove(&command)
        {
            take(course);
        }
    }
    open.into_values().for_each(take);
    Ok(())
}

/// The file at a path, or the files of a folder.
fn files(path: &Path) -> Result<Vec<PathBuf>, String> {
    if !path.is_dir() {
        return Ok(vec![path.to_path_buf()]);
    }
    let listed = std::fs::read_dir(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut found: Vec<PathBuf> =
        listed.flatten().map(|entry| entry.path()).filter(|path| path.is_file()).collect();
    found.sort();
    Ok(found)
}

/// Counts of a command group and of each cause in it.
#[derive(Default)]
struct GroupCounts {
    all: u64,
    in_time: u64,
    causes: BTreeMap<String, u64>,
}

/// The complete report.
#[derive(Default)]
struct Report {
    groups: BTreeMap<String, GroupCounts>,
    /// Per row of the timeline: all, in time, throttled.
    rows: BTreeMap<u64, [u64; 3]>,
    states: BTreeMap<String, u64>,
}

impl Report {
    fn take(&mut self, course: &LoggedCommand, row: u64) {
        let why = cause(course);
        let sum = self.groups.entry(course.group.clone()).or_default();
        sum.all += 1;
        let in_time = why.is_empty();
        sum.in_time += u64::from(in_time);
        if !in_time {
            *sum.causes.entry(why).or_default() += 1;
        }
        let throttled = matches!(&course.over, Some((_, what, _)) if what == "throttled");
        let counts = self.rows.entry(course.at / 1_000_000 / row.max(1)).or_default();
        for (count, one) in counts.iter_mut().zip([true, in_time, throttled]) {
            *count += u64::from(one);
        }
        if let Some((_, what, lacks)) = &course.over
            && what == "throttled"
        {
            *self.states.entry(format!("{} {lacks}", course.group)).or_default() += 1;
        }
    }

    fn text(&self, row: u64, most: usize) -> String {
        let mut out = String::new();
        let part = |n: u64, of: u64| 100.0 * n as f64 / of.max(1) as f64;
        for (name, sum) in &self.groups {
            let _ = writeln!(out, "{name}: {} tries, {:.1}% in time", sum.all, part(sum.in_time, sum.all));
            let mut causes: Vec<_> = sum.causes.iter().collect();
            causes.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
            for (why, count) in causes {
                let _ = writeln!(out, "  {:>6.1}%  {count:>7}  {why}", part(*count, sum.all));
            }
        }
        let first = self.rows.keys().next().copied().unwrap_or(0);
        let _ = writeln!(out, "course, by {row} s: tries, in time, throttled");
        for (at, [all, in_time, throttled]) in &self.rows {
            let (ok, no) = (part(*in_time, *all), part(*throttled, *all));
            let _ = writeln!(out, "  {:>4} s  {all:>7}  {ok:>5.1}%  {no:>5.1}%", (at - first) * row);
        }
        let mut states: Vec<_> = self.states.iter().collect();
        states.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        let _ = writeln!(out, "given up most often with these members:");
        for (state, count) in states.into_iter().take(most) {
            let _ = writeln!(out, "  {count:>7}  {state}");
        }
        out
    }
}

fn steps(path: &Path, course: &LoggedCommand) -> String {
    let since = |at: u64| at.saturating_sub(course.at) as f64 / 1e3;
    let mut out = format!("{}: {} {} at {}\n", path.display(), course.id, course.group, course.at);
    for sent in &course.sent {
        let role = if sent.primary { "primary" } else { "replica" };
        let cold = if sent.cold { "cold " } else { "" };
        let _ = writeln!(out, "  {:>9.1} ms  sent to {}, a {cold}{role}", since(sent.at), sent.server);
        if let Some((at, ending)) = &sent.ended {
            let _ = writeln!(out, "  {:>9.1} ms  {} ended: {ending}", since(*at), sent.server);
        }
    }
    let _ = match &course.over {
        Some((at, what, lacks)) => writeln!(out, "  {:>9.1} ms  {what} {lacks}", since(*at)),
        None => writeln!(out, "  no end in the log"),
    };
    out
}

/// Runs the sub-command.
pub fn run(line: &Line) -> Result<(), String> {
    let (mut account, mut found, mut opened) = (Report::default(), String::new(), [0; 2]);
    for path in line.logs.iter().map(|path| files(path)).collect::<Result<Vec<_>, _>>()?.concat() {
        let take = |course: LoggedCommand| {
            if line.id.as_ref().is_some_and(|id| *id == course.id) {
                found += &steps(&path, &course);
            }
            account.take(&course, line.row);
        };
        read(&path, take, |probe| opened[usize::from(probe)] += 1)?;
    }
    match &line.id {
        Some(id) if found.is_empty() => Err(format!("no gateway's log has the command '{id}'")),
        Some(_) => print(&found),
        None if account.groups.is_empty() => Err("there is no step of any command in these logs".into()),
        None => print(&format!(
            "{}connections to servers: {} opened for commands, {} for probes\n",
            account.text(line.row.max(1), line.most),
            opened[0],
            opened[1]
        )),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_course_has_its_cause() {
        let line = |text: &str| text.replace('\'', "\"");
        let taken = |n: u32| {
            line(&format!("{{'step':'taken','command':{n},'id':'c{n}','at':0,'group':'g','target_us':400}}"))
        };
        let over = |n: u32, at: u32, what: &str, lacks: &str| {
            line(&format!("{{'step':'over','command':{n},'at':{at},'what':'{what}','lacks':'{lacks}'}}"))
        };
        let sent = |n: u32, at: u32, primary: bool| {
            line(&format!(
                "{{'step':'sent','command':{n},'at':{at},'server':'s','primary':{primary},'cold':false}}"
            ))
        };
        let ended = |n: u32, dispatch: u32, ending: &str| {
            line(&format!(
                "{{'step':'ended','command':{n},'at':9,'dispatch':{dispatch},'ending':'{ending}'}}"
            ))
        };
        let cases = [
            (vec![sent(1, 1, true), ended(1, 0, "Answered"), over(1, 399, "answered", "")], ""),
            (
                vec![sent(1, 1, true), ended(1, 0, "Answered"), over(1, 900, "answered", "")],
                "late: a primary was slow",
            ),
            (
                vec![sent(1, 300, false), ended(1, 0, "Answered"), over(1, 900, "answered", "")],
                "late: held too long",
            ),
            (
                vec![
                    sent(1, 1, false),
                    ended(1, 0, "Reset"),
                    sent(1, 2, false),
                    ended(1, 1, "Answered"),
                    over(1, 900, "answered", ""),
                ],
                "late: tried again after Reset",
            ),
            (
                vec![over(1, 9, "throttled", "Role primary:cold:Warmth")],
                "throttled: cold primary lacked Warmth",
            ),
            (vec![over(1, 9, "throttled", "Role")], "throttled: no primary known"),
            (
                vec![sent(1, 1, false), ended(1, 0, "TimedOut"), over(1, 9, "throttled", "Nothing")],
                "throttled: timed out at a server",
            ),
            (
                vec![over(1, 9, "throttled", "Freshness cold:Warmth primary:Room")],
                "throttled: cold replicas at their slow-start limit, others too far behind",
            ),
            (vec![over(1, 9, "throttled", "Room primary:Room")], "throttled: warm replicas at their limit"),
            (vec![sent(1, 1, true), ended(1, 0, "Reset"), over(1, 9, "failed", "")], "failed after Reset"),
            (
                vec![sent(1, 1, true), over(1, 9, "left", ""), ended(1, 0, "Recalled")],
                "client left while the command was held",
            ),
            (vec![sent(1, 1, true)], "cut off: its gateway ended"),
        ];
        for (steps, expected) in cases {
            let file = tempfile::NamedTempFile::new().expect("a file");
            let text = [vec!["not ours".into(), taken(1)], steps.clone(), vec![taken(1)]].concat().join("\n");
            std::fs::write(file.path(), text).expect("written");
            let mut causes = Vec::new();
            read(file.path(), |course| causes.push(cause(&course)), |_| {}).expect("read");
            assert_eq!(causes[0], expected, "{steps:?}");
        }
    }
}
