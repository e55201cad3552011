use super::*;

/// Guards against traffic of one run reaching another run on a port that a stand-in no longer uses.
///
/// Soak 9225 reported eight attempts whose time left exceeded that of their clients; their ids and
/// times belonged to another run. Three runs had been executed concurrently on 127.0.0.1 with ports
/// chosen by the system, and when an endpoint crashed in one run, another run was given its port.
#[test]
fn concurrent_runs_share_no_address() {
    let processes = [1, 2, 255, 256, 65_535, 65_536, 4_194_303];
    for (at, one) in processes.iter().enumerate() {
        assert!(host_of(*one).is_loopback());
        assert!(processes[at + 1..].iter().all(|other| host_of(*one) != host_of(*other)), "{one}");
    }
    let closed = listen().expect("a port").local_addr().expect("bound");
    assert_eq!(closed.ip(), host());
    let next = listen().expect("a port").local_addr().expect("bound");
    assert_ne!(closed, next, "a port is not allocated twice");
    assert!(std::net::TcpStream::connect(closed).is_err());
}
