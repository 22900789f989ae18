//! What a fleet of processes needs of the machine: ports that stay its own, and open files.

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// A port chosen by the system and kept for as long as this lives, also while nobody listens there: connections are
/// then refused, and no other process gets it.
pub(crate) struct Port {
    guard: Socket,
    pub at: SocketAddr,
}

impl Port {
    pub fn new() -> io::Result<Self> {
        let guard = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        guard.set_reuse_port(true)?;
        guard.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let at = guard
            .local_addr()?
            .as_socket()
            .ok_or_else(|| io::Error::other("no address"))?;
        Ok(Port { guard, at })
    }
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_port(self.guard.reuse_port()?)?;
        socket.bind(&self.at.into())?;
        socket.listen(1024)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    }
}

/// Descriptors that this process needs: two for each link that may be up, and what the callers have open.
pub(crate) fn descriptors(workers: usize, edges: usize) -> u64 {
    (2 * LINKS * edges * workers + 2 * (edges + workers) * LINKS + CALLERS * edges + 1000) as u64
}

/// Connections from one process to another that are counted with, and callers' to one edge.
const LINKS: usize = 1;
const CALLERS: usize = 16;

/// Raises the limit of open files where it is too low.
///
/// # Errors
/// It can't be raised: the machine is the limit, and a run would tell of that and not of the program.
pub(crate) fn make_room(wanted: u64) -> io::Result<()> {
    let now = getrlimit(Resource::Nofile);
    if now.current.is_none_or(|current| current >= wanted) {
        return Ok(());
    }
    let maximum = now.maximum.map(|maximum| maximum.max(wanted));
    setrlimit(
        Resource::Nofile,
        Rlimit {
            current: Some(wanted),
            maximum,
        },
    )
    .map_err(|e| {
        let allowed = now.maximum.unwrap_or_default();
        let what = "the machine is the limit: open files";
        io::Error::other(format!(
            "{what}: {wanted} are needed, {allowed} allowed ({e}); take fewer edges or workers"
        ))
    })
}

/// Whether over nine tenths of the open files that are allowed are in use.
pub(crate) fn is_short_of_files() -> bool {
    let open = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count) as u64;
    open * 10 > getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX) * 9
}
