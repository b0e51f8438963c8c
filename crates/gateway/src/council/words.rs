//! Operators' requests: validated, proposed, and answered once they are decided.

use std::io::Write;
use std::os::unix::net::UnixStream;

use serde_json::{Value as Json, json};
use tansyjunction_council::ProposalError;
use tansyjunction_duties::*;
use tracing::info;

use super::OperatorRequest;
use super::effect::is_plain;
use super::fault::RequestError;
use super::member::{ConsensusThread, ProposalPurpose};
use crate::run::clock::monotonic;

/// Prefix of documents of changes of primary, which have requests of their own.
const PLAN_PREFIX: &str = "plan/";
const DEFAULT_REASON: &str = "by an operator";

/// A request that awaits its decision.
pub struct PendingRequest {
    stream: UnixStream,
    /// The document that the request is about.
    name: String,
}

impl PendingRequest {
    /// Answers the request with the outcome of its proposal.
    pub fn decided(self, register: &SharedState, outcome: Result<(u64, Outcome), ProposalError>) {
        let answer = match outcome {
            Ok((index, Outcome::Done { at })) => Ok(json!({ "ok": true, "version": at, "index": index })),
            Ok((_, Outcome::Refused(refused))) => Err(RequestError::Refused(refused)),
            Ok((_, Outcome::Overtaken { .. })) => {
                let document = register.documents.get(&self.name);
                let (version, by) = document.map_or((0, ""), |found| (found.version, found.by.as_str()));
                Err(RequestError::Overtaken { name: self.name, version, by: by.into() })
            }
            Ok((_, other)) => Err(RequestError::Otherwise(format!("{other:?}"))),
            Err(ProposalError::InTime) => Err(RequestError::Undecided),
            Err(ProposalError::TooLarge) => Err(RequestError::TooLong),
        };
        reply(&self.stream, answer);
    }
}

/// An error for operators: what is wrong, and what to do.
pub fn error_json(unable: &RequestError) -> Json {
    json!({ "error": format!("{unable}; {}", unable.remedy()) })
}

fn reply(mut stream: &UnixStream, answer: Result<Json, RequestError>) {
    let mut line = answer.unwrap_or_else(|why| error_json(&why)).to_string().into_bytes();
    line.push(b'\n');
    // An operator who does not read the answer is disconnected.
    let _ = stream.write_all(&line);
}

impl ConsensusThread {
    pub(super) fn asked(&mut self, asked: OperatorRequest) {
        let OperatorRequest { request: word, stream, shard } = asked;
        match self.answer(&word, shard) {
            Ok(Answer::Now(answer)) => reply(&stream, Ok(answer)),
            Ok(Answer::Propose(entry, name)) => {
                info!(target: "council", what = "word", mono = monotonic(), name, "proposing an operator's request");
                self.propose(entry, ProposalPurpose::Request(PendingRequest { stream, name }));
            }
            Err(why) => reply(&stream, Err(why)),
        }
    }

    fn answer(&self, word: &Json, shard: Option<(u32, String)>) -> Result<Answer, RequestError> {
        let text = |key: &'static str| word[key].as_str().ok_or(RequestError::Missing(key));
        let what = text("what")?;
        if what == "status" {
            return Ok(Answer::Now(self.status()));
        }
        let register = self.register();
        if !register.is_complete() || self.consensus.index() == 0 {
            return Err(RequestError::NotWhole);
        }
        let by = format!("{} ({})", self.own_name, word["by"].as_str().unwrap_or("operator"));
        match what {
            "show" => {
                let name = text("name")?;
                let document = register.documents.get(name).ok_or(RequestError::NoDocument(name.into()))?;
                Ok(Answer::Now(json!({
                    "name": name, "version": document.version, "by": document.by, "body": document.body,
                    "binds": register.is_binding(name, document.version), "waits_for": register.lagging_gateways(name),
                })))
            }
            "propose" | "withdraw" => {
                let name = text("name")?;
                if name.starts_with(PLAN_PREFIX) {
                    return Err(RequestError::Reserved(name.into()));
                }
                let body = if what == "propose" { Some(text("body")?.to_string()) } else { None };
                let known = register.documents.get(name).map_or(0, |document| document.version);
                if body.is_none() && known == 0 {
                    return Err(RequestError::NoDocument(name.into()));
                }
                let expected = word["expected"].as_u64().unwrap_or(known);
                let entry = Entry::Put { name: name.into(), expected, body, by, fence: None };
                Ok(Answer::Propose(entry, name.into()))
            }
            "plan" => {
                let to = text("to")?;
                let (shard, from) = shard.ok_or(RequestError::Missing("shard"))?;
                if let Some(name) = [to, &from].into_iter().find(|name| !is_plain(name)) {
                    return Err(RequestError::BadName(name.into()));
                }
                let why = word["why"].as_str().unwrap_or(DEFAULT_REASON);
                let entry = Plan::announce(register, shard, [&from, to], why, &by).map_err(|plan| {
                    let step = format!("{:?}", plan.step).to_lowercase();
                    RequestError::UnderWay { shard, to: plan.to, step }
                })?;
                Ok(Answer::Propose(entry, plan_document_of(shard)))
            }
            "abort" => {
                let (shard, _) = shard.ok_or(RequestError::Missing("shard"))?;
                let why = word["why"].as_str().unwrap_or(DEFAULT_REASON);
                let entry =
                    Plan::abort(register, shard, why, &by).ok_or(RequestError::NothingUnderWay(shard))?;
                Ok(Answer::Propose(entry, plan_document_of(shard)))
            }
            other => Err(RequestError::NoSuchWord(other.into())),
        }
    }
}

enum Answer {
    Now(Json),
    /// Propose this entry for this document.
    Propose(Entry, String),
}
