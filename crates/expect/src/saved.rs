//! A saved run that violates an expectation, with everything needed to repeat it: configuration, files, choices.

use serde_json::{Value as Json, json};
use tansyjunction_settings::{ExpectSettings, Ini};

use crate::check::{Input, router};
use crate::explore::{Choice, Counterexample, Setting, replay_run};
use crate::judge::Violation;
use crate::report::counterexample_json;
use crate::state;
use crate::subject::Subject;
use crate::truth::FAULTS;
use crate::world::Step;

const VERSION: u64 = 1;

/// The run of a failed expectation as a file.
pub fn save(input: &Input, expectation: usize, found: &Counterexample) -> Json {
    let setting = &found.setting;
    let files = input.files.iter().map(|file| {
        let text: String = file.sections.iter().map(|section| section.text() + "\n").collect();
        json!({"name": &*file.file, "text": text})
    });
    let choices = found.choices.iter().map(
        |choice| json!({"picks": choice.picks, "happens": choice.happens.map(|happens| happens.word())}),
    );
    json!({
        "tansyjunction_run": VERSION,
        "expectation": input.suite.expectations[expectation].name,
        "config": {"name": input.subject.file, "json": input.subject.json},
        "files": files.collect::<Vec<_>>(),
        "setting": {
            "command": setting.command, "shard": setting.shard, "zone": setting.zone, "place": setting.place,
            "seed": setting.seed, "state": state::name(&setting.state, &input.suite.worlds),
        },
        "choices": choices.collect::<Vec<_>>(),
        "told": counterexample_json(&input.subject, found),
    })
}

/// A repeated run.
#[derive(Debug)]
pub struct Replayed {
    pub subject: Subject,
    pub expectation: String,
    pub trail: Vec<Step>,
    /// `None` if it no longer violates the expectation.
    pub broken: Option<Violation>,
}

/// Repeats a saved run.
pub fn replay(saved: &Json) -> Result<Replayed, String> {
    let missing = |key: &str| format!("'{key}' is missing or of another form");
    if saved["tansyjunction_run"].as_u64() != Some(VERSION) {
        return Err("it is no saved run of this version".into());
    }
    let text = |value: &Json, key: &str| value[key].as_str().map(String::from).ok_or_else(|| missing(key));
    let place = |key: &str| saved["setting"][key].as_u64().ok_or_else(|| missing(&format!("setting.{key}")));
    let subject = Subject::read(&text(&saved["config"], "name")?, saved["config"]["json"].clone())?;
    let files = saved["files"].as_array().ok_or_else(|| missing("files"))?.iter();
    let files = files
        .map(|file| Ini::read(text(file, "name")?, &text(file, "text")?).map_err(|fault| fault.to_string()));
    let files = files.collect::<Result<Vec<_>, String>>()?;
    let bounds = tansyjunction_settings::ProgramSettings::default().expect;
    let bounds = ExpectSettings { replica_lag_allowed: None, ..bounds };
    let input = Input::read(subject, files, bounds, String::new()).map_err(|fault| fault.to_string())?;
    let name = text(saved, "expectation")?;
    let expectation = input.suite.expectations.iter().find(|one| one.name == name);
    let expectation = expectation.ok_or_else(|| format!("there is no expectation '{name}' in it"))?;
    let setting = Setting {
        command: place("command")? as usize,
        shard: place("shard")? as usize,
        zone: place("zone")? as usize,
        state: state::read(&text(&saved["setting"], "state")?, &input.suite.worlds)?,
        place: place("place")? as usize,
        seed: place("seed")?,
    };
    let subject = &input.subject;
    let fits = setting.command < subject.command_groups.len()
        && setting.shard < subject.shards.len()
        && setting.zone < subject.zones.len();
    if !fits {
        return Err("'setting' names what the configuration lacks".into());
    }
    let choices = saved["choices"].as_array().ok_or_else(|| missing("choices"))?.iter().map(|choice| {
        let picks = choice["picks"].as_array().ok_or_else(|| missing("choices.picks"))?.iter();
        let picks = picks.map(|pick| pick.as_u64().map(|pick| pick as usize).ok_or_else(|| missing("picks")));
        let happens = match choice["happens"].as_str() {
            None => None,
            Some(word) => {
                let known = FAULTS.iter().find(|(name, _)| *name == word);
                Some(known.ok_or_else(|| format!("'{word}' is no fault"))?.1)
            }
        };
        Ok(Choice { picks: picks.collect::<Result<_, String>>()?, happens })
    });
    let choices = choices.collect::<Result<Vec<_>, String>>()?;
    let ran = replay_run(subject, &input.suite.worlds, expectation, &setting, &choices, &router)?;
    let (trail, broken) = ran;
    Ok(Replayed { subject: Subject::clone(subject), expectation: name, trail, broken })
}
