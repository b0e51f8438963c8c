//! Core of the gateway: turns input into calls of the router, and its answers into messages. Makes no decisions. All
//! state belongs to [`Gateway`], which the event loop passes to every callback.

mod buffers;
mod clients;
mod commands;
mod control;
mod council;
mod descriptors;
mod discovery;
mod discovery_timeouts;
mod due;
mod holds;
mod membership;
mod scout;
mod servers;
mod statements;
mod steps;

use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use tansyjunction::Router;
use tansyjunction::interface::*;
use tansyjunction_hosting::{NameNumbers, PendingCommands, TimerQueue};
use tansyjunction_settings::ProgramSettings;

use self::control::Controls;
use self::council::Consensus;
use self::discovery::Watch;
use self::discovery_timeouts::DiscoveryTimeouts;
use self::due::FIRST_LIST_WAIT;
use self::holds::WriteHolding;
use self::membership::Membership;
use self::scout::SharedProbing;
use crate::memory::clients::Clients;
use crate::memory::executed_ids::ExecutedIds;
use crate::memory::servers::Servers;
use crate::memory::sessions::Sessions;
use crate::memory::turns::RoundRobin;
use crate::run::clock::Clock;
use crate::run::deployment::Deployment;
use crate::run::listener::Listener;

/// Timers other than those of commands.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Client(u64),
    ServerConnection(u64),
    Control(u64),
    Council,
    Discovery,
    Known,
    Listener,
}

/// State of the gateway.
pub struct Gateway {
    handle: LoopHandle<'static, Gateway>,
    pub clock: Clock,
    deployment: Deployment,
    router: Router,
    commands: PendingCommands,
    servers_named: NameNumbers,
    groups: NameNumbers,
    sessions: Sessions,
    executed_ids: ExecutedIds,
    clients: Clients,
    servers: Servers,
    watch: Watch,
    listener: Option<Listener>,
    /// Whether each step of each command is logged, and the diagnosis of the members for the last command placed.
    log_steps: bool,
    diagnosis: Vec<MemberDiagnosis>,
    due: TimerQueue<Due>,
    /// Clients whose next message may be handled.
    turns: RoundRobin,
    /// Server connections whose answer found no memory to be read.
    unread_answers: RoundRobin,
    /// When the router's periodic check is due.
    router_due: Micros,
    /// Holding of writes during a change of primary; `None` if disabled.
    handover: Option<WriteHolding>,
    /// Membership of the gateways; `None` if disabled.
    membership: Option<Membership>,
    /// Consensus among the gateways; `None` if disabled.
    consensus: Option<Consensus>,
    /// Probes sent by one gateway for all; `None`: each sends its own.
    probing: Option<SharedProbing>,
    controls: Controls,
    /// Last number assigned to a connection or command; none is reused.
    last_number: u64,
    /// A server list was received: empty queries are answered.
    ready: bool,
    /// Commands are accepted, possibly without a list.
    accepts_commands: bool,
    /// After SIGTERM: when all accepted commands must be answered.
    stop_deadline: Option<Micros>,
    /// The listen queue was left unserved for lack of a descriptor.
    accept_blocked: bool,
    /// The listen queue was left unserved so that others get their turn.
    accept_more: bool,
}

impl Gateway {
    /// Creates the gateway; it does not listen yet.
    pub fn new(
        handle: LoopHandle<'static, Gateway>,
        mut deployment: Deployment,
        listener: Listener,
        program: &ProgramSettings,
    ) -> Self {
        let mut gateway = Gateway {
            handle,
            clock: Clock::start(),
            router: std::mem::take(&mut deployment.router),
            commands: PendingCommands::with_deferred_writes(),
            servers_named: NameNumbers::default(),
            groups: NameNumbers::default(),
            sessions: Sessions::new(deployment.memory),
            executed_ids: ExecutedIds::new(deployment.memory),
            clients: Clients::default(),
            servers: Servers::default(),
            watch: Watch::new(DiscoveryTimeouts::new(deployment.drain_grace)),
            listener: Some(listener),
            log_steps: steps::is_enabled(),
            diagnosis: Vec::new(),
            due: TimerQueue::default(),
            turns: RoundRobin::default(),
            unread_answers: RoundRobin::default(),
            router_due: 0,
            handover: WriteHolding::new(&deployment, program),
            membership: None,
            consensus: None,
            probing: None,
            controls: Controls::default(),
            last_number: 0,
            ready: false,
            accepts_commands: false,
            stop_deadline: None,
            accept_blocked: false,
            accept_more: false,
            deployment,
        };
        gateway.due.add(gateway.clock.now() + FIRST_LIST_WAIT, Due::Known);
        gateway.ask_discovery();
        gateway
    }

    fn number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Starts to open a connection, closing an idle one first if necessary.
    fn connect(&mut self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let opened = connect(address);
        if !opened.as_ref().is_err_and(is_out_of_descriptors) {
            return opened;
        }
        self.lower_descriptor_limit();
        self.has_free_descriptor(false);
        connect(address)
    }

    /// Registers a socket with the event loop until its token is removed.
    fn watch(
        &self,
        stream: TcpStream,
        callback: impl Fn(&mut Gateway, Readiness) + 'static,
    ) -> std::io::Result<(Rc<TcpStream>, RegistrationToken)> {
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let callback = move |readiness, _: &mut _, gateway: &mut Gateway| {
            callback(gateway, readiness);
            Ok(PostAction::Continue)
        };
        let token = self.handle.insert_source(source, callback);
        Ok((stream, token.map_err(|error| std::io::Error::other(error.error))?))
    }
}

/// Whether a connection failed because the process has reached its limit of descriptors.
fn is_out_of_descriptors(error: &std::io::Error) -> bool {
    error.raw_os_error() == Some(TOO_MANY_OPEN)
}

/// Starts to open a connection; it is writable once it is established.
fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(error) if error.raw_os_error() == Some(IN_PROGRESS) => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}

/// EINPROGRESS on Linux.
const IN_PROGRESS: i32 = 115;
/// EMFILE.
const TOO_MANY_OPEN: i32 = 24;
