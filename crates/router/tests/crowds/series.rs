//! Crowds that come and go in a random order beside signals, restarts and changes. They keep their connections
//! until the process is gone.

use std::cell::Cell;

use futures_util::future::join_all;
use oriole_standin::crowd::{Client, Crowd, Framing, Upload};
use oriole_standin::random::Random;
use oriole_standin::usage::{Usage, watch};

use crate::process::{LARGE_BODY_BYTES, MAX_BODY_BYTES, Site, operator};
use crate::{CLIENTS, ENDLESS_BYTES, TURN, head};
use crate::{assert_serves, assert_serves_large, assert_within_limits};

/// Number of series that are played unless `ORIOLE_CROWD_SEEDS` states another.
const DEFAULT_SEEDS: u64 = 3;

/// Times that the process is stopped and started again in a series.
const ROUNDS: u32 = 2;

/// Steps before each stop.
const STEPS: u32 = 10;

/// Most crowds that are there at the same time.
const MAX_CROWDS: usize = 3;

/// Clients of a crowd with many small bodies.
const SMALL_CLIENTS: usize = 250;

/// Bytes of a small body.
const SMALL_BODY_BYTES: usize = 60_000;

/// A process, the crowds that are there, and the random numbers that decide what comes next.
struct Series {
    random: Random,
    version: u64,
    crowds: Vec<Crowd>,
    sent: u32,
}

impl Series {
    async fn step(&mut self, site: &Site) {
        match self.random.below(8) {
            0 | 1 => self.add_large(site).await,
            2 => self.add_endless(site).await,
            3 => self.add_small(site).await,
            4 if !self.crowds.is_empty() => {
                let left = self.random.below(self.crowds.len() as u64);
                self.crowds.remove(left as usize);
            }
            5 => site.signal("HUP"),
            6 => {
                self.version += 1;
                site.store.put("op/config", &operator(self.version));
            }
            _ => {
                self.sent += 1;
                assert_serves(site, &format!("ordinary-{}", self.sent)).await;
            }
        }
        while self.crowds.len() > MAX_CROWDS {
            self.crowds.remove(0);
        }
    }

    fn framing(&mut self, bytes: usize) -> Framing {
        match self.random.below(4) {
            0 => Framing::Chunks(256 * 1024),
            1 => Framing::Chunks(16 + self.random.below(200) as usize),
            _ => Framing::Length(bytes),
        }
    }

    /// Adds clients that stop one byte before the end of a large body, or complete it.
    async fn add_large(&mut self, site: &Site) {
        let framing = self.framing(LARGE_BODY_BYTES);
        let piece = [4 * 1024, 64 * 1024, LARGE_BODY_BYTES][self.random.below(3) as usize];
        let upload = Upload { head: head("/page/a"), framing, piece };
        let mut crowd = Crowd::open(site.callers, CLIENTS, upload).await;
        crowd.send_up_to(LARGE_BODY_BYTES - 1).await;
        crowd.finish_some(LARGE_BODY_BYTES).await;
        self.crowds.push(crowd);
    }

    /// Adds clients whose bodies go far over the limit.
    async fn add_endless(&mut self, site: &Site) {
        let framing = self.framing(64 * MAX_BODY_BYTES);
        let upload = Upload { head: head("/page/a"), framing, piece: 64 * 1024 };
        let mut crowd = Crowd::open(site.callers, CLIENTS, upload).await;
        crowd.send_up_to(ENDLESS_BYTES).await;
        self.crowds.push(crowd);
    }

    /// Adds many clients that stop one byte before the end of a small body.
    async fn add_small(&mut self, site: &Site) {
        let framing = self.framing(SMALL_BODY_BYTES);
        let upload = Upload { head: head("/once/a"), framing, piece: SMALL_BODY_BYTES };
        let mut crowd = Crowd::open(site.callers, SMALL_CLIENTS, upload).await;
        crowd.send_up_to(SMALL_BODY_BYTES - 1).await;
        self.crowds.push(crowd);
    }

    /// Stops the process while all clients go on, and starts it again.
    async fn stop(&mut self, site: &mut Site) {
        site.signal("TERM");
        let clients = self.crowds.iter_mut().flat_map(|crowd| &mut crowd.clients);
        let going_on = async {
            join_all(clients.map(Client::go_on)).await;
            // There may be no clients at this moment.
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = site.wait_until_gone() => {}
            () = going_on => {}
        }
        site.restart().await;
    }
}

async fn play(seed: u64) {
    let mut site = Site::start(&format!("series-{seed}")).await;
    let most = Cell::new(Usage::default());
    let random = Random::new(seed);
    let mut series = Series { random, version: 1, crowds: vec![], sent: 0 };
    for round in 0..ROUNDS {
        watch(|| site.usage(), &most, async {
            for _ in 0..STEPS {
                series.step(&site).await;
            }
            assert_serves(&site, &format!("last-{round}")).await;
        })
        .await;
        eprintln!("seed {seed}, round {round}");
        assert_within_limits(&mut site, most.get());
        series.stop(&mut site).await;
        series.crowds.clear();
    }
    assert_serves(&site, "after").await;
    assert_serves_large(&site, Framing::Length(LARGE_BODY_BYTES)).await;
}

/// Guards against limits that hold for one crowd and not for several that overlap, and against memory that is
/// not given back when clients leave or the process stops.
#[actix_rt::test]
async fn crowds_that_overlap_with_signals_restarts_and_changes() {
    let _turn = TURN.lock().await;
    let seeds = std::env::var("ORIOLE_CROWD_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(DEFAULT_SEEDS) {
        play(seed).await;
    }
}
