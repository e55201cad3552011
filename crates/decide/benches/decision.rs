//! The time of a decision, by the number of endpoints: a request that arrives and is served, and an
//! entry of the endpoint list that changes.
#![allow(missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Driver, SAFE, endpoint, first_send, ms, settings};
use cottonpoint_decide::*;

fn main() {
    divan::main();
}

const ENDPOINTS: [u64; 5] = [10, 100, 610, 2_000, 20_000];

fn driver_with(endpoints: u64) -> Driver {
    let mut settings = settings();
    // A fleet of that size has balancers in proportion.
    settings.balancer_count = (endpoints / 10) as u32;
    let entries: Vec<Endpoint> = (0..endpoints).map(endpoint).collect();
    let mut driver = Driver::with(settings, &entries);
    // Every endpoint of the subset has been used, as after a while in service.
    for _ in 0..200 {
        serve_one(&mut driver);
    }
    driver
}

fn serve_one(driver: &mut Driver) {
    driver.advance(ms(1));
    let (id, actions) = driver.arrive(SAFE);
    if let Some((_, endpoint)) = first_send(&actions) {
        let report = Some(LoadReport { utilization: Some(0.5), rate: Some(100.0) });
        driver.finish_with(id, 0, endpoint, Outcome::Ok, report);
    }
}

/// Two events: a request arrives and is sent, and its answer comes with a report.
#[divan::bench(args = ENDPOINTS)]
fn call_served(bencher: divan::Bencher<'_, '_>, endpoints: u64) {
    let mut driver = driver_with(endpoints);
    bencher.bench_local(|| serve_one(&mut driver));
}

/// One event: an entry of the list drains, or is ready again.
#[divan::bench(args = ENDPOINTS)]
fn entry_changes(bencher: divan::Bencher<'_, '_>, endpoints: u64) {
    let mut driver = driver_with(endpoints);
    let mut is_draining = false;
    bencher.bench_local(|| {
        is_draining = !is_draining;
        let state = if is_draining { EndpointState::Draining } else { EndpointState::Ready };
        driver.update_list(ListKind::Delta, &[Endpoint { state, ..endpoint(3) }]);
    });
}
