//! The event loop, from startup to the last answer after SIGTERM.

use std::path::PathBuf;
use std::time::Duration;

use calloop::EventLoop;
use calloop::signals::{Event, Signal, Signals};
use tansyjunction_settings::ProgramSettings;
use tracing::info;

use crate::gateway::Gateway;
use crate::run::deployment::Deployment;
use crate::run::listener::Listener;

/// Blocks signals until they are handled, so that a SIGHUP during startup does not end the process.
pub fn signals() -> Result<Signals, String> {
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]);
    signals.map_err(|error| format!("signals: {error}"))
}

/// Runs the gateway with the configuration at `path`, or the one named by the environment, and the program's settings.
/// Handles `signals` received before.
pub fn serve(signals: Signals, path: Option<PathBuf>, program: &ProgramSettings) -> Result<(), String> {
    let deployment = Deployment::read(path.as_deref())?;
    let text = |what: &'static str| move |error: calloop::Error| format!("{what}: {error}");
    let mut events: EventLoop<Gateway> = EventLoop::try_new().map_err(text("loop"))?;
    let handle = events.handle();
    let told = move |event: Event, _: &mut _, gateway: &mut Gateway| match event.signal() {
        Signal::SIGHUP => gateway.reload(Deployment::read(path.as_deref())),
        _ => gateway.stop(),
    };
    handle.insert_source(signals, told).map_err(|error| format!("signals: {error}"))?;
    let (name, address) = (deployment.name.clone(), deployment.listen);
    let listener = Listener::open(address, deployment.sockets, handle.clone())
        .map_err(|error| format!("'listen' {address}: {error}"))?;
    let mut gateway = Gateway::new(handle, deployment, listener, program);
    gateway.open_membership(&program.fellows)?;
    gateway.open_consensus(program)?;
    let _control = match &program.control {
        Some(path) => {
            Some(gateway.open_control(path).map_err(|error| format!("{}: {error}", path.display()))?)
        }
        None => None,
    };
    info!(target: "start", "{name} serves on {address}");
    while !gateway.is_finished() {
        let before = gateway.clock.now();
        let wait = Duration::from_micros(gateway.next_due().saturating_sub(before));
        events.dispatch(wait, &mut gateway).map_err(text("loop"))?;
        gateway.run_due(before);
    }
    gateway.end_consensus();
    info!(target: "start", "{name} has stopped");
    Ok(())
}
