//! The command line of the program. It is a library module so that the laboratory can start the
//! same program.

use crate::config::Config;
use crate::fleet::Membership;
use crate::log;
use crate::operator::OperatorConfig;
use crate::serve::{self, ControlEvent};
use async_signal::{Signal, Signals};
use bpaf::{Bpaf, OptionParser, Parser, long};
use futures_lite::StreamExt;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;

/// A load-balancing sidecar: accepts clients' requests and decides which endpoint gets each one,
/// and when.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub enum Command {
    /// Serve until SIGTERM or SIGINT; reload the configuration on SIGHUP
    #[bpaf(command)]
    Serve {
        /// The platform's configuration.
        #[bpaf(external(file))]
        config: PathBuf,
        /// The operator's file, if any.
        #[bpaf(external(operator_file))]
        operator: Option<PathBuf>,
    },
    /// Read and check the configuration and the operator's file, print them, and start nothing
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

/// Commands on the operator's file.
#[derive(Clone, Debug, Bpaf)]
pub enum OperatorCommand {
    /// Print a commented file with every key and its default
    #[bpaf(command)]
    Example,
}

/// The parser of the command line.
pub fn options() -> OptionParser<Command> {
    command().to_options().descr(
        "A load-balancing sidecar: accepts clients' requests and decides which endpoint gets each one, and when.",
    )
}

fn file() -> impl Parser<PathBuf> {
    long("config").env("NODE_CONFIG").help("The platform's configuration, as JSON").argument("FILE")
}

fn operator_file() -> impl Parser<Option<PathBuf>> {
    long("operator")
        .help("The operator's file, as TOML; without it, defaults apply")
        .argument("FILE")
        .optional()
}

fn load_operator_file(path: Option<PathBuf>) -> Result<OperatorConfig, String> {
    path.map_or_else(
        || Ok(OperatorConfig::default()),
        |path| OperatorConfig::load(&path).map_err(|e| e.to_string()),
    )
}

/// Binds a listener and returns its address too: for port 0 the system chooses the port.
fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), String> {
    let listener = TcpListener::bind(address).and_then(|l| l.local_addr().map(|address| (l, address)));
    listener.map_err(|e| format!("cannot listen on {address}: {e}"))
}

/// Binds the clients' listener with SO_REUSEPORT, because a process of another version may hold the
/// same address for a while: the kernel distributes new connections between those that listen. The
/// returned one does not listen yet.
pub fn bind_shared(address: SocketAddr) -> Result<TcpListener, String> {
    use socket2::{Domain, Protocol, Socket, Type};
    let shared = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&address.into())?;
        Ok(socket.into())
    };
    shared().map_err(|e| format!("cannot listen on {address}: {e}"))
}

fn check(path: PathBuf, operator_path: Option<PathBuf>) -> Result<(), String> {
    let config = Config::load(&path).map_err(|e| e.to_string())?;
    let operator = load_operator_file(operator_path)?;
    println!("{config}\n{operator}");
    operator.fleet.name_or(&config.name).map(drop)
}

fn serve(path: PathBuf, operator_path: Option<PathBuf>) -> Result<(), String> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let signals = signals.map_err(|e| format!("cannot register signal handlers: {e}"))?;
    let config = Config::load(&path).map_err(|e| e.to_string())?;
    let operator = load_operator_file(operator_path)?;
    log::start(&operator.log);
    let listener = bind_shared(config.listen)?;
    let metrics = operator.metrics.listen.map(bind_metrics_listener).transpose()?;
    let console = config.console.map(listen).transpose()?.map(|(listener, address)| {
        tracing::info!(listen = %address, "serves the console");
        listener
    });
    let fleet = Membership::start(&operator.fleet, &config.name)?;
    let control_events = Box::pin(signals.filter_map(move |signal| match signal {
        Ok(Signal::Hup) => Some(ControlEvent::Reload(Config::load(&path).map(Box::new))),
        Ok(_) => Some(ControlEvent::Stop),
        // A failed or interrupted wait loses no signal: the next wait reports it.
        Err(why) => {
            tracing::warn!(%why, "waiting for signals failed");
            None
        }
    }));
    let listeners = serve::Listeners { clients: listener, metrics, console };
    serve::run_in_fleet(config, listeners, fleet, control_events).map_err(|e| e.to_string())?;
    tracing::info!("stopped; all accepted requests were answered");
    Ok(())
}

fn bind_metrics_listener(address: SocketAddr) -> Result<TcpListener, String> {
    let (listener, address) = listen(address)?;
    tracing::info!(listen = %address, "serves metrics");
    Ok(listener)
}

/// Runs a command. An error is printed as one line on standard error.
pub fn run(command: Command) -> ExitCode {
    let result = match command {
        Command::Serve { config, operator } => serve(config, operator),
        Command::Check { config, operator } => check(config, operator),
        Command::OperatorFile(OperatorCommand::Example) => {
            print!("{}", OperatorConfig::example());
            Ok(())
        }
        Command::Version => {
            println!("cottonpoint {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::write_line(&format!("cottonpoint: {error}"));
            ExitCode::FAILURE
        }
    }
}
