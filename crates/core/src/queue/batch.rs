//! Remaining capacity of a batch that is being assembled.

use super::{CLASSES, Capacity, Class, Item};

/// What a batch can still take.
pub(super) struct Budget {
    left: Capacity,
    /// Number of prompt chunks in the batch.
    chunks: u32,
    closed_classes: [bool; CLASSES.len()],
}

impl Budget {
    /// Creates the budget of an empty batch.
    pub(super) fn new(capacity: Capacity) -> Self {
        Self { left: capacity, chunks: 0, closed_classes: [false; CLASSES.len()] }
    }

    /// Returns whether the batch holds as many steps as it may.
    pub(super) fn is_spent(&self) -> bool {
        self.left.steps == 0
    }

    /// Returns whether the batch may take further steps of a class.
    pub(super) fn accepts(&self, class: Class) -> bool {
        let needs_sequence = matches!(class, Class::Resume | Class::Start);
        !self.closed_classes[class as usize] && (self.left.new_sequences > 0 || !needs_sequence)
    }

    /// Returns whether the tokens of a step fit. The first prompt chunk of a batch always fits.
    pub(super) fn fits(&self, item: &Item) -> bool {
        item.class == Class::Decode || self.chunks == 0 || item.tokens <= self.left.prompt_tokens
    }

    /// Accepts only decode steps from now on.
    pub(super) fn close_prompts(&mut self) {
        for class in [Class::Resume, Class::Prompt, Class::Start] {
            self.closed_classes[class as usize] = true;
        }
    }

    /// Charges the budget for a step of the batch.
    pub(super) fn add(&mut self, item: &Item) {
        self.left.steps -= 1;
        if item.class == Class::Decode {
            return;
        }
        self.chunks += 1;
        self.left.prompt_tokens = self.left.prompt_tokens.saturating_sub(item.tokens);
        if item.class != Class::Prompt {
            self.left.new_sequences = self.left.new_sequences.saturating_sub(1);
        }
    }
}
