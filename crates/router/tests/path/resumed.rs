//! A stream has begun and broken off, and the next engine answers with an error.

use oriole_platform_standin::caller::Answer;
use oriole_platform_standin::config::KEY;
use oriole_platform_standin::fleet::Fault;
use oriole_platform_standin::resumed::{ERROR_TEXT, Resumed};

use crate::all_events;
use crate::cluster::Cluster;

/// Breaks streams off in the middle of their 20th event, and answers those that resume as given. Returns what
/// the caller got.
async fn resume(resumed: Resumed) -> Answer {
    let cluster = Cluster::new(1).await;
    for number in 0..8 {
        cluster.fleet.set_fault(&format!("engine-{number}"), Fault::BreakStream);
    }
    cluster.fleet.set_resumed(resumed);
    let answer = cluster.entries[0].call("/draft/a", "r1", KEY).await;
    assert!(cluster.fleet.runs("r1").len() > 1, "{resumed:?}: it did not resume");
    answer
}

/// Guards against the text or the head of an error in the middle of a stream, and against a stream that looks
/// complete since an error has ended it.
#[actix_rt::test]
async fn an_error_in_place_of_the_rest_of_a_stream_is_not_passed_on() {
    let errors = [
        Resumed::Status,
        Resumed::Text,
        Resumed::EventWithoutId,
        Resumed::FromStart,
        Resumed::HeadInBody,
        Resumed::Nothing,
    ];
    for resumed in errors {
        let answer = resume(resumed).await;
        assert_eq!(answer.status, 200, "{resumed:?}");
        assert!(!answer.is_complete, "{resumed:?}: it looks complete");
        assert!(!answer.body.contains(ERROR_TEXT), "{resumed:?}: {}", answer.body);
        assert!(all_events().starts_with(&answer.body), "{resumed:?}: {}", answer.body);
    }
}
