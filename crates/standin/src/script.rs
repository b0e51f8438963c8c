//! Scripted faults of a store in INI: sections `[at TIME]` with `do = WORDS`.

use std::time::Duration;

use tansyjunction_settings::{Ini, SettingsError, duration};

use crate::discovery::Discovery;
use crate::store::{Death, Store};

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// A planned switch of a shard to a server, with the time without a primary.
    Switch(usize, usize, Duration),
    Kill(usize, Death),
    Hang(usize),
    /// Sets the lag of a replica.
    Lag(usize, Duration),
    Crown(usize),
    Back(usize, bool),
    /// Lists a server as the primary.
    List(usize),
}

/// Steps by time since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Script {
    steps: Vec<(Duration, Step)>,
}

impl Script {
    /// Parses `switch SHARD to SERVER after TIME`, `kill SERVER`, `kill SERVER after commit`, `hang SERVER`, `lag
    /// SERVER TIME`, `crown SERVER`, `back SERVER`, `back SERVER as it was` and `list SERVER`.
    pub fn read(ini: &Ini, shards: usize, members: usize) -> Result<Script, SettingsError> {
        let mut steps = Vec::new();
        for section in &ini.sections {
            let at = match section.kind() {
                ("at", time) => duration(time).map_err(|message| section.error(message))?,
                _ => return Err(section.error("it is not of the form [at TIME]")),
            };
            section.only(&["do"])?;
            let step = section.value("do", |text| step(text, shards, members))?;
            let step = step.ok_or_else(|| section.error("'do' is missing"))?;
            steps.push((Duration::from_micros(at), step));
        }
        steps.sort_by_key(|(at, _)| *at);
        Ok(Script { steps })
    }

    /// Executes all steps at their times.
    pub fn run(&self, store: &Store, discovery: &Discovery) {
        let began = std::time::Instant::now();
        for (at, step) in &self.steps {
            std::thread::sleep(at.saturating_sub(began.elapsed()));
            match step {
                Step::Switch(shard, to, gap) => store.switch(*shard, *to, *gap),
                Step::Kill(server, death) => store.kill(*server, *death),
                Step::Hang(server) => store.hang(*server),
                Step::Lag(server, lag) => store.lag(*server, *lag),
                Step::Crown(server) => store.set_primary(server / store.shared.shape.members, *server),
                Step::Back(server, as_it_was) => store.restart(*server, *as_it_was),
                Step::List(server) => discovery.leads(*server, store.shared.shape.members),
            }
        }
    }
}

fn step(text: &str, shards: usize, members: usize) -> Result<Step, String> {
    let server = |name: &str| {
        let number = name.strip_prefix('s').and_then(|number| number.parse::<usize>().ok());
        number.filter(|n| *n < shards * members).ok_or(format!("there is no server '{name}'"))
    };
    let words: Vec<&str> = text.split_whitespace().collect();
    Ok(match words[..] {
        ["switch", shard, "to", to, "after", gap] => {
            let place = shard.parse::<usize>().ok().filter(|place| *place < shards);
            let place = place.ok_or(format!("there is no shard '{shard}'"))?;
            let to = server(to)?;
            if to / members != place {
                return Err(format!("s{to} is not of shard {place}"));
            }
            Step::Switch(place, to, Duration::from_micros(duration(gap)?))
        }
        ["kill", name] => Step::Kill(server(name)?, Death::Before),
        ["kill", name, "after", "commit"] => Step::Kill(server(name)?, Death::AfterCommit),
        ["lag", name, lag] => Step::Lag(server(name)?, Duration::from_micros(duration(lag)?)),
        ["hang", name] => Step::Hang(server(name)?),
        ["crown", name] => Step::Crown(server(name)?),
        ["back", name] => Step::Back(server(name)?, false),
        ["back", name, "as", "it", "was"] => Step::Back(server(name)?, true),
        ["list", name] => Step::List(server(name)?),
        _ => return Err(format!("'{text}' is not understood")),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_script_is_read_in_order_and_faults_are_told() {
        let read = |text: &str| Ini::read("s.ini", text).and_then(|ini| Script::read(&ini, 2, 3));
        let text = "[at 2s]\ndo = kill s0 after commit\n[at 500ms]\ndo = switch 1 to s4 after 100ms\n";
        let script = read(text).expect("it is well");
        let millis = Duration::from_millis;
        let switch = Step::Switch(1, 4, millis(100));
        assert_eq!(script.steps, [(millis(500), switch), (millis(2_000), Step::Kill(0, Death::AfterCommit))]);
        for (text, said) in [
            ("[when 1s]\ndo = list s1", "not of the form [at TIME]"),
            ("[at 1s]\n", "'do' is missing"),
            ("[at 1s]\ndo = kill s9", "there is no server 's9'"),
            ("[at 1s]\ndo = switch 0 to s4 after 1s", "s4 is not of shard 0"),
            ("[at 1s]\ndo = sing", "'sing' is not understood"),
        ] {
            assert!(read(text).expect_err(text).to_string().contains(said), "{text}");
        }
    }
}
