//! Operators' Unix socket: one line of JSON per request and answer. Created with mode 0600 and removed at the end.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use serde_json::{Value as Json, json};
use tansyjunction::interface::Micros;
use tansyjunction_hosting::Timer;
use tracing::{info, warn};

use super::{Due, Gateway};

/// Longest request line in bytes, and where it may contain a document; most connections; idle time of a connection.
const MAX_LINE_BYTES: usize = 4_096;
const MAX_DOCUMENT_LINE_BYTES: usize = 128 << 10;
const MAX_CONNECTIONS: usize = 8;
const IDLE_TIMEOUT: Micros = 10_000_000;

/// An operator's connection.
struct Control {
    stream: Rc<UnixStream>,
    token: RegistrationToken,
    inbox: Vec<u8>,
    limit: Timer,
}

/// Operators' connections. They are closed in [`Gateway::close_control`].
#[derive(Default)]
pub struct Controls {
    connections: BTreeMap<u64, Control>,
}

/// The socket's path, removed on drop.
pub struct SocketPath {
    path: PathBuf,
}

impl Drop for SocketPath {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

impl Gateway {
    /// Listens for operators at a path. Replaces the socket of a dead gateway, but not of a running one.
    pub fn open_control(&mut self, path: &Path) -> std::io::Result<SocketPath> {
        if std::fs::symlink_metadata(path).is_ok_and(|there| there.file_type().is_socket()) {
            if UnixStream::connect(path).is_ok() {
                return Err(std::io::Error::new(ErrorKind::AddrInUse, "another gateway listens there"));
            }
            std::fs::remove_file(path)?;
        }
        let listener = UnixListener::bind(path)?;
        let opened = SocketPath { path: path.to_path_buf() };
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
        listener.set_nonblocking(true)?;
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let accept = |_, listener: &mut calloop::generic::NoIoDrop<UnixListener>, gateway: &mut Gateway| {
            while let Ok((stream, _)) = listener.accept() {
                gateway.accept_control(stream);
            }
            Ok(PostAction::Continue)
        };
        self.handle.insert_source(source, accept).map_err(|error| std::io::Error::other(error.error))?;
        Ok(opened)
    }

    fn accept_control(&mut self, stream: UnixStream) {
        let key = self.number();
        if self.controls.connections.len() >= MAX_CONNECTIONS || stream.set_nonblocking(true).is_err() {
            warn!(target: "limits", "too many control connections");
            return;
        }
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::READ, Mode::Level);
        let ready = move |_, _: &mut _, gateway: &mut Gateway| {
            gateway.control_ready(key);
            Ok(PostAction::Continue)
        };
        match self.handle.insert_source(source, ready) {
            Ok(token) => {
                let mut limit = Timer::default();
                limit.set(&mut self.due, Due::Control(key), self.clock.now() + IDLE_TIMEOUT);
                let control = Control { stream, token, inbox: Vec::new(), limit };
                self.controls.connections.insert(key, control);
            }
            Err(error) => warn!(target: "start", "a control connection: {}", error.error),
        }
    }

    /// Closes an operator's connection; the only place that does.
    fn close_control(&mut self, key: u64) {
        if let Some(control) = self.controls.connections.remove(&key) {
            self.handle.remove(control.token);
        }
    }

    /// Closes connections that send an incomplete line and stay open.
    pub(super) fn control_timeout(&mut self, key: u64, at: Micros) {
        let Some(control) = self.controls.connections.get_mut(&key) else { return };
        if control.limit.expire(&mut self.due, Due::Control(key), at) {
            self.close_control(key);
        }
    }

    fn control_ready(&mut self, key: u64) {
        let most = if self.consensus.is_some() { MAX_DOCUMENT_LINE_BYTES } else { MAX_LINE_BYTES };
        let Some(control) = self.controls.connections.get_mut(&key) else { return };
        let mut bytes = [0; 1_024];
        let ended = loop {
            match (&*control.stream).read(&mut bytes) {
                Ok(0) => break true,
                Ok(count) => control.inbox.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => break true,
            }
            if control.inbox.len() > most {
                break true;
            }
        };
        while let Some(control) = self.controls.connections.get_mut(&key)
            && let Some(end) = control.inbox.iter().position(|byte| *byte == b'\n')
        {
            let line: Vec<u8> = control.inbox.drain(..=end).collect();
            let stream = control.stream.clone();
            if let Some(answer) = self.control_line(&line, &stream) {
                let mut answer = answer.to_string().into_bytes();
                answer.push(b'\n');
                // An operator who does not read the answer is disconnected.
                if (&*stream).write_all(&answer).is_err() {
                    self.close_control(key);
                    return;
                }
            }
            let due = self.clock.now() + IDLE_TIMEOUT;
            if let Some(control) = self.controls.connections.get_mut(&key) {
                control.limit.set(&mut self.due, Due::Control(key), due);
            }
        }
        if ended {
            self.close_control(key);
        }
    }

    /// Handles a request line and returns the answer; `None` if the consensus thread answers.
    fn control_line(&mut self, line: &[u8], stream: &UnixStream) -> Option<Json> {
        let error = |message: String| json!({ "error": message });
        let asked: Json = match serde_json::from_slice(line) {
            Ok(asked) => asked,
            Err(_) => return Some(error("the line is no JSON".into())),
        };
        if asked["do"] == "council" {
            return self.consensus_request(&asked, stream).err();
        }
        Some(self.execute_request(&asked).unwrap_or_else(error))
    }

    fn execute_request(&mut self, asked: &Json) -> Result<Json, String> {
        let now = self.clock.now();
        let word = |key: &str| asked[key].as_str().ok_or(format!("'{key}' is missing"));
        let what = word("do")?;
        match what {
            "status" => return self.control_status(now),
            "fellows" => return self.membership_status(now),
            _ => {}
        }
        let name = word("shard")?;
        let shard = self.groups.find(name).ok_or(format!("there is no shard '{name}'"))?;
        let target = match what {
            "plan" => {
                let to = word("to")?;
                Some(self.servers_named.find(to).ok_or(format!("there is no server '{to}'"))?)
            }
            _ => None,
        };
        let holds = self.handover.as_mut().ok_or("holds are switched off")?;
        let handover = &mut holds.handover;
        let done = match (what, target) {
            ("plan", Some(target)) => handover.plan_change(now, shard, target),
            ("abort", _) => handover.abort_change(now, shard),
            ("pause", _) => handover.pause(shard),
            ("resume", _) => handover.resume(now, shard),
            (other, _) => return Err(format!("'{other}' is neither plan, status, abort, pause nor resume")),
        };
        done.map_err(|refusal| refusal.to_string())?;
        info!(target: "servers", "operator request '{what}' for shard {name}");
        Ok(json!({ "ok": true }))
    }

    fn control_status(&self, now: Micros) -> Result<Json, String> {
        let holds = self.handover.as_ref().ok_or("holds are switched off")?;
        let server = |server: &usize| self.servers_named.name(*server).to_string();
        let shards = holds.handover.all_status().into_iter().map(|status| {
            json!({
                "shard": self.groups.name(status.shard),
                "phase": status.phase.name(),
                "for_ms": now.saturating_sub(status.since) / 1_000,
                "primary": status.primary.as_ref().map(server),
                "target": status.target.as_ref().map(server),
                "term": status.term,
                "held": status.held,
                "held_bytes": status.held_bytes,
                "out": status.in_flight,
                "paused": status.paused,
                "fenced": status.fenced.iter().map(server).collect::<Vec<_>>(),
            })
        });
        Ok(json!({ "gateway": self.deployment.name, "shards": shards.collect::<Vec<_>>() }))
    }
}
