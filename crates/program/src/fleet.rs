//! The fleet of sidecars, where `[fleet]` of the operator's file says so: its start, and its figures for the console
//! and the metrics.

use crate::operator::Fleet;
use cottonpoint_mesh::seal::Refusal;
use cottonpoint_mesh::{Handle, Mesh, Settings, id_of};
use cottonpoint_peers::{Part, Standing};
use serde_json::{Map, Value, json};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Starts it, if it is on. `name` is the configuration's, for a fleet that names none.
pub fn start(fleet: &Fleet, name: &str) -> Result<Option<Mesh>, String> {
    let Some(listen) = fleet.listen else { return Ok(None) };
    let name = fleet.name_or(name)?;
    let cannot = |e: std::io::Error| format!("the fleet cannot listen on {listen}: {e}");
    let socket = UdpSocket::bind(listen).map_err(cannot)?;
    let bound = match socket.local_addr().map_err(cannot)? {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => listen,
    };
    let peers = cottonpoint_peers::Settings {
        me: id_of(&name),
        address: fleet.advertise.unwrap_or(bound),
        name,
        seeds: fleet.seeds.clone(),
        incarnation: 1,
        boot: fastrand::u64(..),
        period: Duration::from_millis(fleet.period_ms),
        seed: fastrand::u64(..),
    };
    let (advertise, name) = (peers.address, peers.name.clone());
    let settings = Settings {
        peers,
        cluster: fleet.cluster.clone(),
        keys: fleet.read.clone(),
        workers: fleet.workers,
    };
    let mesh = Mesh::start(socket, settings).map_err(cannot)?;
    tracing::info!(listen = %bound, %advertise, member = name, "the fleet listens");
    Ok(Some(mesh))
}

fn standing(standing: Standing) -> &'static str {
    match standing {
        Standing::Reachable => "reachable",
        Standing::Suspected => "suspected",
        Standing::LastKnown => "last-known",
        Standing::Left => "left",
    }
}

fn part(part: Part) -> &'static str {
    match part {
        Part::Alone => "alone",
        Part::Whole => "whole",
        Part::Larger => "larger",
        Part::Smaller => "smaller",
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
            let news = &member.news;
            json!({
                "name": news.name,
                "id": id(news.id.0),
                "address": news.address.to_string(),
                "incarnation": news.incarnation,
                "boot": id(news.boot),
                "standing": standing(news.standing),
                "since_ms": u64::try_from(now.since(member.since).as_millis()).unwrap_or(u64::MAX),
            })
        })
        .collect();
    let me = view.members.iter().find(|member| member.news.id == view.me);
    json!({
        "me": id(view.me.0),
        "name": me.map(|me| me.news.name.as_str()),
        "incarnation": view.incarnation,
        "part": part(view.part),
        "unwell": view.unwell,
        "version": view.version,
        "members": members,
        "counts": counts(fleet),
    })
}

fn counts(fleet: &Handle) -> Value {
    let (shell, plane) = (fleet.figures(), fleet.snapshot().counts);
    let refused: Map<String, Value> =
        Refusal::ALL.iter().zip(shell.refused).map(|(why, n)| (why.word().to_owned(), n.into())).collect();
    json!({
        "datagrams_in": shell.taken,
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
        "helped": plane.helped,
        "knocks": plane.knocks,
        "suspicions": plane.suspicions,
        "deaths": plane.deaths,
        "refutations": plane.refutations,
        "namesakes": plane.namesakes,
        "syncs": plane.syncs,
        "given": plane.given,
        "withheld": plane.withheld,
        "full": plane.full,
        "forgotten": plane.forgotten,
        "bad": plane.bad,
        "absurd": plane.absurd,
        "late": plane.late,
    })
}

/// For the metrics: members by standing, and datagrams by what became of them.
pub fn counted(fleet: &Handle) -> [Vec<(&'static str, u64)>; 2] {
    let (snapshot, shell) = (fleet.snapshot(), fleet.figures());
    let held = |of| snapshot.view.members.iter().filter(|member| member.news.standing == of).count();
    let all = [Standing::Reachable, Standing::Suspected, Standing::LastKnown, Standing::Left];
    let members = all.iter().map(|&of| (standing(of), held(of) as u64)).collect();
    let mut datagrams = vec![
        ("taken", shell.taken),
        ("sent", shell.sent),
        ("receive_failed", shell.receive_failed),
        ("send_failed", shell.send_failed),
    ];
    datagrams.extend(Refusal::ALL.iter().map(|why| why.word()).zip(shell.refused));
    [members, datagrams]
}
