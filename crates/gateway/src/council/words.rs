//! Operators' words: checked, proposed, and answered once they are decided.

use std::io::Write;
use std::os::unix::net::UnixStream;

use serde_json::{Value as Json, json};
use tansyjunction_council::ProposalError;
use tansyjunction_duties::*;
use tracing::info;

use super::Asked;
use super::effect::is_plain;
use super::fault::Unable;
use super::member::{Member, Ticket};
use crate::run::clock::monotonic;

/// Documents of changes of primary; they have words of their own.
const PLANS: &str = "plan/";
const WHY: &str = "by an operator";

/// An answer that is owed.
pub struct Waiting {
    stream: UnixStream,
    /// The document that the word was about.
    name: String,
}

impl Waiting {
    pub fn decided(self, register: &SharedState, outcome: Result<(u64, Outcome), ProposalError>) {
        let answer = match outcome {
            Ok((index, Outcome::Done { at })) => Ok(json!({ "ok": true, "version": at, "index": index })),
            Ok((_, Outcome::Refused(refused))) => Err(Unable::Refused(refused)),
            Ok((_, Outcome::Overtaken { .. })) => {
                let document = register.documents.get(&self.name);
                let (version, by) = document.map_or((0, ""), |found| (found.version, found.by.as_str()));
                Err(Unable::Overtaken { name: self.name, version, by: by.into() })
            }
            Ok((_, other)) => Err(Unable::Otherwise(format!("{other:?}"))),
            Err(ProposalError::Timeout) => Err(Unable::Undecided),
            Err(ProposalError::TooLarge) => Err(Unable::TooLong),
        };
        reply(&self.stream, answer);
    }
}

/// An error as operators get it: what is wrong, and what to do.
pub fn unable(unable: &Unable) -> Json {
    json!({ "error": format!("{unable}; {}", unable.remedy()) })
}

fn reply(mut stream: &UnixStream, answer: Result<Json, Unable>) {
    let mut line = answer.unwrap_or_else(|why| unable(&why)).to_string().into_bytes();
    line.push(b'\n');
    // An operator who does not read an answer is parted with.
    let _ = stream.write_all(&line);
}

impl Member {
    pub(super) fn asked(&mut self, asked: Asked) {
        let Asked { word, stream, shard } = asked;
        match self.answer(&word, shard) {
            Ok(Answer::Now(answer)) => reply(&stream, Ok(answer)),
            Ok(Answer::Propose(entry, name)) => {
                info!(target: "council", what = "word", mono = monotonic(), name, "an operator's word is proposed");
                self.propose(entry, Ticket::Word(Waiting { stream, name }));
            }
            Err(why) => reply(&stream, Err(why)),
        }
    }

    fn answer(&self, word: &Json, shard: Option<(u32, String)>) -> Result<Answer, Unable> {
        let text = |key: &'static str| word[key].as_str().ok_or(Unable::Missing(key));
        let what = text("what")?;
        if what == "status" {
            return Ok(Answer::Now(self.status()));
        }
        let register = self.register();
        if !register.is_complete() || self.council.index() == 0 {
            return Err(Unable::NotWhole);
        }
        let by = format!("{} ({})", self.me, word["by"].as_str().unwrap_or("operator"));
        match what {
            "show" => {
                let name = text("name")?;
                let document = register.documents.get(name).ok_or(Unable::NoDocument(name.into()))?;
                Ok(Answer::Now(json!({
                    "name": name, "version": document.version, "by": document.by, "body": document.body,
                    "binds": register.is_binding(name, document.version), "waits_for": register.lagging_gateways(name),
                })))
            }
            "propose" | "withdraw" => {
                let name = text("name")?;
                if name.starts_with(PLANS) {
                    return Err(Unable::Reserved(name.into()));
                }
                let body = if what == "propose" { Some(text("body")?.to_string()) } else { None };
                let known = register.documents.get(name).map_or(0, |document| document.version);
                if body.is_none() && known == 0 {
                    return Err(Unable::NoDocument(name.into()));
                }
                let expected = word["expected"].as_u64().unwrap_or(known);
                let entry = Entry::Put { name: name.into(), expected, body, by, fence: None };
                Ok(Answer::Propose(entry, name.into()))
            }
            "plan" => {
                let to = text("to")?;
                let (shard, from) = shard.ok_or(Unable::Missing("shard"))?;
                if let Some(name) = [to, &from].into_iter().find(|name| !is_plain(name)) {
                    return Err(Unable::BadName(name.into()));
                }
                let why = word["why"].as_str().unwrap_or(WHY);
                let entry = Plan::announce(register, shard, [&from, to], why, &by).map_err(|plan| {
                    let step = format!("{:?}", plan.step).to_lowercase();
                    Unable::UnderWay { shard, to: plan.to, step }
                })?;
                Ok(Answer::Propose(entry, plan_document_of(shard)))
            }
            "abort" => {
                let (shard, _) = shard.ok_or(Unable::Missing("shard"))?;
                let why = word["why"].as_str().unwrap_or(WHY);
                let entry = Plan::abort(register, shard, why, &by).ok_or(Unable::NothingUnderWay(shard))?;
                Ok(Answer::Propose(entry, plan_document_of(shard)))
            }
            other => Err(Unable::NoSuchWord(other.into())),
        }
    }
}

enum Answer {
    Now(Json),
    /// To be proposed, about this document.
    Propose(Entry, String),
}
