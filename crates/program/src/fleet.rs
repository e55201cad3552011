//! The fleet of sidecars, if `[fleet]` of the operator's file turns it on: its start, and its
//! statistics for the console and the metrics.

use crate::operator::FleetConfig;
use async_io::Timer;
use cottonpoint_mesh::seal::Refusal;
use cottonpoint_mesh::{Command, Handle, Mesh, Settings, Stats, member_id};
use cottonpoint_peers::{Counts, MemberState, PartitionStatus};
use serde_json::{Map, Value, json};
use std::cell::{Cell, OnceCell, RefCell};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::time::Duration;

/// Interval between attempts to bind an address that another process holds: an older version beside
/// this one holds it for seconds, and the other members learn meanwhile that it has left.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// This process as a member of its fleet. Its address may still be held by an older version of the
/// sidecar beside it, which is the member until it ends: two processes of one name would contradict
/// each other.
pub struct Membership {
    listen: SocketAddrV4,
    settings: Settings,
    mesh: RefCell<Option<Mesh>>,
    /// Set once the mesh has started.
    handle: OnceCell<Handle>,
    /// Whether the last command was to leave.
    leave_requested: Cell<bool>,
}

impl Membership {
    /// Starts the membership, if it is on. `name` is the configuration's, for a table that has
    /// none. An address that another process holds is not an error: clients are served, and the
    /// address is tried again.
    pub fn start(fleet: &FleetConfig, name: &str) -> Result<Option<Membership>, String> {
        let Some(listen) = fleet.listen else { return Ok(None) };
        let name = fleet.name_or(name)?;
        let peers = cottonpoint_peers::Settings {
            me: member_id(&name),
            name,
            address: fleet.advertise.unwrap_or(listen),
            seeds: fleet.seeds.clone(),
            incarnation: 1,
            boot: fastrand::u64(..),
            period: Duration::from_millis(fleet.period_ms),
            seed: fastrand::u64(..),
        };
        let (cluster, keys) = (fleet.cluster.clone(), fleet.loaded_keys.clone());
        let settings = Settings { peers, cluster, keys, workers: fleet.workers };
        let (mesh, handle, leave_requested) = Default::default();
        let membership = Membership { listen, settings, mesh, handle, leave_requested };
        match membership.bind_and_start() {
            Err(e) if e.kind() == ErrorKind::AddrInUse => {
                tracing::warn!(%listen, "the fleet's address is held by another process; waiting for it");
            }
            Err(e) => return Err(format!("cannot bind the fleet's address {listen}: {e}")),
            Ok(()) => {}
        }
        Ok(Some(membership))
    }

    fn bind_and_start(&self) -> io::Result<()> {
        let socket = UdpSocket::bind(self.listen)?;
        let bound = socket.local_addr()?;
        let mut settings = self.settings.clone();
        // For port 0 the system has chosen one.
        if let (SocketAddr::V4(bound), 0) = (bound, settings.peers.address.port()) {
            settings.peers.address.set_port(bound.port());
        }
        let (advertise, member) = (settings.peers.address, settings.peers.name.clone());
        let mesh = Mesh::start(socket, settings)?;
        let _ = self.handle.set(mesh.handle());
        self.mesh.replace(Some(mesh));
        tracing::info!(listen = %bound, %advertise, member, "the fleet listens");
        Ok(())
    }

    /// Tries to bind the address until that succeeds, except while the last command is to leave.
    pub async fn join_when_address_is_free(&self) {
        while self.handle.get().is_none() {
            Timer::after(BIND_RETRY_INTERVAL).await;
            if !self.leave_requested.get() {
                let _ = self
                    .bind_and_start()
                    .inspect_err(|e| tracing::debug!(%e, "cannot bind the fleet's address"));
            }
        }
    }

    /// The handle to read the fleet's state and to send it commands, once it has started.
    pub fn handle(&self) -> Option<&Handle> {
        self.handle.get()
    }

    /// Leaves the fleet, or joins it again.
    pub fn send_command(&self, command: Command) {
        self.leave_requested.set(command == Command::Leave);
        self.handle.get().into_iter().for_each(|handle| handle.send_command(command));
    }

    /// Stops the workers and waits for them; none of them blocks for long.
    pub fn shut_down(&self) {
        drop(self.mesh.take());
    }
}

fn standing_label(standing: MemberState) -> &'static str {
    match standing {
        MemberState::Reachable => "reachable",
        MemberState::Suspected => "suspected",
        MemberState::Dead => "last-known",
        MemberState::Left => "left",
    }
}

fn part_label(part: PartitionStatus) -> &'static str {
    match part {
        PartitionStatus::Alone => "alone",
        PartitionStatus::Whole => "whole",
        PartitionStatus::Majority => "larger",
        PartitionStatus::Minority => "smaller",
    }
}

/// The answer to `PEERS`: the membership view, and the counters of the mesh and of the protocol.
pub fn statistics(fleet: &Handle) -> Value {
    let (snapshot, now) = (fleet.snapshot(), fleet.now());
    let view = &snapshot.view;
    let hex = |n: u64| format!("{n:016x}");
    let members: Vec<Value> = view
        .members
        .iter()
        .map(|member| {
            let update = &member.update;
            json!({
                "name": update.name,
                "id": hex(update.id.0),
                "address": update.address.to_string(),
                "incarnation": update.incarnation,
                "boot": hex(update.boot),
                "standing": standing_label(update.state),
                "since_ms": u64::try_from(now.since(member.since).as_millis()).unwrap_or(u64::MAX),
            })
        })
        .collect();
    let me = view.members.iter().find(|member| member.update.id == view.me);
    json!({
        "me": hex(view.me.0),
        "name": me.map(|me| me.update.name.as_str()),
        "incarnation": view.incarnation,
        "part": part_label(view.partition),
        "unwell": view.local_health,
        "version": view.version,
        "members": members,
        "counts": counts(&fleet.stats(), &snapshot.counts),
    })
}

fn counts(mesh: &Stats, protocol: &Counts) -> Value {
    let refused: Map<String, Value> =
        Refusal::ALL.iter().zip(mesh.refused).map(|(why, n)| (why.label().to_owned(), n.into())).collect();
    json!({
        "datagrams_in": mesh.received,
        "datagrams_out": mesh.sent,
        "refused": refused,
        "receive_failed": mesh.receive_failed,
        "send_failed": mesh.send_failed,
        "too_long_to_send": mesh.too_long,
        "commands_dropped": mesh.commands_dropped,
        "worker_panics": mesh.panics,
        "pings": protocol.pings,
        "acks": protocol.acks,
        "nacks": protocol.nacks,
        "helped": protocol.indirect_pings,
        "knocks": protocol.extra_pings,
        "suspicions": protocol.suspicions,
        "deaths": protocol.deaths,
        "refutations": protocol.refutations,
        "namesakes": protocol.name_conflicts,
        "syncs": protocol.syncs_requested,
        "given": protocol.syncs_answered,
        "withheld": protocol.requests_declined,
        "full": protocol.dropped_table_full,
        "forgotten": protocol.members_removed,
        "bad": protocol.malformed,
        "absurd": protocol.implausible_incarnations,
        "late": protocol.late_wakes,
    })
}

/// Values for the metrics: members by standing, and datagrams by result.
pub fn metric_values(fleet: &Handle) -> [Vec<(&'static str, u64)>; 2] {
    let (snapshot, mesh) = (fleet.snapshot(), fleet.stats());
    let count = |of| snapshot.view.members.iter().filter(|member| member.update.state == of).count();
    let standings = [MemberState::Reachable, MemberState::Suspected, MemberState::Dead, MemberState::Left];
    let members = standings.iter().map(|&of| (standing_label(of), count(of) as u64)).collect();
    let mut datagrams = vec![
        ("taken", mesh.received),
        ("sent", mesh.sent),
        ("receive_failed", mesh.receive_failed),
        ("send_failed", mesh.send_failed),
    ];
    datagrams.extend(Refusal::ALL.iter().map(|why| why.label()).zip(mesh.refused));
    [members, datagrams]
}
