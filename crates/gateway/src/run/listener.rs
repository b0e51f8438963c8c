//! Listener for clients.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};

use crate::gateway::Gateway;

/// The listening socket, registered with the event loop; closed on drop.
pub struct Listener {
    listener: Rc<TcpListener>,
    handle: LoopHandle<'static, Gateway>,
    token: RegistrationToken,
}

impl Listener {
    /// Binds and registers the socket, with a queue of up to `backlog` connections.
    pub fn open(
        address: SocketAddr,
        backlog: usize,
        handle: LoopHandle<'static, Gateway>,
    ) -> std::io::Result<Self> {
        let listener = Rc::new(listen(address, backlog)?);
        // Edge-triggered: a queue that cannot be emptied for lack of descriptors must not cause a busy loop.
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Edge);
        let accept = |_, _: &mut _, gateway: &mut Gateway| {
            gateway.accept();
            Ok(PostAction::Continue)
        };
        let token =
            handle.insert_source(source, accept).map_err(|error| std::io::Error::other(error.error))?;
        Ok(Listener { listener, handle, token })
    }

    /// The next connection in the listen queue. `Err`: there may be more, which cannot be accepted now.
    pub fn next(&self) -> std::io::Result<Option<TcpStream>> {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_ok() {
                        return Ok(Some(stream));
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// Listens without blocking. A connection that finds the queue full is tried again by its client after a second.
fn listen(address: SocketAddr, backlog: usize) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    Ok(socket.into())
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}
