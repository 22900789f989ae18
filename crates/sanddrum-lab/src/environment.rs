//! Where a scenario is played: the same acts on the virtual network and on sockets.

use crate::fleet::{Addresses, Fleet, Who};
use crate::recorder::{Recording, Role};
use crate::relay::Fault;
use crate::scenario::Scenario;
use sanddrum_edge::{Edge, EdgeOptions, KEYS_FILE};
use sanddrum_emulator::{GroundTruth, Shared};
use sanddrum_net::{Core, HostId, LinkFault, LinkModel, Micros, VirtualNet};
use sanddrum_tls::{INBOUND_FILES, OUTBOUND_FILES};
use std::collections::BTreeMap;
use std::io;

pub trait Environment {
    fn now(&self) -> Micros;
    fn fleet(&mut self) -> &mut Fleet;
    fn run_until(&mut self, at: Micros) -> io::Result<()>;
    fn kill(&mut self, who: Who);
    /// Starts what was killed; workers come back cold.
    fn start(&mut self, who: Who) -> io::Result<()>;
    fn freeze(&mut self, who: Who, frozen: bool);
    fn reset_on_next_write(&mut self, who: Who);
    /// Something is wrong with the links of one to another, or no more.
    fn set_link_fault(&mut self, from: Who, to: Who, fault: Option<Fault>) -> io::Result<()>;
    /// The connections of one to another break.
    fn break_link(&mut self, from: Who, to: Who) -> io::Result<()>;
    /// What it kept for its next start is lost.
    fn clear_saved_state(&mut self, who: Who);
    /// It is asked to end in order.
    fn shut_down(&mut self, who: Who);
    /// The key set has changed: edges get it.
    fn distribute_keys(&mut self) -> io::Result<()>;
    /// Certificates or roots have changed: workers and edges get them, one file after the other.
    fn distribute_certificates(&mut self) -> io::Result<()>;
    /// Every call has ended.
    fn is_traffic_finished(&self) -> bool;
    /// The longest that a message is on its way here.
    fn slack(&self) -> Micros;
    /// For how long the machine may hold a process up here: what a client waited for less long tells nothing.
    fn max_scheduling_delay(&self) -> Micros {
        0
    }
}

/// Makes the edge that a scenario is played with.
pub type MakeEdge = Box<dyn Fn(EdgeOptions) -> Box<dyn Core>>;

/// The product's edge.
pub fn product_edge() -> MakeEdge {
    Box::new(|start| Box::new(Edge::new(start)))
}

pub struct VirtualEnvironment {
    net: VirtualNet,
    fleet: Fleet,
    hosts: BTreeMap<Who, HostId>,
    make_edge: MakeEdge,
    slack: Micros,
}

/// Virtual time starts here, well after nought, which stands for long ago.
const BEGIN: Micros = 1_000_000_000;

impl VirtualEnvironment {
    pub fn new(
        scenario: Scenario,
        links: LinkModel,
        recording: &Recording,
        make_edge: MakeEdge,
    ) -> io::Result<Self> {
        Self::with_ground_truth(scenario, links, recording, make_edge, None)
    }
    /// The same with somebody who sees what is true of the workers.
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
        let net = VirtualNet::new(seed, BEGIN, links, Box::new(recording.clone()));
        let mut fleet = Fleet::new(scenario, addresses, recording)?;
        fleet.truth = truth;
        let mut stage = VirtualEnvironment {
            net,
            fleet,
            hosts: BTreeMap::new(),
            make_edge,
            slack,
        };
        let (workers, edges) = (stage.fleet.scenario.workers, stage.fleet.scenario.edges);
        let all = (0..workers)
            .map(Who::Worker)
            .chain((0..edges).map(Who::Edge));
        for who in [Who::List, Who::Store]
            .into_iter()
            .chain(all)
            .chain([Who::Callers])
        {
            stage.set_up(who, recording)?;
        }
        Ok(stage)
    }
    fn core(&mut self, who: Who, cold: bool) -> io::Result<Box<dyn Core>> {
        let now = self.net.now();
        Ok(match who {
            Who::Worker(n) => self.fleet.worker(n, now, cold)?,
            Who::List => self.fleet.list(now),
            Who::Store => self.fleet.store(),
            Who::Callers => self.fleet.callers(0),
            Who::Edge(n) => {
                let (settings, seed, incarnation) = self.fleet.edge(n).map_err(io::Error::other)?;
                let kept = self
                    .hosts
                    .get(&who)
                    .and_then(|host| self.net.saved_state(*host));
                let start = EdgeOptions {
                    settings,
                    seed,
                    cached_state: kept,
                    incarnation,
                    metrics_page: None,
                    platform: None,
                };
                self.fleet.with_tls((self.make_edge)(start))?
            }
        })
    }
    fn set_up(&mut self, who: Who, recording: &Recording) -> io::Result<()> {
        let a = &self.fleet.addresses;
        let (zone, door) = match who {
            Who::Worker(n) => (self.fleet.scenario.zone_of(n), Some(a.workers[n].clone())),
            Who::Edge(n) => (self.fleet.scenario.zone_of(n), Some(a.edges[n].clone())),
            Who::List => (0, Some(a.list.clone())),
            Who::Store => (0, Some(a.store.clone())),
            Who::Callers => (0, None),
        };
        let role = match who {
            // Under TLS it is recorded within.
            Who::Worker(_) if self.fleet.authority.is_some() => Role::Other,
            Who::Worker(n) => Role::Worker(n),
            Who::List => Role::List,
            Who::Callers => Role::Callers,
            Who::Edge(_) | Who::Store => Role::Other,
        };
        // The role must be known before its first connection.
        recording
            .0
            .borrow_mut()
            .role(HostId(self.hosts.len()), role);
        if let (Who::Edge(n), Some(door)) = (who, &door) {
            recording.0.borrow_mut().edge(door, &Scenario::edge_name(n));
        }
        let core = self.core(who, false)?;
        let doors: Vec<&str> = door.iter().map(String::as_str).collect();
        let host = self.net.add(zone, &doors, core);
        self.hosts.insert(who, host);
        self.give_keys(who);
        Ok(())
    }
    fn give_keys(&mut self, who: Who) {
        if let (Who::Edge(_), Some(host), Some(keys)) =
            (who, self.hosts.get(&who), self.fleet.keys())
        {
            self.net.deliver_file(*host, KEYS_FILE, Ok(&keys));
        }
    }
    /// Events carried out so far.
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
    fn kill(&mut self, who: Who) {
        if let (Some(truth), Who::Worker(n)) = (&self.fleet.truth, who) {
            truth
                .borrow_mut()
                .0
                .remove(&sanddrum_wire::stable_id(&Scenario::worker_name(n)));
        }
        if let Some(host) = self.hosts.get(&who) {
            self.net.kill(*host);
        }
    }
    fn start(&mut self, who: Who) -> io::Result<()> {
        let core = self.core(who, true)?;
        if let Some(host) = self.hosts.get(&who) {
            self.net.replace(*host, core);
        }
        self.give_keys(who);
        Ok(())
    }
    fn distribute_keys(&mut self) -> io::Result<()> {
        (0..self.fleet.scenario.edges).for_each(|n| self.give_keys(Who::Edge(n)));
        Ok(())
    }
    fn distribute_certificates(&mut self) -> io::Result<()> {
        let roots = self.fleet.roots();
        for n in 0..self.fleet.scenario.edges {
            if let Some(host) = self.hosts.get(&Who::Edge(n)) {
                self.net.deliver_file(*host, OUTBOUND_FILES[0], Ok(&roots));
            }
        }
        for n in 0..self.fleet.scenario.workers {
            let (chain, key) = self
                .fleet
                .worker_tls_material(n)?
                .certified_key
                .unwrap_or_default();
            if let Some(host) = self.hosts.get(&Who::Worker(n)) {
                self.net.deliver_file(*host, INBOUND_FILES[1], Ok(&chain));
                self.net.deliver_file(*host, INBOUND_FILES[2], Ok(&key));
            }
        }
        Ok(())
    }
    fn set_link_fault(&mut self, from: Who, to: Who, fault: Option<Fault>) -> io::Result<()> {
        let (Some(from), Some(to)) = (self.hosts.get(&from), self.hosts.get(&to)) else {
            return Ok(());
        };
        let (there, back) = match fault {
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
        self.net.set_link_fault(from, to, there);
        self.net.set_link_fault(to, from, back);
        Ok(())
    }
    fn break_link(&mut self, from: Who, to: Who) -> io::Result<()> {
        if let (Some(from), Some(to)) = (self.hosts.get(&from), self.hosts.get(&to)) {
            self.net.reset_between(*from, *to);
        }
        Ok(())
    }
    fn clear_saved_state(&mut self, who: Who) {
        if let Some(host) = self.hosts.get(&who) {
            self.net.clear_saved_state(*host);
        }
    }
    fn shut_down(&mut self, who: Who) {
        if let Some(host) = self.hosts.get(&who) {
            self.net.shut_down(*host);
        }
    }
    fn freeze(&mut self, who: Who, frozen: bool) {
        if let Some(host) = self.hosts.get(&who) {
            self.net.freeze(*host, frozen);
        }
    }
    fn reset_on_next_write(&mut self, who: Who) {
        if let Some(host) = self.hosts.get(&who) {
            self.net.reset_on_next_write(*host);
        }
    }
    fn is_traffic_finished(&self) -> bool {
        self.hosts
            .get(&Who::Callers)
            .is_none_or(|host| self.net.is_core_done(*host))
    }
    fn slack(&self) -> Micros {
        self.slack
    }
}
