//! Measures the side's hot paths: taking one batch from the queue, and recording one call in the
//! ledger.

// `criterion_group!` generates a public function without a doc comment.
#![allow(missing_docs)]

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use oriole_core::ledger::{Bounds, Ledger};
use oriole_core::queue::{Capacity, Class, Item, Queue};
use oriole_core::request::Id;
use oriole_core::time::Instant;

const BATCH_CAPACITY: Capacity = Capacity { steps: 32, prompt_tokens: 800, new_sequences: 32 };

fn item(seq: u64, workspaces: u64) -> Item {
    Item {
        request: Id { host: 0, boot: 0, seq },
        workspace: format!("workspace-{}", seq % workspaces).as_str().into(),
        priority: (seq % 3) as u8,
        weight: 1 + (seq % 7) as u32,
        tokens: 1 + (seq % 2) as u32 * 200,
        class: if seq % 2 == 0 { Class::Decode } else { Class::Start },
        deadline: Instant::from_us(u64::MAX - seq),
        queued_at: Instant::from_us(seq),
    }
}

/// Takes a batch and queues its steps again, with 2,000 steps in the queue.
fn batch(c: &mut Criterion) {
    for workspaces in [10, 810] {
        let mut queue = Queue::default();
        (0..2_000).for_each(|seq| queue.push(item(seq, workspaces)));
        c.bench_function(&format!("batch of 32, {workspaces} workspaces"), |b| {
            b.iter(|| {
                let batch = queue.take(black_box(BATCH_CAPACITY));
                batch.into_iter().for_each(|item| queue.push(item));
            });
        });
    }
}

fn ledger(c: &mut Criterion) {
    let mut ledger = Ledger::new(Instant::default(), 1, Bounds::default());
    let term = ledger.term();
    for seq in 0..60_000 {
        ledger.admit(Id { host: 0, boot: 0, seq }, 1, term, false);
    }
    let mut seq = 60_000;
    c.bench_function("call admitted, started and tombstoned, 60,000 records", |b| {
        b.iter_batched(
            || {
                seq = 60_000 + (seq + 1) % 5_000;
                Id { host: 0, boot: 0, seq }
            },
            |id| {
                black_box(ledger.admit(id, 1, term, false));
                black_box(ledger.start(id));
                ledger.tombstone(id, 1, true);
            },
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, batch, ledger);
criterion_main!(benches);
