//! Pending commands: asks the router about each, and turns its answers into dispatches and final answers.

use tansyjunction::interface::*;

use super::Gateway;
use crate::wire::client::Next;
use crate::wire::frames;
use crate::wire::server::{Job, ServerAnswer};

/// Encodes a final answer that does not come from a server.
pub(super) fn final_error(last: FinalAnswer) -> Vec<u8> {
    match last {
        FinalAnswer::Throttled { retry_after } => {
            let advice = (retry_after > 0).then(|| retry_after.div_ceil(1_000).to_string());
            let message = "too many commands; trying again does no harm";
            frames::error("ERROR", "53300", message, advice.as_deref())
        }
        FinalAnswer::Failed => frames::error("ERROR", "58000", "the command failed; it may have run", None),
    }
}

impl Gateway {
    /// Asks the router to place a command now, and executes its answer.
    pub(super) fn place(&mut self, command: u64) {
        self.place_at(self.clock.now(), command);
    }

    pub(super) fn place_at(&mut self, now: Micros, command: u64) {
        if self.handover_admits(now, command) {
            self.place_with_router(now, command);
        }
    }

    pub(super) fn place_with_router(&mut self, now: Micros, command: u64) {
        self.router_due = now;
        self.step_asked(now, command);
        let Some((place, recall)) = self.commands.place(&mut self.router, now, command) else { return };
        self.step_placed(command, &place);
        let dispatch = self.commands.dispatch_count(command).unwrap_or(0).saturating_sub(1);
        for dispatch in recall {
            self.cancel_dispatch(command, dispatch);
        }
        match place {
            Placement::Dispatch { server, .. } if !self.handover_allows(command, server) => {
                // For the router this is like a server that says it is not the primary.
                let stated = Report { primary: Some(false), ..Report::default() };
                let said = ServerAnswer { stated, ..ServerAnswer::default() };
                self.dispatch_ended(command, dispatch, DispatchEnd::Unsent, said);
            }
            Placement::Dispatch { server, timeout } => {
                let job = Job::Command { command, dispatch };
                if let Err(ending) = self.start_job(server, job, now + timeout) {
                    self.dispatch_ended(command, dispatch, ending, ServerAnswer::default());
                }
            }
            Placement::Hold => {}
            Placement::Abandon(last) => self.answer_finally(command, last),
        }
    }

    /// Sends the client a final answer that does not come from a server.
    pub(super) fn answer_finally(&mut self, command: u64, last: FinalAnswer) {
        self.step_given_up(command, last);
        let Some(client) = self.clients.waiting_for(command) else { return };
        if let (FinalAnswer::Throttled { .. }, Some(in_hand)) = (last, &client.in_hand) {
            // The answer says that the client may try again.
            self.executed_ids.remove(in_hand.id);
        }
        let written = client.answer(&[&final_error(last), frames::READY]);
        self.on_answered(command, written);
    }

    /// Records that the client has its final answer.
    pub(super) fn on_answered(&mut self, command: u64, written: Next) {
        let now = self.clock.now();
        self.step_over(now, command);
        self.handover_forget(command);
        let Some(key) = self.clients.take_pending(command, now) else { return };
        if let Next::Close = written {
            self.close_client(key);
        } else {
            // Clients that keep sending would keep their connections until the last moment, when commands can no
            // longer be answered. So the end is sent right after the answer; a command that crosses it is not read,
            // and the client sends it elsewhere.
            if self.listener.is_none()
                && let Some(client) = self.clients.get(key).filter(|client| client.is_idle())
            {
                client.shut_down();
            }
            self.turns.push_back(key);
        }
    }

    pub(super) fn dispatch_ended(
        &mut self,
        command: u64,
        dispatch: usize,
        ending: DispatchEnd,
        said: ServerAnswer,
    ) {
        let now = self.clock.now();
        let Some(sent) = self.commands.sent_at(command, dispatch) else { return };
        self.observe_role(now, command, dispatch, ending, &said);
        self.step_ended(now, command, dispatch, ending);
        self.observe_outcome(now, command, dispatch, ending, &said);
        let outcome = Outcome {
            dispatch,
            ending,
            took: said.at.unwrap_or(now).saturating_sub(sent),
            finished: ending == DispatchEnd::Answered,
            answer_report: said.stated,
            load_report: said.report,
        };
        match self.commands.on_dispatch_ended(&mut self.router, now, command, outcome) {
            Some(NextStep::PlaceAgain) => self.place(command),
            Some(NextStep::Finished { cancel: recall }) => {
                for dispatch in recall {
                    self.cancel_dispatch(command, dispatch);
                }
            }
            None => {}
        }
    }

    /// Cancels a dispatch by closing its connection.
    pub(super) fn cancel_dispatch(&mut self, command: u64, dispatch: usize) {
        if let Some(key) = self.servers.connection_of(command, dispatch) {
            self.end_connection(key, DispatchEnd::Recalled);
        }
    }
}
