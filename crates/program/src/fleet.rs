//! The fleet of sidecars, where `[fleet]` of the operator's file says so: its start, and its figures for the console
//! and the metrics.

use crate::operator::Fleet;
use async_io::Timer;
use cottonpoint_mesh::seal::Refusal;
use cottonpoint_mesh::{Command, Handle, Mesh, Settings, Stats, member_id};
use cottonpoint_peers::{Counts, MemberState, PartitionStatus};
use serde_json::{Map, Value, json};
use std::cell::{Cell, OnceCell, RefCell};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::time::Duration;

/// How often a process asks again for an address that another one holds: an older version beside it holds it for
/// seconds, and the others have its goodbye meanwhile.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// This process in its fleet. Its address may still be held by an older version of the sidecar beside it, which is
/// the member until it ends: two processes of one name would contradict each other.
pub struct Membership {
    listen: SocketAddrV4,
    settings: Settings,
    mesh: RefCell<Option<Mesh>>,
    /// Where the mesh has started.
    handle: OnceCell<Handle>,
    /// Whether the last word was to leave.
    left: Cell<bool>,
}

impl Membership {
    /// Starts it, if it is on. `name` is the configuration's, for a fleet that names none. An address that another
    /// process holds is no failure: the clients are served, and the fleet waits.
    pub fn start(fleet: &Fleet, name: &str) -> Result<Option<Membership>, String> {
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
        let (cluster, keys) = (fleet.cluster.clone(), fleet.read.clone());
        let settings = Settings { peers, cluster, keys, workers: fleet.workers };
        let (mesh, handle, left) = Default::default();
        let membership = Membership { listen, settings, mesh, handle, left };
        match membership.open() {
            Err(e) if e.kind() == ErrorKind::AddrInUse => {
                tracing::warn!(%listen, "the fleet's address is held by another process: this one waits for it");
            }
            Err(e) => return Err(format!("the fleet cannot listen on {listen}: {e}")),
            Ok(()) => {}
        }
        Ok(Some(membership))
    }

    fn open(&self) -> io::Result<()> {
        let socket = UdpSocket::bind(self.listen)?;
        let bound = socket.local_addr()?;
        let mut settings = self.settings.clone();
        // With port 0 the system has drawn one.
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

    /// Asks for the address until it is free; not while it is to be left.
    pub async fn wait_for_address(&self) {
        while self.handle.get().is_none() {
            Timer::after(ASK_AGAIN).await;
            if !self.left.get() {
                let _ = self.open().inspect_err(|e| tracing::debug!(%e, "the fleet cannot listen"));
            }
        }
    }

    /// What reads the fleet and talks to it, once it has started.
    pub fn handle(&self) -> Option<&Handle> {
        self.handle.get()
    }

    /// Leaves, or is a member again.
    pub fn tell(&self, command: Command) {
        self.left.set(command == Command::Leave);
        self.handle.get().into_iter().for_each(|handle| handle.send_command(command));
    }

    /// Ends the workers, and waits for them: they are never long in anything.
    pub fn end(&self) {
        drop(self.mesh.take());
    }
}

fn standing(standing: MemberState) -> &'static str {
    match standing {
        MemberState::Reachable => "reachable",
        MemberState::Suspected => "suspected",
        MemberState::Dead => "last-known",
        MemberState::Left => "left",
    }
}

fn part(part: PartitionStatus) -> &'static str {
    match part {
        PartitionStatus::Alone => "alone",
        PartitionStatus::Whole => "whole",
        PartitionStatus::Majority => "larger",
        PartitionStatus::Minority => "smaller",
    }
}

/// What `PEERS` answers: the view, and what shell and plane have counted.
pub fn figures(fleet: &Handle) -> Value {
    let (snapshot, now) = (fleet.snapshot(), fleet.now());
    let view = &snapshot.view;
    let id = |n: u64| format!("{n:016x}");
    let members: Vec<Value> = view
        .members
        .iter()
        .map(|member| {
            let update = &member.update;
            json!({
                "name": update.name,
                "id": id(update.id.0),
                "address": update.address.to_string(),
                "incarnation": update.incarnation,
                "boot": id(update.boot),
                "standing": standing(update.state),
                "since_ms": u64::try_from(now.since(member.since).as_millis()).unwrap_or(u64::MAX),
            })
        })
        .collect();
    let me = view.members.iter().find(|member| member.update.id == view.me);
    json!({
        "me": id(view.me.0),
        "name": me.map(|me| me.update.name.as_str()),
        "incarnation": view.incarnation,
        "part": part(view.partition),
        "unwell": view.local_health,
        "version": view.version,
        "members": members,
        "counts": counts(&fleet.stats(), &snapshot.counts),
    })
}

fn counts(shell: &Stats, plane: &Counts) -> Value {
    let refused: Map<String, Value> =
        Refusal::ALL.iter().zip(shell.refused).map(|(why, n)| (why.label().to_owned(), n.into())).collect();
    json!({
        "datagrams_in": shell.received,
        "datagrams_out": shell.sent,
        "refused": refused,
        "receive_failed": shell.receive_failed,
        "send_failed": shell.send_failed,
        "too_long_to_send": shell.too_long,
        "commands_dropped": shell.commands_dropped,
        "worker_panics": shell.panics,
        "pings": plane.pings,
        "acks": plane.acks,
        "nacks": plane.nacks,
        "helped": plane.indirect_pings,
        "knocks": plane.extra_pings,
        "suspicions": plane.suspicions,
        "deaths": plane.deaths,
        "refutations": plane.refutations,
        "namesakes": plane.name_conflicts,
        "syncs": plane.syncs_requested,
        "given": plane.syncs_answered,
        "withheld": plane.requests_declined,
        "full": plane.dropped_table_full,
        "forgotten": plane.members_removed,
        "bad": plane.malformed,
        "absurd": plane.implausible_incarnations,
        "late": plane.late_wakes,
    })
}

/// For the metrics: members by standing, and datagrams by what became of them.
pub fn counted(fleet: &Handle) -> [Vec<(&'static str, u64)>; 2] {
    let (snapshot, shell) = (fleet.snapshot(), fleet.stats());
    let held = |of| snapshot.view.members.iter().filter(|member| member.update.state == of).count();
    let all = [MemberState::Reachable, MemberState::Suspected, MemberState::Dead, MemberState::Left];
    let members = all.iter().map(|&of| (standing(of), held(of) as u64)).collect();
    let mut datagrams = vec![
        ("taken", shell.received),
        ("sent", shell.sent),
        ("receive_failed", shell.receive_failed),
        ("send_failed", shell.send_failed),
    ];
    datagrams.extend(Refusal::ALL.iter().map(|why| why.label()).zip(shell.refused));
    [members, datagrams]
}
