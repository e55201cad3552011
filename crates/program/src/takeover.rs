//! When a process takes clients: at its start, or, beside an older process, once its own list may be
//! used. Until then new connections go to the older process, which has a list.

use crate::pid_file::PidFile;
use async_io::{Async, Timer};
use cottonpoint_core::Sidecar;
use cottonpoint_net::clients::Clients;
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which processes look for what others of the same sidecar have written to the state
/// directory: well within the grace of a drain.
pub(crate) const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Connections that may wait to be accepted: as many as with the standard library's listener.
const BACKLOG: i32 = 128;
/// Interval at which a waiting process looks for its list.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A process that has yet to take clients.
pub(crate) struct Takeover {
    /// The sidecar's name, for the log.
    pub name: String,
    /// The core, whose list has to be confirmed.
    pub sidecar: Rc<Sidecar>,
    /// The client connections.
    pub clients: Rc<Clients>,
    /// The file that names the newest process, where there is a state directory.
    pub pid_file: Option<PidFile>,
    /// Whether the process is stopping.
    pub stopping: Rc<Cell<bool>>,
    /// Set once the process takes clients.
    pub takes_clients: Rc<Cell<bool>>,
}

impl Takeover {
    /// Takes clients on the bound listener, at once or when it is time, until the clients are told
    /// to stop. Fails if it is time and the listener cannot listen.
    pub fn begin(self, listener: TcpListener) -> io::Result<impl Future<Output = ()>> {
        let is_waiting = self.has_to_wait();
        if !is_waiting {
            self.listen(&listener)?;
        }
        let listener = Async::new(listener)?;
        Ok(async move {
            if is_waiting {
                self.wait().await;
                if self.stopping.get() {
                    return;
                }
                if let Err(error) = self.listen(listener.get_ref()) {
                    return tracing::error!(%error, "cannot listen for clients");
                }
            }
            self.clients.accept(listener).await;
        })
    }

    fn has_to_wait(&self) -> bool {
        !self.sidecar.is_list_settled()
            && self.pid_file.as_ref().is_some_and(|pid_file| pid_file.is_another_running())
    }

    async fn wait(&self) {
        tracing::info!("the older process keeps the clients until the endpoint list is confirmed");
        let mut older_checked = Instant::now();
        while !self.sidecar.is_list_settled() && !self.stopping.get() {
            Timer::after(LIST_CHECK_INTERVAL).await;
            if older_checked.elapsed() >= STATE_CHECK_INTERVAL {
                older_checked = Instant::now();
                if !self.has_to_wait() {
                    return;
                }
            }
        }
    }

    fn listen(&self, listener: &TcpListener) -> io::Result<()> {
        SockRef::from(listener).listen(BACKLOG)?;
        let address = listener.local_addr()?;
        tracing::info!(name = self.name, listen = %address, "serves");
        self.takes_clients.set(true);
        self.pid_file.clone().into_iter().for_each(announce);
        Ok(())
    }
}

/// Announces this process to the older one beside it, with retries until the write succeeds. This
/// takes a thread of its own, since the disk may take seconds and clients connect from the first
/// moment. The thread ends after that, or with the process.
fn announce(pid_file: PidFile) {
    thread::spawn(move || {
        while let Err(why) = pid_file.announce() {
            tracing::warn!(%why, "cannot announce this process to the older one; retrying");
            thread::sleep(STATE_CHECK_INTERVAL);
        }
    });
}
