//! The program's command line, as a library so that the laboratory can start the very program.

use crate::config::Config;
use crate::fleet::Membership;
use crate::log;
use crate::operator::Operator;
use crate::serve::{self, Word};
use async_signal::{Signal, Signals};
use bpaf::{Bpaf, OptionParser, Parser, long};
use futures_lite::StreamExt;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;

/// A load-balancing sidecar: it takes a caller's requests, decides which target gets each, and when.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub enum Command {
    /// Serve until told to stop by SIGTERM or SIGINT; read the configuration again on SIGHUP
    #[bpaf(command)]
    Serve {
        /// The platform's configuration.
        #[bpaf(external(file))]
        config: PathBuf,
        /// The operator's file, if any.
        #[bpaf(external(operator_file))]
        operator: Option<PathBuf>,
    },
    /// Read the configuration and the operator's file, say what they come to, and start nothing
    #[bpaf(command)]
    Check {
        /// The platform's configuration.
        #[bpaf(external(file))]
        config: PathBuf,
        /// The operator's file, if any.
        #[bpaf(external(operator_file))]
        operator: Option<PathBuf>,
    },
    /// The operator's file
    #[bpaf(command("config"))]
    OperatorFile(#[bpaf(external(operator_command))] OperatorCommand),
    /// Print the program's version
    #[bpaf(command)]
    Version,
}

/// What to do with the operator's file.
#[derive(Clone, Debug, Bpaf)]
pub enum OperatorCommand {
    /// Print a commented file with every key, as it holds when left out
    #[bpaf(command)]
    Example,
}

/// The parser of the command line.
pub fn options() -> OptionParser<Command> {
    command().to_options().descr(
        "A load-balancing sidecar: it takes a caller's requests, decides which target gets each, and when.",
    )
}

fn file() -> impl Parser<PathBuf> {
    long("config").env("NODE_CONFIG").help("The platform's configuration, as JSON").argument("FILE")
}

fn operator_file() -> impl Parser<Option<PathBuf>> {
    long("operator")
        .help("The operator's file, as TOML; without it all it speaks of is off")
        .argument("FILE")
        .optional()
}

fn operator(path: Option<PathBuf>) -> Result<Operator, String> {
    path.map_or_else(|| Ok(Operator::default()), |path| Operator::load(&path).map_err(|e| e.to_string()))
}

/// Listens; with port 0 the system draws one, so the address is told too.
fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), String> {
    let listener = TcpListener::bind(address).and_then(|l| l.local_addr().map(|address| (l, address)));
    listener.map_err(|e| format!("cannot listen on {address}: {e}"))
}

/// Listens where clients connect, beside a process of another version that may hold the same address for a
/// while (SO_REUSEPORT): the kernel shares new connections out between the two until the old one leaves.
pub fn listen_shared(address: SocketAddr) -> Result<(TcpListener, SocketAddr), String> {
    use socket2::{Domain, Protocol, Socket, Type};
    let shared = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&address.into())?;
        // The backlog of the standard library's own listener.
        socket.listen(128)?;
        Ok(socket.into())
    };
    let listener = shared().and_then(|l| l.local_addr().map(|address| (l, address)));
    listener.map_err(|e| format!("cannot listen on {address}: {e}"))
}

fn check(path: PathBuf, operator_path: Option<PathBuf>) -> Result<(), String> {
    let config = Config::load(&path).map_err(|e| e.to_string())?;
    let operator = operator(operator_path)?;
    println!("{config}\n{operator}");
    operator.fleet.name_or(&config.name).map(drop)
}

fn serve(path: PathBuf, operator_path: Option<PathBuf>) -> Result<(), String> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let signals = signals.map_err(|e| format!("cannot take signals: {e}"))?;
    let config = Config::load(&path).map_err(|e| e.to_string())?;
    let operator = operator(operator_path)?;
    log::start(&operator.log);
    let (listener, address) = listen_shared(config.listen)?;
    let metrics = operator.metrics.listen.map(listen_for_metrics).transpose()?;
    let console = config.console.map(listen).transpose()?.map(|(listener, address)| {
        tracing::info!(listen = %address, "serves the console");
        listener
    });
    let fleet = Membership::start(&operator.fleet, &config.name)?;
    tracing::info!(name = config.name, listen = %address, "serves");
    let words = Box::pin(signals.filter_map(move |signal| match signal {
        Ok(Signal::Hup) => Some(Word::Reload(Config::load(&path).map(Box::new))),
        Ok(_) => Some(Word::Stop),
        // A wait for signals that fails, or is interrupted, tells nothing: the next one tells what has come.
        Err(why) => {
            tracing::warn!(%why, "a wait for signals failed");
            None
        }
    }));
    let listeners = serve::Listeners { clients: listener, metrics, console };
    serve::run_in_fleet(config, listeners, fleet, words).map_err(|e| e.to_string())?;
    tracing::info!("stopped, all answered");
    Ok(())
}

fn listen_for_metrics(address: SocketAddr) -> Result<TcpListener, String> {
    let (listener, address) = listen(address)?;
    tracing::info!(listen = %address, "serves metrics");
    Ok(listener)
}

/// Carries out a command; what it fails on is said in a line on standard error.
pub fn run(command: Command) -> ExitCode {
    let done = match command {
        Command::Serve { config, operator } => serve(config, operator),
        Command::Check { config, operator } => check(config, operator),
        Command::OperatorFile(OperatorCommand::Example) => {
            print!("{}", Operator::example());
            Ok(())
        }
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
