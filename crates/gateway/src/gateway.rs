//! The middle of the gateway: what is read becomes calls on the router, and its answers become messages. Nothing is
//! decided here. All state hangs on [`Gateway`], which the loop hands to every callback.

mod clients;
mod commands;
mod company;
mod control;
mod council;
mod discovery;
mod due;
mod holds;
mod scout;
mod servers;
mod steps;

use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use tansyjunction::Router;
use tansyjunction::interface::*;
use tansyjunction_hosting::{NameNumbers, PendingCommands, TimerQueue};
use tansyjunction_settings::Program;

use self::company::Company;
use self::control::Controls;
use self::council::Agreeing;
use self::discovery::Watch;
use self::due::LIST_COMES;
use self::holds::Holds;
use self::scout::Scouting;
use crate::memory::clients::Clients;
use crate::memory::servers::Servers;
use crate::memory::sessions::Sessions;
use crate::memory::turns::Turns;
use crate::run::clock::Clock;
use crate::run::deployment::Deployment;
use crate::run::listener::Listener;

/// What falls due beside commands.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Client(u64),
    Line(u64),
    Control(u64),
    Council,
    Discovery,
    Known,
    Listener,
}

pub struct Gateway {
    handle: LoopHandle<'static, Gateway>,
    pub clock: Clock,
    deployment: Deployment,
    router: Router,
    commands: PendingCommands,
    servers_named: NameNumbers,
    groups: NameNumbers,
    sessions: Sessions,
    clients: Clients,
    servers: Servers,
    watch: Watch,
    listener: Option<Listener>,
    /// Each step of each command is logged, and what members lacked for the one asked about last.
    steps: bool,
    lacking: Vec<MemberDiagnosis>,
    due: TimerQueue<Due>,
    /// Clients whose next message may be taken.
    resume: Turns,
    /// When the router is to be asked what is due.
    router_due: Micros,
    /// What is held while a primary is replaced; None: nothing is.
    holds: Option<Holds>,
    /// The other gateways; None: they are not minded.
    company: Option<Company>,
    /// What all gateways agree on; None: nothing is.
    agreeing: Option<Agreeing>,
    /// Which probes another gateway sends for all; None: each sends its own.
    scouting: Option<Scouting>,
    controls: Controls,
    /// Numbers for connections and commands; none is used twice.
    last: u64,
    /// A list has come: empty queries are answered.
    ready: bool,
    /// Commands are taken, be it without a list.
    takes: bool,
    /// Until when all that is taken must be answered, once SIGTERM has come.
    stops: Option<Micros>,
    /// The listen queue was left as it was for want of a descriptor.
    queue_waits: bool,
    /// The same because the others have their turn.
    queue_more: bool,
}

impl Gateway {
    pub fn new(
        handle: LoopHandle<'static, Gateway>,
        mut deployment: Deployment,
        listener: Listener,
        program: &Program,
    ) -> Self {
        let mut gateway = Gateway {
            handle,
            clock: Clock::start(),
            router: std::mem::take(&mut deployment.router),
            commands: PendingCommands::with_deferred_writes(),
            servers_named: NameNumbers::default(),
            groups: NameNumbers::default(),
            sessions: Sessions::default(),
            clients: Clients::default(),
            servers: Servers::default(),
            watch: Watch::default(),
            listener: Some(listener),
            steps: steps::wanted(),
            lacking: Vec::new(),
            due: TimerQueue::default(),
            resume: Turns::default(),
            router_due: 0,
            holds: Holds::new(&deployment, program),
            company: None,
            agreeing: None,
            scouting: None,
            controls: Controls::default(),
            last: 0,
            ready: false,
            takes: false,
            stops: None,
            queue_waits: false,
            queue_more: false,
            deployment,
        };
        gateway.due.add(gateway.clock.now() + LIST_COMES, Due::Known);
        gateway.ask_discovery();
        gateway
    }

    fn number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Starts to open a connection, for which another one makes way if it has to.
    fn connect(&mut self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let opened = connect(address);
        if !opened.as_ref().is_err_and(is_no_descriptor) {
            return opened;
        }
        self.found_fewer();
        self.room_for_one(false);
        connect(address)
    }

    /// Has the loop call back when something happens on a socket, until its token is removed.
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

/// Whether a connection could not be had since this process holds as many descriptors as the machine grants
/// it.
fn is_no_descriptor(error: &std::io::Error) -> bool {
    error.raw_os_error() == Some(TOO_MANY_OPEN)
}

/// Starts to open a connection; it is writable once it is there.
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
