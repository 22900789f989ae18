//! Resources that a fleet of processes needs from the machine: reserved ports, and enough open files.

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// A loopback port that the system chose and that stays reserved until this is dropped. While nobody listens on it,
/// connections are refused, but no other process can get the port.
pub(crate) struct ReservedPort {
    guard: Socket,
    pub address: SocketAddr,
}

impl ReservedPort {
    pub fn new() -> io::Result<Self> {
        let guard = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        guard.set_reuse_port(true)?;
        guard.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = guard
            .local_addr()?
            .as_socket()
            .ok_or_else(|| io::Error::other("the reserved port has no IP address"))?;
        Ok(ReservedPort { guard, address })
    }
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_port(self.guard.reuse_port()?)?;
        socket.bind(&self.address.into())?;
        socket.listen(1024)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    }
}

/// File descriptors that this process needs: two for each link that may be connected, and those of the clients.
pub(crate) fn required_descriptors(workers: usize, edges: usize) -> u64 {
    (2 * CONNECTIONS_PER_LINK * edges * workers
        + 2 * (edges + workers) * CONNECTIONS_PER_LINK
        + CLIENT_CONNECTIONS_PER_EDGE * edges
        + 1000) as u64
}

/// Expected connections from one process to another.
const CONNECTIONS_PER_LINK: usize = 1;
/// Expected client connections to each edge.
const CLIENT_CONNECTIONS_PER_EDGE: usize = 16;

/// Raises the open file limit if it is lower than wanted.
///
/// # Errors
/// It can't be raised: a run would then show the limits of the machine rather than those of the program.
pub(crate) fn raise_file_limit(wanted: u64) -> io::Result<()> {
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|current| current >= wanted) {
        return Ok(());
    }
    let maximum = limit.maximum.map(|maximum| maximum.max(wanted));
    setrlimit(
        Resource::Nofile,
        Rlimit {
            current: Some(wanted),
            maximum,
        },
    )
    .map_err(|e| {
        let allowed = limit.maximum.unwrap_or_default();
        let what = "the open file limit of this machine is too low";
        io::Error::other(format!(
            "{what}: {wanted} needed, {allowed} allowed ({e}); use fewer edges or workers"
        ))
    })
}

/// Whether more than nine tenths of the open file limit are in use.
pub(crate) fn is_near_file_limit() -> bool {
    let open = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count) as u64;
    open * 10 > getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX) * 9
}
