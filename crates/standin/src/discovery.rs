//! Discovery service on loopback: the whole list, then its changes; roles are reported late.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value as Json, json};

use crate::store::Store;

/// Serves the list of a store's servers. Roles change only when set here, late as in reality.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<(u64, Vec<Json>)>>,
}

impl Discovery {
    /// Starts the service.
    pub fn start(store: &Store) -> std::io::Result<Discovery> {
        let members = store.shared.shape.members;
        let hosts = store.addresses.iter().enumerate().map(|(server, address)| {
            json!({
                "host": Store::name(server), "dial": address.to_string(), "site": "a", "class": "m",
                "block": server / members, "health": "up", "share": 1.0, "born_ms": 0,
                "recovery": if server % members == 0 { "off" } else { "on" },
            })
        });
        let state = Arc::new(Mutex::new((1_u64, hosts.collect::<Vec<_>>())));
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || answer(stream, &shared));
            }
        });
        Ok(Discovery { address, state })
    }

    /// Lists this server as the primary of its shard from now on.
    pub fn leads(&self, server: usize, members: usize) {
        let Ok(mut state) = self.state.lock() else { return };
        state.0 += 1;
        let shard = server / members;
        for (place, host) in state.1.iter_mut().enumerate().filter(|(place, _)| place / members == shard) {
            host["recovery"] = if place == server { "off".into() } else { "on".into() };
        }
    }
}

fn answer(mut stream: std::net::TcpStream, shared: &Mutex<(u64, Vec<Json>)>) -> Option<()> {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") && request.len() < 8_192 {
        stream.read_exact(&mut byte).ok()?;
        request.push(byte[0]);
    }
    let list = |whole: bool| {
        let state = shared.lock().ok()?;
        Some((state.0, json!({"seq": state.0, "whole": whole, "hosts": state.1}).to_string()))
    };
    if !String::from_utf8_lossy(&request).contains("follow=1") {
        let body = list(true)?.1;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        return stream.write_all((head + &body).as_bytes()).ok();
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
    let (mut told, mut beats) = (0, 0);
    loop {
        let (version, body) = list(false)?;
        let line = if version > told { body + "\n" } else { "\n".into() };
        if version > told || beats % 100 == 0 {
            stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).ok()?;
        }
        (told, beats) = (version, beats + 1);
        std::thread::sleep(Duration::from_millis(20));
    }
}
