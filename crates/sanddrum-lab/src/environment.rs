//! The environments that run a scenario: the same operations on the virtual network, on sockets and on processes.

use crate::fleet::{Addresses, Component, Fleet};
use crate::recorder::{Recording, Role};
use crate::relay::Fault;
use crate::scenario::Scenario;
use sanddrum_edge::{Edge, EdgeOptions, KEYS_FILE};
use sanddrum_emulator::{GroundTruth, Shared};
use sanddrum_net::{Core, HostId, LinkFault, LinkModel, Micros, VirtualNet};
use sanddrum_tls::{INBOUND_FILES, OUTBOUND_FILES};
use std::collections::BTreeMap;
use std::io;

/// The operations that a scenario needs of the environment that runs it.
pub trait Environment {
    fn now(&self) -> Micros;
    fn fleet(&mut self) -> &mut Fleet;
    fn run_until(&mut self, at: Micros) -> io::Result<()>;
    fn kill(&mut self, component: Component);
    /// Starts a process that was killed; workers start cold.
    fn start(&mut self, component: Component) -> io::Result<()>;
    /// Pauses or resumes a process.
    fn freeze(&mut self, component: Component, frozen: bool);
    /// Resets each of the component's connections at the next write, in the middle of the data.
    fn reset_on_next_write(&mut self, component: Component);
    /// Sets or removes a fault of the links between two components.
    fn set_link_fault(
        &mut self,
        from: Component,
        to: Component,
        fault: Option<Fault>,
    ) -> io::Result<()>;
    /// Resets the connections between two components.
    fn break_link(&mut self, from: Component, to: Component) -> io::Result<()>;
    /// Deletes the state that the component saved for its next start.
    fn clear_saved_state(&mut self, component: Component);
    /// Starts the component's graceful shutdown.
    fn shut_down(&mut self, component: Component);
    /// Delivers the changed key set to the edges.
    fn distribute_keys(&mut self) -> io::Result<()>;
    /// Delivers changed certificates and roots to workers and edges, one file after the other.
    fn distribute_certificates(&mut self) -> io::Result<()>;
    /// Whether every call has ended.
    fn is_traffic_finished(&self) -> bool;
    /// The longest time that a message may be in transit in this environment.
    fn slack(&self) -> Micros;
    /// The longest time that the machine may delay a process here. An answer that is late
    /// by less than this doesn't show a fault of the edge.
    fn max_scheduling_delay(&self) -> Micros {
        0
    }
}

/// Creates the edges of a scenario run.
pub type MakeEdge = Box<dyn Fn(EdgeOptions) -> Box<dyn Core>>;

/// Returns a function that creates the real edge.
pub fn product_edge() -> MakeEdge {
    Box::new(|options| Box::new(Edge::new(options)))
}

/// A scenario on the virtual network.
pub struct VirtualEnvironment {
    net: VirtualNet,
    fleet: Fleet,
    hosts: BTreeMap<Component, HostId>,
    make_edge: MakeEdge,
    slack: Micros,
}

/// The start of virtual time; well above zero, because a time of zero means long ago.
const START_TIME: Micros = 1_000_000_000;

impl VirtualEnvironment {
    /// # Errors
    /// The scenario can't be set up.
    pub fn new(
        scenario: Scenario,
        links: LinkModel,
        recording: &Recording,
        make_edge: MakeEdge,
    ) -> io::Result<Self> {
        Self::with_ground_truth(scenario, links, recording, make_edge, None)
    }
    /// Like `new`; the workers also keep their true state in `truth`, for the oracle.
    ///
    /// # Errors
    /// The scenario can't be set up.
    pub fn with_ground_truth(
        scenario: Scenario,
        links: LinkModel,
        recording: &Recording,
        make_edge: MakeEdge,
        truth: Option<Shared<GroundTruth>>,
    ) -> io::Result<Self> {
        let address = |kind: usize, n: usize| format!("10.{kind}.{}.{}:1000", n / 250, n % 250 + 1);
        let addresses = Addresses {
            workers: (0..scenario.workers).map(|n| address(1, n)).collect(),
            edges: (0..scenario.edges).map(|n| address(2, n)).collect(),
            list: address(3, 0),
            store: address(3, 1),
        };
        let slack = 4 * links.cross_zone_latency + 2 * links.retransmit_after;
        let seed = scenario.seed;
        let net = VirtualNet::new(seed, START_TIME, links, Box::new(recording.clone()));
        let mut fleet = Fleet::new(scenario, addresses, recording)?;
        fleet.ground_truth = truth;
        let mut environment = VirtualEnvironment {
            net,
            fleet,
            hosts: BTreeMap::new(),
            make_edge,
            slack,
        };
        let (workers, edges) = (
            environment.fleet.scenario.workers,
            environment.fleet.scenario.edges,
        );
        let all = (0..workers)
            .map(Component::Worker)
            .chain((0..edges).map(Component::Edge));
        for component in [Component::List, Component::Store]
            .into_iter()
            .chain(all)
            .chain([Component::Callers])
        {
            environment.add_host(component, recording)?;
        }
        Ok(environment)
    }
    fn core(&mut self, component: Component, cold: bool) -> io::Result<Box<dyn Core>> {
        let now = self.net.now();
        Ok(match component {
            Component::Worker(n) => self.fleet.worker(n, now, cold)?,
            Component::List => self.fleet.list(now),
            Component::Store => self.fleet.store(),
            Component::Callers => self.fleet.callers(0),
            Component::Edge(n) => {
                let (settings, seed, incarnation) = self.fleet.edge(n).map_err(io::Error::other)?;
                let cached_state = self
                    .hosts
                    .get(&component)
                    .and_then(|host| self.net.saved_state(*host));
                let options = EdgeOptions {
                    settings,
                    seed,
                    cached_state,
                    incarnation,
                    metrics_page: None,
                    platform: None,
                };
                self.fleet.with_tls((self.make_edge)(options))?
            }
        })
    }
    fn add_host(&mut self, component: Component, recording: &Recording) -> io::Result<()> {
        let a = &self.fleet.addresses;
        let (zone, listener) = match component {
            Component::Worker(n) => (self.fleet.scenario.zone_of(n), Some(a.workers[n].clone())),
            Component::Edge(n) => (self.fleet.scenario.zone_of(n), Some(a.edges[n].clone())),
            Component::List => (0, Some(a.list.clone())),
            Component::Store => (0, Some(a.store.clone())),
            Component::Callers => (0, None),
        };
        let role = match component {
            // With TLS, the worker's traffic is recorded inside its TLS layer instead.
            Component::Worker(_) if self.fleet.authority.is_some() => Role::Other,
            Component::Worker(n) => Role::Worker(n),
            Component::List => Role::List,
            Component::Callers => Role::Callers,
            Component::Edge(_) | Component::Store => Role::Other,
        };
        // The recorder must know the role before the first connection.
        recording
            .0
            .borrow_mut()
            .set_role(HostId(self.hosts.len()), role);
        if let (Component::Edge(n), Some(listener)) = (component, &listener) {
            recording
                .0
                .borrow_mut()
                .set_edge_name(listener, &Scenario::edge_name(n));
        }
        let core = self.core(component, false)?;
        let listeners: Vec<&str> = listener.iter().map(String::as_str).collect();
        let host = self.net.add(zone, &listeners, core);
        self.hosts.insert(component, host);
        self.deliver_keys(component);
        Ok(())
    }
    fn deliver_keys(&mut self, component: Component) {
        if let (Component::Edge(_), Some(host), Some(keys)) =
            (component, self.hosts.get(&component), self.fleet.keys())
        {
            self.net.deliver_file(*host, KEYS_FILE, Ok(&keys));
        }
    }
    /// The number of events processed so far.
    pub fn processed_events(&self) -> u64 {
        self.net.processed_events()
    }
}

impl Environment for VirtualEnvironment {
    fn now(&self) -> Micros {
        self.net.now()
    }
    fn fleet(&mut self) -> &mut Fleet {
        &mut self.fleet
    }
    fn run_until(&mut self, at: Micros) -> io::Result<()> {
        self.net.run_until(at);
        Ok(())
    }
    fn kill(&mut self, component: Component) {
        if let (Some(truth), Component::Worker(n)) = (&self.fleet.ground_truth, component) {
            truth
                .borrow_mut()
                .0
                .remove(&sanddrum_wire::stable_id(&Scenario::worker_name(n)));
        }
        if let Some(host) = self.hosts.get(&component) {
            self.net.kill(*host);
        }
    }
    fn start(&mut self, component: Component) -> io::Result<()> {
        let core = self.core(component, true)?;
        if let Some(host) = self.hosts.get(&component) {
            self.net.replace(*host, core);
        }
        self.deliver_keys(component);
        Ok(())
    }
    fn distribute_keys(&mut self) -> io::Result<()> {
        (0..self.fleet.scenario.edges).for_each(|n| self.deliver_keys(Component::Edge(n)));
        Ok(())
    }
    fn distribute_certificates(&mut self) -> io::Result<()> {
        let roots = self.fleet.roots();
        for n in 0..self.fleet.scenario.edges {
            if let Some(host) = self.hosts.get(&Component::Edge(n)) {
                self.net.deliver_file(*host, OUTBOUND_FILES[0], Ok(&roots));
            }
        }
        for n in 0..self.fleet.scenario.workers {
            let (chain, key) = self
                .fleet
                .worker_tls_material(n)?
                .certified_key
                .unwrap_or_default();
            if let Some(host) = self.hosts.get(&Component::Worker(n)) {
                self.net.deliver_file(*host, INBOUND_FILES[1], Ok(&chain));
                self.net.deliver_file(*host, INBOUND_FILES[2], Ok(&key));
            }
        }
        Ok(())
    }
    fn set_link_fault(
        &mut self,
        from: Component,
        to: Component,
        fault: Option<Fault>,
    ) -> io::Result<()> {
        let (Some(from), Some(to)) = (self.hosts.get(&from), self.hosts.get(&to)) else {
            return Ok(());
        };
        let (forward, backward) = match fault {
            None => (None, None),
            Some(Fault::Delay(delay)) => {
                let both = Some(LinkFault {
                    delay,
                    ..LinkFault::default()
                });
                (both, both)
            }
            Some(Fault::Slow(per_s)) => {
                let both = Some(LinkFault {
                    bytes_per_second: per_s,
                    ..LinkFault::default()
                });
                (both, both)
            }
            Some(Fault::SilentTo) => (
                Some(LinkFault {
                    holds_data: true,
                    ..LinkFault::default()
                }),
                None,
            ),
            Some(Fault::SilentFrom) => (
                None,
                Some(LinkFault {
                    holds_data: true,
                    ..LinkFault::default()
                }),
            ),
            Some(Fault::Unanswered) => {
                let both = Some(LinkFault {
                    holds_data: true,
                    ..LinkFault::default()
                });
                (both, both)
            }
            Some(Fault::Refused) => (
                Some(LinkFault {
                    refuses_connections: true,
                    ..LinkFault::default()
                }),
                None,
            ),
        };
        let (from, to) = (*from, *to);
        if fault == Some(Fault::Refused) {
            self.net.reset_between(from, to);
        }
        self.net.set_link_fault(from, to, forward);
        self.net.set_link_fault(to, from, backward);
        Ok(())
    }
    fn break_link(&mut self, from: Component, to: Component) -> io::Result<()> {
        if let (Some(from), Some(to)) = (self.hosts.get(&from), self.hosts.get(&to)) {
            self.net.reset_between(*from, *to);
        }
        Ok(())
    }
    fn clear_saved_state(&mut self, component: Component) {
        if let Some(host) = self.hosts.get(&component) {
            self.net.clear_saved_state(*host);
        }
    }
    fn shut_down(&mut self, component: Component) {
        if let Some(host) = self.hosts.get(&component) {
            self.net.shut_down(*host);
        }
    }
    fn freeze(&mut self, component: Component, frozen: bool) {
        if let Some(host) = self.hosts.get(&component) {
            self.net.freeze(*host, frozen);
        }
    }
    fn reset_on_next_write(&mut self, component: Component) {
        if let Some(host) = self.hosts.get(&component) {
            self.net.reset_on_next_write(*host);
        }
    }
    fn is_traffic_finished(&self) -> bool {
        self.hosts
            .get(&Component::Callers)
            .is_none_or(|host| self.net.is_core_done(*host))
    }
    fn slack(&self) -> Micros {
        self.slack
    }
}
