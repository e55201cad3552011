//! The sidecar's command line.

use async_signal::{Signal, Signals};
use bpaf::{Bpaf, Parser, long};
use cottonpoint::config::Config;
use cottonpoint::serve::{self, Word};
use futures_lite::StreamExt;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;

/// A load-balancing sidecar: it takes a caller's requests, decides which target gets each, and when.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Serve until told to stop by SIGTERM or SIGINT; read the configuration again on SIGHUP
    #[bpaf(command)]
    Serve {
        #[bpaf(external(file))]
        config: PathBuf,
    },
    /// Read the configuration, say what it comes to, and start nothing
    #[bpaf(command)]
    Check {
        #[bpaf(external(file))]
        config: PathBuf,
    },
    /// Print the program's version
    #[bpaf(command)]
    Version,
}

fn file() -> impl Parser<PathBuf> {
    long("config").env("NODE_CONFIG").help("The configuration, as JSON").argument("FILE")
}

fn check(path: PathBuf) -> Result<(), String> {
    let config = Config::load(&path).map_err(|e| e.to_string())?;
    println!("{config}");
    Ok(())
}

fn serve(path: PathBuf) -> Result<(), String> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let signals = signals.map_err(|e| format!("cannot take signals: {e}"))?;
    let config = Config::load(&path).map_err(|e| e.to_string())?;
    let listener =
        TcpListener::bind(config.listen).map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    eprintln!("cottonpoint: {} serves on {}", config.name, config.listen);
    let words = signals.map(move |signal| match signal {
        Ok(Signal::Hup) => Word::Reload(Config::load(&path).map(Box::new)),
        _ => Word::Stop,
    });
    serve::run(config, listener, words).map_err(|e| e.to_string())?;
    eprintln!("cottonpoint: stopped, all answered");
    Ok(())
}

fn main() -> ExitCode {
    let done = match command().run() {
        Command::Serve { config } => serve(config),
        Command::Check { config } => check(config),
        Command::Version => {
            println!("cottonpoint {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("cottonpoint: {why}");
            ExitCode::FAILURE
        }
    }
}
