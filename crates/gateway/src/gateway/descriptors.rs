//! File descriptors: which connections are closed so that others can be opened. Makes no decisions on commands.

use tansyjunction::interface::Micros;
use tracing::warn;

use super::Gateway;

/// Descriptors reserved for other uses: log, event loop, listener, signals, peers, discovery, and a few that the system
/// may still be closing.
const RESERVED_DESCRIPTORS: usize = 40;
/// Descriptors kept free of them where the system grants fewer than configured and all are in use.
const SPARE_DESCRIPTORS: usize = 8;
/// A client without a command for this long may be disconnected.
const CLIENT_IDLE_AFTER: Micros = 2_000_000;
/// A client that has not finished its startup or a message within this time may be disconnected.
const CLIENT_MESSAGE_GRACE: Micros = 500_000;
/// Clients may use a third of the descriptors while they have commands. Above this fraction, idle clients are closed
/// for new ones, except those that pause briefly between two commands.
const CLIENT_SHARE_DIVISOR: usize = 4;
const CLIENT_PAUSE: Micros = 100_000;
/// Longest time that a closing connection may linger during shutdown.
pub(super) const SHUTDOWN_LINGER: Micros = 50_000;

impl Gateway {
    /// The system grants fewer descriptors than configured: lowers the limit so that some stay free, else clients
    /// would leave none to discovery and servers. False if it is lowered already.
    pub(super) fn lower_descriptor_limit(&mut self) -> bool {
        let most = (self.clients.count() + self.servers.count()).saturating_sub(SPARE_DESCRIPTORS).max(1);
        let fewer = most + RESERVED_DESCRIPTORS < self.deployment.sockets;
        if fewer {
            warn!(target: "limits", "fewer file descriptors than 'limits.sockets': limited to {most} connections");
            self.deployment.sockets = most + RESERVED_DESCRIPTORS;
        }
        fewer
    }

    /// Whether another descriptor may be used, after closing an idle connection if necessary. Idle clients are closed
    /// first: some are never used again, while a server connection is expensive to open. Clients leave half to the
    /// servers.
    pub(super) fn has_free_descriptor(&mut self, for_client: bool) -> bool {
        let most = self.deployment.sockets - RESERVED_DESCRIPTORS;
        while self.clients.count() + self.servers.count() >= most {
            let now = self.clock.now();
            let server_connection =
                self.servers.least_recently_used().filter(|_| !for_client || self.servers.count() > most / 2);
            let ended = self.clients.longest_closing(now - SHUTDOWN_LINGER);
            let silent = ended.or_else(|| self.clients.oldest_without_startup(now - CLIENT_MESSAGE_GRACE));
            // A client must not be closed for the next one before its first bytes were read.
            let came = if for_client { now - CLIENT_PAUSE } else { now };
            let unused = silent.or_else(|| self.clients.least_recently_used(now - CLIENT_IDLE_AFTER));
            if let Some(key) = unused.or_else(|| self.clients.incomplete_since(now - CLIENT_MESSAGE_GRACE)) {
                self.close_idle(key);
            } else if let Some(key) = server_connection {
                self.close_connection(key);
            } else if let Some(key) =
                self.clients.least_recently_used(now).or_else(|| self.clients.oldest_without_startup(came))
            {
                self.close_idle(key);
            } else if let Some(key) = self.clients.longest_closing(now) {
                self.close_idle(key);
            } else {
                return false;
            }
        }
        true
    }

    /// Closes a connection that is idle or waits for the rest of a message to free its descriptor, unless more data has
    /// arrived: a command would be lost unread, and closing over unread bytes sends a reset that may overtake the last
    /// answer.
    fn close_idle(&mut self, key: u64) {
        let now = self.clock.now();
        let Some(client) = self.clients.get(key) else { return };
        let stays = client.read(now);
        let unused = client.is_idle() || client.lacks_startup();
        if stays && !client.is_closing() {
            if unused {
                client.shut_down();
            } else if client.lacks_rest_since(now) {
                client.time_out();
            } else {
                self.turns.push_back(key);
                return;
            }
        }
        client.read(now);
        self.close_client(key);
    }

    /// Closes idle clients while many are open. Clients that ask once and keep the connection would otherwise use up
    /// the clients' share of descriptors.
    pub(super) fn close_idle_clients(&mut self) {
        let most = self.deployment.sockets / CLIENT_SHARE_DIVISOR;
        while self.clients.open_count() > most
            && let Some(key) = self.clients.least_recently_used(self.clock.now() - CLIENT_PAUSE)
        {
            self.close_for_shutdown(key);
            self.update_client_timeout(key);
        }
    }
}
