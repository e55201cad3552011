use super::*;

/// Guards against an error that is moved from one class to another unnoticed. The codes are errno
/// values on Linux.
#[test]
fn errors_are_classified_by_the_side_they_come_from() {
    let cases = [
        (Origin::Peer, [111, 104, 32].as_slice()),
        (Origin::Path, &[110, 113]),
        (Origin::Local, &[12, 23, 24, 99, 100, 101, 105]),
    ];
    for (origin, codes) in cases {
        for code in codes {
            assert_eq!(Origin::of(&Error::from_raw_os_error(*code)), origin, "error {code}");
        }
    }
    assert_eq!(Origin::of(&ErrorKind::TimedOut.into()), Origin::Timeout);
}
