//! Commands in hand: the router is asked about each, and its answers become dispatches and final answers.

use tansyjunction::interface::*;

use super::Gateway;
use crate::wire::client::Next;
use crate::wire::frames;
use crate::wire::server::{Job, Said};

impl Gateway {
    /// Asks the router where to send a command now, and does as it says.
    pub(super) fn ask(&mut self, command: u64) {
        self.ask_at(self.clock.now(), command);
    }

    pub(super) fn ask_at(&mut self, now: Micros, command: u64) {
        if self.admitted(now, command) {
            self.ask_router(now, command);
        }
    }

    pub(super) fn ask_router(&mut self, now: Micros, command: u64) {
        self.router_due = now;
        self.step_asked(now, command);
        let Some((place, recall)) = self.commands.place(&mut self.router, now, command) else { return };
        self.step_placed(command, &place);
        let dispatch = self.commands.dispatch_count(command).unwrap_or(0).saturating_sub(1);
        for dispatch in recall {
            self.recall(command, dispatch);
        }
        match place {
            Placement::Dispatch { server, .. } if !self.may_go(command, server) => {
                // To the router it is as a server that says it follows.
                let stated = Report { primary: Some(false), ..Report::default() };
                let said = Said { stated, ..Said::default() };
                self.dispatch_ended(command, dispatch, DispatchEnd::Unsent, said);
            }
            Placement::Dispatch { server, timeout } => {
                let job = Job::Command { command, dispatch };
                if let Err(ending) = self.begin(server, job, now, now + timeout) {
                    self.dispatch_ended(command, dispatch, ending, Said::default());
                }
            }
            Placement::Hold => {}
            Placement::Abandon(last) => self.answer_finally(command, last),
        }
    }

    /// Gives the client a final answer other than a server's.
    pub(super) fn answer_finally(&mut self, command: u64, last: FinalAnswer) {
        let error = match last {
            FinalAnswer::Throttled { retry_after: come_back } => {
                let advice = (come_back > 0).then(|| come_back.div_ceil(1_000).to_string());
                frames::error(
                    "ERROR",
                    "53300",
                    "too many commands; trying again does no harm",
                    advice.as_deref(),
                )
            }
            FinalAnswer::Failed => {
                frames::error("ERROR", "58000", "the command failed; it may have run", None)
            }
        };
        self.step_given_up(command, last);
        let Some(client) = self.clients.waiting_for(command) else { return };
        let written = client.answer(&[&error, frames::READY]);
        self.answered(command, written);
    }

    /// The client that waits for a command has its final answer.
    pub(super) fn answered(&mut self, command: u64, written: Next) {
        let now = self.clock.now();
        self.step_over(now, command);
        self.no_longer_held(command);
        let Some(key) = self.clients.answering(command, now) else { return };
        if let Next::Close = written {
            self.close_client(key);
        } else {
            // Guards against clients that send on at once, and so keep their connections up to the last moment, in
            // which what they sent can't be answered any more: the end goes out right behind the answer. What crosses
            // it was not read, and is sent again elsewhere.
            if self.listener.is_none()
                && let Some(client) = self.clients.get(key).filter(|client| client.is_idle())
            {
                client.close_gently();
            }
            self.resume.push_back(key);
        }
    }

    pub(super) fn dispatch_ended(&mut self, command: u64, dispatch: usize, ending: DispatchEnd, said: Said) {
        let now = self.clock.now();
        let Some(sent) = self.commands.sent_at(command, dispatch) else { return };
        self.heard_of_role(now, command, dispatch, ending, &said);
        self.step_ended(now, command, dispatch, ending);
        self.saw_outcome(now, command, dispatch, ending, &said);
        let outcome = Outcome {
            dispatch,
            ending,
            took: said.at.unwrap_or(now).saturating_sub(sent),
            finished: ending == DispatchEnd::Answered,
            answer_report: said.stated,
            load_report: said.report,
        };
        match self.commands.on_dispatch_ended(&mut self.router, now, command, outcome) {
            Some(NextStep::PlaceAgain) => self.ask(command),
            Some(NextStep::Finished { cancel: recall }) => {
                for dispatch in recall {
                    self.recall(command, dispatch);
                }
            }
            None => {}
        }
    }

    /// Calls a dispatch off: its connection is closed.
    pub(super) fn recall(&mut self, command: u64, dispatch: usize) {
        if let Some(key) = self.servers.out(command, dispatch) {
            self.end_line(key, DispatchEnd::Recalled);
        }
    }
}
