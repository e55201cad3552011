//! Writes the files that the members of a fleet read: configuration, operator's file and keys. Each
//! member has a state directory of its own.

use super::options::FleetOptions;
use crate::live::program::{class, settings};
use serde_json::{Value, json};
use std::ffi::OsString;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::{fs, io};

/// The content of the fleet's key file. It protects nothing: the fleet runs on loopback.
const KEY: &str = "the key of a fleet on loopback";

/// The identity of a member and the paths of its files.
#[derive(Clone, Debug)]
pub struct MemberIdentity {
    /// The member's name.
    pub name: String,
    /// The address that the member advertises.
    pub address: SocketAddrV4,
    /// The directory for files that outlive the member's process.
    pub state_directory: PathBuf,
    config: PathBuf,
    operator: PathBuf,
}

impl MemberIdentity {
    /// The arguments with which the laboratory's executable is started as this member.
    pub fn arguments(&self) -> Vec<OsString> {
        let command = ["program", "serve", "--config"].map(OsString::from);
        let files = [self.config.clone().into(), "--operator".into(), self.operator.clone().into()];
        command.into_iter().chain(files).collect()
    }
}

/// Writes the files of a fleet's members.
#[derive(Debug)]
pub struct FleetFiles {
    directory: PathBuf,
    discovery: SocketAddr,
    seed: SocketAddrV4,
    period_ms: u64,
    operator_extra: String,
}

impl FleetFiles {
    /// Writes the fleet's key to `directory` and prepares to write members' files there. All members
    /// share `seed`.
    pub fn new(
        directory: &Path,
        discovery: SocketAddr,
        seed: SocketAddrV4,
        options: &FleetOptions,
    ) -> io::Result<FleetFiles> {
        fs::write(directory.join("fleet.key"), KEY)?;
        let period_ms = u64::try_from(options.period.as_millis()).map_err(io::Error::other)?;
        Ok(FleetFiles {
            directory: directory.to_owned(),
            discovery,
            seed,
            period_ms,
            operator_extra: options.operator_extra.clone(),
        })
    }

    /// Writes the files of a member that advertises `address`.
    pub fn write_member(&self, index: usize, address: SocketAddrV4) -> io::Result<MemberIdentity> {
        let name = format!("m{index}");
        let state_directory = self.directory.join(&name);
        fs::create_dir(&state_directory)?;
        let (config, operator) =
            (state_directory.join("config.json"), state_directory.join("cottonpoint.toml"));
        fs::write(&config, serde_json::to_vec_pretty(&self.configuration(&name))?)?;
        let identity = MemberIdentity { name, address, state_directory, config, operator };
        self.write_operator(&identity, &self.directory.join("fleet.key"))?;
        Ok(identity)
    }

    /// Replaces the fleet's key in a member's operator file by a key that only this member has.
    pub fn use_key(&self, identity: &MemberIdentity, key: &str) -> io::Result<()> {
        let file = identity.state_directory.join("own.key");
        fs::write(&file, key)?;
        self.write_operator(identity, &file)
    }

    fn write_operator(&self, identity: &MemberIdentity, key: &Path) -> io::Result<()> {
        let text = format!(
            "[log]\nform = \"json\"\n\n[fleet]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\n\
             cluster = \"rig\"\nkeys = [{:?}]\nseeds = [\"{}\"]\nperiod_ms = {}\n\n{}",
            identity.address,
            key.to_string_lossy(),
            self.seed,
            self.period_ms,
            self.operator_extra
        );
        fs::write(&identity.operator, text)
    }

    /// The configuration of a sidecar with no endpoints yet and a single class of requests.
    fn configuration(&self, name: &str) -> Value {
        json!({
            "name": name, "listen": "127.0.0.1:0", "console": "127.0.0.1:0",
            "discovery": self.discovery.to_string(),
            "limits": { "sockets": 128 },
            "settings": settings(&json!([class("view", "read_like", 1.0, 500, 1500)])),
        })
    }
}
