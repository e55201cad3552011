use super::*;

/// Guards against: a run that is met by what another run's processes send to a port that a stand-in has left.
///
/// Seen in soak 9225: eight attempts told more time than their clients had, with ids and times of another run. Three runs played
/// side by side on 127.0.0.1 with ports that the system gave; an endpoint that crashed in one left its port to the other.
#[test]
fn runs_side_by_side_have_no_address_in_common() {
    let processes = [1, 2, 255, 256, 65_535, 65_536, 4_194_303];
    for (at, one) in processes.iter().enumerate() {
        assert!(host_of(*one).is_loopback());
        assert!(processes[at + 1..].iter().all(|other| host_of(*one) != host_of(*other)), "{one}");
    }
    let left = listen().expect("a port").local_addr().expect("bound");
    assert_eq!(left.ip(), host());
    let next = listen().expect("a port").local_addr().expect("bound");
    assert_ne!(left, next, "a place that has been left stays empty");
    assert!(std::net::TcpStream::connect(left).is_err());
}
