//! Load pattern: entries are restarted one after the other, and callers that a stopping one turns away
//! come back, some of them only once.

use std::time::Duration;

use oriole_core::fleet::liveness::Liveness;
use oriole_core::forward::stop::{self, Phase};
use oriole_core::time::Instant;

const LEFT: Duration = Duration::from_secs(5);

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(1_000_000 + ms * 1000)
}

#[test]
fn callers_come_back_when_the_first_entry_gets_new_connections() {
    let own = stop::ready_in(Phase::Stopping(LEFT));
    assert!(own > LEFT, "a process must exit and start");
    for random in [0, u64::MAX / 2, u64::MAX] {
        let ready = stop::retry_after(own, Some(stop::ready_in(Phase::Ready)), random);
        assert!(ready <= Duration::from_millis(150), "{ready:?}");
        let starting = stop::retry_after(own, Some(stop::ready_in(Phase::Starting)), random);
        assert!(starting >= Duration::from_secs(1) && starting < own, "{starting:?}");
        assert!(stop::retry_after(own, None, random) >= own);
        let later = Some(stop::ready_in(Phase::Stopping(LEFT * 2)));
        assert!(stop::retry_after(own, later, random) < LEFT * 2, "this one is first");
    }
    assert_ne!(stop::retry_after(own, None, 0), stop::retry_after(own, None, u64::MAX));
}

#[test]
fn an_entry_is_known_by_its_last_gossip_for_a_while() {
    let mut liveness = Liveness::default();
    let (one, two) = ("entry-1".into(), "entry-2".into());
    assert_eq!(liveness.ready_in(at_ms(0)), None);
    liveness.record("entry-1".into(), Duration::ZERO, at_ms(0));
    liveness.record("entry-2".into(), LEFT, at_ms(100));
    assert_eq!(liveness.ready_in(at_ms(1_900)), Some(Duration::ZERO));
    assert!(liveness.is_live(&one, at_ms(1_900)) && liveness.is_live(&two, at_ms(1_900)));
    assert!(!liveness.is_live(&one, at_ms(2_000)) && liveness.is_live(&two, at_ms(2_000)));
    // The first one is silent; the second one has told when it will be back.
    assert_eq!(liveness.ready_in(at_ms(2_100)), Some(Duration::from_secs(3)));
    assert_eq!(liveness.ready_in(at_ms(5_100)), None);
}

/// Guards against proposals of entries that are cut off from the others and know old state.
#[test]
fn ranks_count_live_entries_unless_most_are_silent() {
    let hosts: Vec<oriole_core::name::Host> =
        (1..=4).map(|n| format!("entry-{n}").as_str().into()).collect();
    let mut liveness = Liveness::default();
    let rank = |liveness: &Liveness| liveness.rank(hosts.iter(), |_| true, at_ms(1_000));
    assert_eq!(rank(&liveness), 4, "nobody is heard");
    liveness.record(hosts[0].clone(), Duration::ZERO, at_ms(500));
    assert_eq!(rank(&liveness), 4, "one of four is heard");
    liveness.record(hosts[2].clone(), Duration::ZERO, at_ms(500));
    assert_eq!(rank(&liveness), 2, "half are heard");
    let first = |host: &oriole_core::name::Host| *host < hosts[2];
    assert_eq!(liveness.rank(hosts.iter(), first, at_ms(1_000)), 1);
}

/// Guards against streams that are cut at the exit because a sound endpoint was silent, and against requests of
/// unknown length that are taken until the exit.
#[test]
fn a_stopping_entry_expects_pauses_and_the_deadline_of_an_answer_of_unknown_length() {
    let seconds = Duration::from_secs;
    assert!(stop::longest_answer(Some(Duration::ZERO), seconds(20)) >= Duration::from_millis(1500));
    assert!(stop::longest_answer(Some(seconds(4)), seconds(20)) >= seconds(4) * 5 / 4 + seconds(1));
    assert!(stop::longest_answer(None, seconds(20)) >= seconds(20));
    // An answer is not awaited for longer than until its deadline.
    let short = stop::longest_answer(None, seconds(1));
    assert!(short >= seconds(1));
    assert_eq!(stop::longest_answer(Some(seconds(9)), seconds(1)), short);
}
