//! A faulty engine that sends without end, to many callers at the same time.

use std::cell::Cell;
use std::rc::Rc;

use futures_util::future::join_all;
use oriole_platform_standin::caller;
use oriole_platform_standin::config::KEY;
use oriole_platform_standin::unframed::Ending;
use oriole_standin::usage::{Usage, watch};
use tokio::time::timeout;

use crate::process::Site;
use crate::{ANSWER_TIMEOUT, TURN, assert_serves, assert_within_limits};

/// Callers at the same time, somewhat fewer than the process has connections for.
const CALLERS: usize = 120;

const ENDINGS: [Ending; 6] = [
    Ending::EndlessHead,
    Ending::EndlessInterim,
    Ending::EndlessBody,
    Ending::EndlessChunkLine,
    Ending::EndlessChunks,
    // As long as a partial event may be, so that it is kept until the deadline.
    Ending::PartialEvent(256 * 1024),
];

/// Sends streams at the same time, and a plain call meanwhile.
async fn call_all(site: &Site, round: usize) {
    let streams = (0..CALLERS).map(|n| async move {
        let id = format!("stream-{round}-{n}");
        let answer = caller::call(site.callers, "/draft/a", &id, KEY, |_| {});
        timeout(ANSWER_TIMEOUT, answer).await.expect("no answer in time")
    });
    let ordinary = format!("ordinary-{round}");
    tokio::join!(join_all(streams), assert_serves(site, &ordinary));
}

/// Guards against memory that grows with what faulty engines send, and against requests of others that end with it.
#[actix_rt::test]
async fn an_engine_that_sends_without_end_to_many_callers() {
    let _turn = TURN.lock().await;
    let mut site = Site::start("engines").await;
    for n in 0..4 {
        site.fleet.add_unframed_engine(&format!("faulty-{n}"), "zone-0").await.unwrap();
        site.fleet.add_engine(&format!("sound-{n}"), "zone-1").await.unwrap();
    }
    site.wait_until_streams_are_served().await;
    let most = Rc::new(Cell::new(Usage::default()));
    for (round, ending) in ENDINGS.into_iter().enumerate() {
        site.fleet.set_ending(ending);
        watch(|| site.usage(), &most, call_all(&site, round)).await;
        eprintln!("{ending:?}: {:?}", most.get());
        assert_within_limits(&mut site, most.get());
    }
}
